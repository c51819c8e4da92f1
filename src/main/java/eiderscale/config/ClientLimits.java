package eiderscale.config;

/**
 * What clients' connections may do.
 *
 * @param perSource connections that one client address may have, 0 for any number
 * @param perTenant connections on which one tenant asks, 0 for any number
 * @param idle nanoseconds after which a connection on which nothing is asked is closed
 * @param halfClose whether a client that has ended its sending still gets its answers; else it counts as gone
 */
public record ClientLimits(int perSource, int perTenant, long idle, boolean halfClose) {
    /** Limits no client but by {@code idle}; the end of a client's sending is its end. */
    static ClientLimits of(long idle) {
        return new ClientLimits(0, 0, idle, false);
    }
}
