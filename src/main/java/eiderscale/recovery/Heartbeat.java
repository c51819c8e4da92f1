package eiderscale.recovery;

/**
 * Notices that a process stood still: it beats a few times a second, and what comes while a beat is long overdue comes behind a
 * standstill (a stopped process, a paused machine, a swap storm). Whatever a driver does first behind it may ask, so that nothing
 * goes out before it is noticed. Time is the driver's own, in nanoseconds, and never falls.
 */
public final class Heartbeat {
    private final long limit;
    private long last;

    /** {@code limit}: a beat may be late by so long; must be positive. */
    public Heartbeat(long now, long limit) {
        if (limit <= 0) {
            throw new IllegalArgumentException("limit: " + limit);
        }
        this.last = now;
        this.limit = limit;
    }

    /** A beat, in its time or late; true if it, or an event before it that nobody asked about, ends a standstill. */
    public boolean beat(long now) {
        boolean stood = now - last >= limit;
        last = now;
        return stood;
    }

    /** Any other event; true if it is the first behind a standstill. */
    public boolean isFirst(long now) {
        return now - last >= limit && beat(now);
    }
}
