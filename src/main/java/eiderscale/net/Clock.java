package eiderscale.net;

/**
 * The program's clock, in nanoseconds: the monotonic clock moved once onto Unix time. One fixed offset
 * keeps it from ever falling, and start times told by discovery compare with it directly.
 */
public final class Clock {
    /** In nanoseconds. */
    public static final long MICROSECOND = 1_000L;
    /** In nanoseconds. */
    public static final long MILLISECOND = 1_000_000L;
    /** In nanoseconds. */
    public static final long SECOND = 1_000_000_000L;
    private static final long OFFSET = System.currentTimeMillis() * MILLISECOND - System.nanoTime();

    private Clock() {
    }

    /** The time, in nanoseconds. */
    public static long now() {
        return System.nanoTime() + OFFSET;
    }
}
