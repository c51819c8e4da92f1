package eiderscale.members;

/**
 * How fast a group looks after itself. Times in nanoseconds.
 *
 * @param period of one probe
 * @param answer how long a direct answer may take before others are asked
 * @param helpers how many are asked
 * @param remembered for how long the dead are known
 */
public record Pace(long period, long answer, int helpers, long remembered) {
    private static final long MS = 1_000_000L;
    /** A probe each second, 300 ms for an answer, three helpers, ten minutes. */
    public static final Pace USUAL = new Pace(1000 * MS, 300 * MS, 3, 600_000 * MS);

    /** Throws {@link IllegalArgumentException} where an answer would take longer than a period. */
    public Pace {
        if (period <= 0 || answer <= 0 || answer >= period || helpers < 0 || remembered < period) {
            throw new IllegalArgumentException("pace: " + period + ", " + answer + ", " + helpers);
        }
    }

    /** The least time to object, among so many: grows with the logarithm, as news do. */
    long leastSuspicion(int members) {
        return (long) (3 * Math.max(1, Math.log10(Math.max(1, members))) * period);
    }

    /** So often a word is passed on: enough to reach all with near certainty. */
    int passes(int members) {
        return 3 * (int) Math.ceil(Math.log10(members + 1.0) + 1);
    }
}
