package eiderscale.config;

/**
 * How the descriptors of a process are dealt out: connections of clients, those kept just to be refused
 * ({@code surplus}), and connections to cache hosts ({@code links}).
 */
public record DescriptorPlan(int clients, int surplus, int links) {
    /** Kept for the JVM itself (11 when idle), discovery and the listening sockets, and for accepts. */
    private static final int RESERVE = 48;
    /**
     * Clients hold a third of the descriptors at most for requests. At just that many, each connection that
     * has closed and was not seen to yet costs a good one its place, so there are some more for these, for those
     * that only say nothing, and for those that are kept just to be refused.
     */
    private static final int REQUESTS_PART = 3;
    private static final int FURTHER_PART = 8;
    private static final int SURPLUS_PART = 16;
    private static final int MOST_SURPLUS = 16;

    /** Deals out {@code all} descriptors. */
    public static DescriptorPlan of(int all) {
        int clients = Math.max(1, all / REQUESTS_PART + all / FURTHER_PART);
        int surplus = Math.min(MOST_SURPLUS, all / SURPLUS_PART);
        return new DescriptorPlan(clients, surplus,
                Math.max(1, all - Math.min(RESERVE, all / 4) - clients - surplus));
    }
}
