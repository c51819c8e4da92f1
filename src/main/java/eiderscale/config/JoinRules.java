package eiderscale.config;

import eiderscale.Api;
import java.util.List;

/**
 * What a file says of reads that wait for one another. Times in nanoseconds, sizes in bytes.
 *
 * @param classes whether reads of a class join, by the number of the class
 * @param perKey waiters for one key
 * @param all waiters for all keys
 * @param beyondAlone whether one beyond these goes its own way; it is refused otherwise
 * @param longest how long a fetch may be out
 * @param failedFor how long a key that has failed is not fetched again; 0 for not at all
 * @param further fetches behind a failed first one
 * @param spread these go out within this, doubled each time
 * @param early how early stored responses are fetched anew, 1 as the paper of XFetch has it, 0 never
 * @param budget of further fetches, as for attempts
 */
public record JoinRules(List<Boolean> classes, int perKey, int all, boolean beyondAlone, long longest, long failedFor, int further,
                        long spread, double early, Api.Budget budget) {
    private static final long LEAST = 20 * Units.MILLISECOND;
    private static final int PER_TURN = 64;
    private static final long BYTES = 4L * 1024 * 1024;
    private static final int REMEMBERED = 4096;

    /** Where a file says nothing, and where there is none: nobody joins. */
    static final JoinRules NONE = new JoinRules(List.of(), 1, 1, true, Units.SECOND, 0, 0, 0, 0, new Api.Budget(0, 0, Units.SECOND));

    /** Whether reads of a class join. */
    public boolean joins(int requestClass) {
        return requestClass < classes.size() && classes.get(requestClass);
    }

    /** Whether reads of any class do. */
    public boolean any() {
        return classes.contains(true);
    }

    /** What must be left of a waiter's time for a further fetch to be worth it. */
    public long least() {
        return LEAST;
    }

    /** Answers that are given in one turn of the loop. */
    public int perTurn() {
        return PER_TURN;
    }

    /** Of answers that wait to be given. */
    public long bytes() {
        return BYTES;
    }

    /** Keys that are remembered as failed, and as not for sharing. */
    public int remembered() {
        return REMEMBERED;
    }
}
