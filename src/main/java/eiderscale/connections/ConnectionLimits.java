package eiderscale.connections;

/**
 * What clients' connections may take; times in nanoseconds.
 *
 * @param most connections that are kept for requests
 * @param surplus connections over these that are kept just to be refused
 * @param lingering connections over these that have been told to go and are waited for
 * @param easy from this many on, connections that have long been idle are closed, so that clients which may open only
 *     so many have some left to ask on
 * @param perSource connections that one source may have, 0 for any number
 * @param perTenant connections on which one tenant asks, 0 for any number
 * @param command how long a first command, or one that has begun, may take to be whole
 * @param idle how long a connection may stand with nothing asked
 * @param settled how long one must have been idle to be closed for {@code easy}
 * @param young how long one that has yet to speak is left alone while room runs short
 * @param farewell how long a client may take to see that its connection is closing
 * @param late by how much the loop must be late for idle ones to be left alone: their commands may be waiting
 */
public record ConnectionLimits(int most, int surplus, int lingering, int easy, int perSource, int perTenant, long command,
                               long idle, long settled, long young, long farewell, long late) {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1000 * MS;
    /** Clients may take two seconds for a head, and one that says nothing is owed a close within three. */
    private static final long COMMAND = 2500 * MS;

    /** Limits by number, with the usual times but for {@code idle}. */
    public static ConnectionLimits of(int most, int surplus, int easy, int perSource, int perTenant,
                                      long idle) {
        return new ConnectionLimits(most, surplus, Math.max(1, surplus / 2), easy, perSource, perTenant, COMMAND,
                idle, 100 * MS, 100 * MS, 2 * SECOND, 20 * MS);
    }
}
