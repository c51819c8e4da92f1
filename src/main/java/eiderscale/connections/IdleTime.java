package eiderscale.connections;

/**
 * How long a connection to a host may stand idle. Hosts hold so many connections and no more, and balancers that share
 * nothing cannot divide them: each keeps those it may need again, which is right for one and fills the tables of all
 * hosts once there are many. A host that turns a request away on a connection which it has just taken shows that tables
 * are full, here or at other hosts: then all idle ones are given up sooner, in proportion to how often that happens
 * (multiplicative decrease, slow increase, as in Chiu and Jain 1989). Harm: more handshakes, at the least one a request.
 */
public final class IdleTime {
    /** Nanoseconds below which no connection would ever be used again. */
    static final long LEAST = 50_000_000L;
    /** From here the first sign counts: a longer time never mattered. */
    static final long START = 4_000_000_000L;
    private static final double CUT = 0.7;
    private static final double GROWTH = 1.1;

    private double limit = Double.MAX_VALUE;

    /** The longest that a connection may be idle, in nanoseconds, of {@code most} that the settings allow. */
    public long limit(long most) {
        return (long) Math.min(most, Math.max(LEAST, limit));
    }

    /** A host took a connection and turned away the first request on it without a word on its load. */
    public void turnedAway() {
        limit = Math.max(LEAST, Math.min(limit, START) * CUT);
    }

    /** A host had room for a new connection; answers on kept ones tell nothing, or those who hold all would keep all. */
    public void welcomed() {
        limit = Math.min(Double.MAX_VALUE / GROWTH, limit) * GROWTH;
    }
}
