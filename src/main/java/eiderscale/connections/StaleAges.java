package eiderscale.connections;

/**
 * What is known of a host's idle connections: from which age on it resets them when they are used. Hosts, and what
 * stands between, forget connections without a word; a request on such a one ends as a reset after its last byte, and
 * an unsafe one is lost by it. Uses and resets are counted by age, in doubling steps, and forgotten by and by, so that
 * a host that no longer does so is tried again.
 */
public final class StaleAges {
    private static final long MS = 1_000_000L;
    /** The first step ends here, each next one at twice the age. */
    private static final long FIRST = 25 * MS;
    private static final int STEPS = 12;
    /** A reset that comes later than this after the request has another cause, such as a host that died. */
    private static final long AT_ONCE = 50 * MS;
    /** Uses without a reset that each step begins with: one reset alone is no proof for safe requests. */
    private static final double DOUBT = 8;
    private static final long HALF_LIFE = 30_000 * MS;
    /** The share of resets from which on a connection of an age is not used. */
    private static final double MOST_UNSAFE = 0.02;
    private static final double MOST_SAFE = 0.25;
    /** Below this nothing is remembered. */
    private static final double NOTHING = 0.05;

    private final float[] uses = new float[STEPS];
    private final float[] resets = new float[STEPS];
    private long halvedAt = Long.MIN_VALUE;
    private boolean any;

    private static int step(long age) {
        int step = 0;
        for (long end = FIRST; age >= end && step < STEPS - 1; end *= 2) {
            step++;
        }
        return step;
    }

    /** A connection that had been idle for {@code age} was used; {@code took}: until its answer or its reset. */
    public void used(long now, long age, boolean reset, long took) {
        forget(now);
        boolean stale = reset && took < AT_ONCE;
        if (!stale && !any) {
            // Most hosts never do this: nothing is kept of them.
            return;
        }
        any = true;
        int step = step(age);
        uses[step]++;
        resets[step] += stale ? 1 : 0;
    }

    private void forget(long now) {
        if (halvedAt == Long.MIN_VALUE) {
            halvedAt = now;
        }
        double left = 0;
        while (now - halvedAt >= HALF_LIFE) {
            halvedAt += any ? HALF_LIFE : now - halvedAt;
            for (int i = 0; i < STEPS; i++) {
                uses[i] /= 2;
                resets[i] /= 2;
                left = Math.max(left, resets[i]);
            }
            any = left > NOTHING;
            left = 0;
        }
    }

    /** Whether a connection that has been idle for so long should carry a request. An older one is never safer. */
    public boolean mayUse(long now, long age, boolean unsafe) {
        if (!any) {
            return true;
        }
        forget(now);
        double risk = 0;
        for (int i = step(age); i >= 0; i--) {
            risk = Math.max(risk, resets[i] / (uses[i] + DOUBT));
        }
        return risk <= (unsafe ? MOST_UNSAFE : MOST_SAFE);
    }
}
