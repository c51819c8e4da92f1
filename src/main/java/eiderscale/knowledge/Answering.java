package eiderscale.knowledge;

/**
 * How often an instance tells others what it knows: one in each {@link #SLOT}, a few at once after a quiet time (the virtual
 * scheduling form of the generic cell rate algorithm, ITU-T I.371). Whoever comes sooner is given a moment of its own, each a slot
 * behind the one before, so that many who come together are spread over the time that it takes. Guards a survivor's own requests
 * against a fleet that returns. Time in nanoseconds.
 */
public final class Answering {
    /** One answer in this time. */
    public static final long SLOT = 50_000_000L;
    /** So many at once after a quiet time. */
    static final int AT_ONCE = 4;
    /** No moment is given away further ahead; who is told that distance may find the line shorter by then. */
    static final long HORIZON = 20_000_000_000L;

    private long due;
    private long givenAway;

    /** 0: answer now; else after how long to come again. */
    public long admit(long now) {
        if (now >= due - (AT_ONCE - 1) * SLOT) {
            due = Math.max(now, due) + SLOT;
            return 0;
        }
        givenAway = Math.min(Math.max(givenAway, now) + SLOT, now + HORIZON);
        return givenAway - now;
    }
}
