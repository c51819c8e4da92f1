package eiderscale;

import eiderscale.Api.ListMode;

/**
 * Since when a host counts as cold, by the start time that lists tell. Start times are read off the wall
 * clocks of other machines, which may be stepped: one that cannot be is taken for a start at this moment.
 * Times in nanoseconds.
 */
final class StartTimes {
    /** What {@link #coldSince} says of a host that is warm. */
    static final long WARM = 0;
    /** Lists tell of a start within so long, or as soon as they are heard again. */
    static final long MOST_TOLD_AFTER_NS = 10_000_000_000L;

    private final long warmWithin;
    private boolean heard;
    /** When discovery's last list was heard. */
    private long heardAt;

    StartTimes(long warmWithin) {
        this.warmWithin = warmWithin;
    }

    /** A list has been applied. One that was kept from before is not heard. */
    void onList(long now, ListMode mode) {
        if (mode == ListMode.DELTA || mode == ListMode.FULL) {
            heard = true;
            heardAt = now;
        }
    }

    /**
     * Since when a host is cold whose start time is new to this instance. Where lists have been heard before,
     * a start that is news happened since the last one, but for the time that telling takes.
     */
    long coldSince(long now, ListMode mode, long startedAt) {
        if (startedAt == 0) {
            return WARM;
        }
        long age = now - startedAt;
        boolean isNews = heard && mode != ListMode.CACHED;
        boolean isImpossible = age < 0 || isNews && age > now - heardAt + MOST_TOLD_AFTER_NS;
        if (isImpossible) {
            return now;
        }
        return age < warmWithin ? startedAt : WARM;
    }
}
