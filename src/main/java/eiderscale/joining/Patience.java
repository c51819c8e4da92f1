package eiderscale.joining;

/**
 * How long a fetch is expected to take: mean and mean deviation of those that were answered, as a TCP sender keeps them of
 * round trips (RFC 6298, with its gains of 1/8 and 1/4 and its factor of 4). Times in nanoseconds.
 */
final class Patience {
    /** Less than this is no sign of anything. */
    private static final double LEAST = 20e6;
    private static final int FEW = 8;

    private double mean;
    private double deviation;
    private int samples;

    void answered(long took) {
        if (samples++ == 0) {
            mean = took;
            deviation = took / 2.0;
        } else {
            deviation += (Math.abs(took - mean) - deviation) / 4;
            mean += (took - mean) / 8;
        }
    }

    /** Beyond this a fetch is older than one's own would be expected to get; never, before a few were seen. */
    long expected() {
        return samples < FEW ? Long.MAX_VALUE : (long) Math.max(LEAST, mean + 4 * deviation);
    }
}
