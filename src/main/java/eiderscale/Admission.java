package eiderscale;

import eiderscale.Api.*;

/** What is turned away before any work is done, and how hard the fleet looks pressed from here. */
final class Admission {
    /** Requests of a tenant's allowance that may be saved up; fewer would take chance for excess. */
    private static final double BURST = 20;
    /** What a failed or a done fill does to the share let through; they balance at a third failed. */
    private static final double FILL_CUT = 0.64;
    private static final double FILL_GROWTH = 1.25;
    private static final double LEAST_FILLS = 0.1;
    /** What a sign does to the share admitted: more for a balancer that sees few, within these limits. */
    private static final double LEAST_STEP = 0.02;
    private static final double MOST_STEP = 0.15;
    private static final long STEP_NS = 1_000_000_000L;
    /** Part of the aim after which a request that is still out is a sign of overload. */
    private static final double SLOW = 0.45;
    /** What a rejection and a slow request say of the load, where a quick answer says 1. */
    static final double REJECTION = -3;
    static final double SLOWNESS = -1;
    private static final double LEAST_ADMITTED = 0.05;
    /** Part of the longest wait told to a refused client that is told to each of them. */
    private static final double LEAST_WAIT = 0.25;
    private static final int WRITE_SMOOTHING = 8;
    private static final double READ_SMOOTHING = 0.05;
    /** Most of the aim that a fetch is allowed: a slow origin shows all the same. */
    private static final double MOST_FETCH = 0.2;

    private final Settings settings;
    double fills = 1;
    double admitted = 1;
    long loadAt;
    /** Mean time that an ordered request keeps its key. */
    long writeTime;
    /** Mean times of reads that hosts held and of those that they fetched; 0 until known. */
    double hitTime;
    double missTime;
    private final double[] tokens;
    private final long[] filled;

    Admission(Settings settings) {
        this.settings = settings;
        tokens = new double[settings.tenants().size()];
        filled = new long[tokens.length];
    }

    /** Guards against full, slow caches under lasting overload: traffic over shares goes first. */
    boolean shed(boolean over, boolean write, double dice) {
        double pass = Math.max(0, over ? 2 * admitted - 1 : 2 * admitted);
        return dice >= (write ? Math.sqrt(pass) : pass);
    }

    /**
     * When a refused client should come again: at once while little is shed, spread over most of what it has
     * left to wait while nearly all is. Guards against tries that multiply as more of them are refused, which
     * costs a balancer the time that it needs to serve. Harm: a request that would have been let in at its
     * next try comes late for its aim.
     */
    long retryAfter(RequestClass requestClass, double dice) {
        double shed = Math.max(0, 1 - 2 * admitted);
        return (long) (requestClass.deadline() * shed * shed * (LEAST_WAIT + (1 - LEAST_WAIT) * dice));
    }

    /**
     * A cache answered quickly, turned a request away, or has one out for long: half of one kind and half of
     * the other balance, so that lost answers alone shed nothing. Guards against jams that outlast their
     * cause, as servers that slow down when crowded make them. Harm: work that is slow by nature is shed.
     */
    void load(long now, double sign) {
        double step = Math.max(LEAST_STEP, Math.min(MOST_STEP, (double) (now - loadAt) / STEP_NS));
        loadAt = now;
        admitted = Math.max(LEAST_ADMITTED, Math.min(1, admitted * Math.exp(sign * step)));
    }

    /**
     * How long an answer may take before it tells of overload; longer where it may have been {@code fetched}.
     * Guards against taking misses for overload: they are slow at an idle fleet too, so that with many cold
     * hosts nine in ten were refused for good while those were 15% busy. Harm: an origin that slows down is
     * noticed later, by {@link #MOST_FETCH} of the aim.
     */
    long slowAfter(RequestClass requestClass, boolean fetched) {
        double fetch = fetched && hitTime > 0 ? Math.max(0, missTime - hitTime) : 0;
        return (long) (requestClass.aim() * SLOW + Math.min(requestClass.aim() * MOST_FETCH, fetch));
    }

    /** A read was answered by a cache that said how it came by the value. */
    void readTook(boolean hit, long took) {
        if (hit) {
            hitTime += (hitTime == 0 ? 1 : READ_SMOOTHING) * (took - hitTime);
        } else {
            missTime += (missTime == 0 ? 1 : READ_SMOOTHING) * (took - missTime);
        }
    }

    /** Whether so much is shed that nothing may be sent twice without need. */
    boolean overloaded() {
        return admitted < 0.5;
    }

    /** Whether its tenant's share is used up. */
    boolean overShare(long now, int tenant) {
        if (tenant >= tokens.length) {
            return false;
        }
        double rate = settings.tenants().get(tenant).allowancePerSecond() / settings.instances();
        tokens[tenant] = Math.min(BURST, tokens[tenant] + (now - filled[tenant]) * 1e-9 * rate);
        filled[tenant] = now;
        return tokens[tenant] < 1;
    }

    /** Counts an admitted request: guards against retries of refused ones using up their tenant's share. */
    void take(int tenant) {
        if (tenant < tokens.length) {
            tokens[tenant] = Math.max(0, tokens[tenant] - 1);
        }
    }

    /** Guards against a queue at the origin that makes all work late and outlasts its cause; writes last. */
    boolean fill(boolean write, double dice) {
        return dice < (write ? Math.sqrt(fills) : fills);
    }

    /** An attempt of an ordered request ran to its end. */
    void writeTook(long took) {
        writeTime += (took - writeTime) / WRITE_SMOOTHING;
    }

    /** A read or write that needed the origin ended. */
    void fillResult(boolean failed) {
        fills = failed ? Math.max(LEAST_FILLS, fills * FILL_CUT) : Math.min(1, fills * FILL_GROWTH);
    }

}
