package eiderscale.knowledge;

/**
 * Who has written a store, and when.
 *
 * @param balancer its name
 * @param incarnation of its process: grows with each start
 * @param place what the file system calls the file that it was written to, as a copy or a restored backup is called otherwise;
 *              empty where that is not told
 * @param at the last write, Unix time in nanoseconds
 */
public record Origin(String balancer, long incarnation, String place, long at) {
    private static final long SECOND = 1_000_000_000L;
    /** A clock that is set by the network steps back by less than this. */
    static final long STEP = 2 * SECOND;

    /** A process writes its last word no longer than this before the last write of all. */
    static final long BEHIND = 120 * SECOND;

    /** What a store is to the process that finds it. */
    public enum Standing {
        /** Its own latest, for all that can be told. A folder that was rolled back under its own name looks like this. */
        OWN,
        /** Its own, written at a time that has not come yet: how old it is cannot be told. */
        FROM_LATER,
        /** A copy or a backup: whoever wrote it may have gone on elsewhere. */
        MOVED,
        /** Another balancer's. */
        ANOTHERS;

        /** Whether its age counts for what it is, and so all that it says. */
        public boolean isOwn() {
            return this == OWN;
        }
    }

    /**
     * What this is to a process of a name that finds it at a place and a time. {@code touched}: when the file system last saw it
     * written, in nanoseconds: a copy that happens to get its original's place was made long after its last word.
     */
    public Standing standing(String finder, String foundAt, long touched, long now) {
        if (!balancer.equals(finder)) {
            return Standing.ANOTHERS;
        }
        if (!place.isEmpty() && !place.equals(foundAt) || touched > at + BEHIND) {
            return Standing.MOVED;
        }
        return at > now + STEP ? Standing.FROM_LATER : Standing.OWN;
    }

    /**
     * The incarnation of a process that starts at {@code now} and finds this, or nothing (null). It grows with each start while
     * the store is there, and begins at the clock's seconds, so that it grows over a lost one unless the clock went back as well.
     */
    public static long next(Origin found, String finder, long now) {
        long byClock = now / SECOND;
        return found == null || !found.balancer.equals(finder) ? byClock : Math.max(found.incarnation + 1, byClock);
    }
}
