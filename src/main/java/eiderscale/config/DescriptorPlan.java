package eiderscale.config;

/**
 * How the descriptors of a process are dealt out: connections of clients, those kept just to be refused
 * ({@code surplus}), and connections to cache hosts ({@code links}). From {@code easy} connections of clients on,
 * those that have long been idle are closed.
 */
public record DescriptorPlan(int clients, int surplus, int easy, int links) {
    /** Kept for the JVM itself (11 when idle), discovery and the listening sockets, and for accepts. */
    private static final int RESERVE = 48;
    /**
     * Clients hold a third of the descriptors at most for requests. At just that many, each connection that
     * has closed and was not seen to yet costs a good one its place, so there are some more for these, for those
     * that only say nothing, and for those that are kept just to be refused.
     */
    private static final int REQUESTS_PART = 3;
    /**
     * Part of what clients may open for requests from which on idle connections are closed. Guards against clients
     * that ask once and keep their connection, which leave the others none to ask on. Harm: where that many are in
     * use by turns, some are opened again for nothing.
     */
    private static final double EASY_PART = 0.75;
    private static final int FURTHER_PART = 8;
    private static final int SURPLUS_PART = 16;
    private static final int MOST_SURPLUS = 16;

    /** Deals out {@code all} descriptors as the platform does, where clients may open a third of them. */
    public static DescriptorPlan of(int all) {
        return of(all, all / REQUESTS_PART + all / FURTHER_PART, (int) (all / REQUESTS_PART * EASY_PART));
    }

    /** Deals them out with so many for clients; {@code easy}: {@link Integer#MAX_VALUE} closes no idle ones early. */
    static DescriptorPlan of(int all, int clients, int easy) {
        int some = Math.max(1, clients);
        int surplus = Math.min(MOST_SURPLUS, all / SURPLUS_PART);
        return new DescriptorPlan(some, surplus, easy,
                Math.max(1, all - Math.min(RESERVE, all / 4) - some - surplus));
    }
}
