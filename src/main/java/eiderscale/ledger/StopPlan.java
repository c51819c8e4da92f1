package eiderscale.ledger;

/**
 * The moments of an orderly stop, made once for a whole deployment when its process is told to end, and followed by every front of it.
 * Behind the signal the process may be killed at {@link #earliestKill}; all that has been read is answered by then. Spans and moments
 * are in nanoseconds, moments on the clock of the ledger.
 *
 * @param closeAt no connection is accepted any more, and idle ones are told to go
 * @param answerBy the latest moment for the final answer to a request, however much later its own deadline is
 */
public record StopPlan(long closeAt, long answerBy) {
    private static final long MS = 1_000_000L;
    /** A longer deadline gives a process no more time to end. */
    private static final long MOST_DEADLINE_COUNTED = 3_000 * MS;
    /** Granted beyond the longest deadline. */
    private static final long GRANTED = 700 * MS;
    /** For the way of the last answer. */
    private static final long LAST_WAY = 150 * MS;
    /** Clients go on connecting for a while behind the signal. */
    private static final long ACCEPT_ON = 600 * MS;
    /** Connections on which nothing is asked stay open for so long beside a successor. */
    private static final long PART = 1_500 * MS;

    /** How long behind the signal the process may be killed, in a deployment with such a longest deadline. */
    public static long earliestKill(long longestDeadline) {
        return Math.min(longestDeadline, MOST_DEADLINE_COUNTED) + GRANTED;
    }

    /** The plan where no other process serves in its place. {@code longestDeadline}: of all classes of the deployment. */
    public static StopPlan alone(long now, long longestDeadline) {
        return new StopPlan(now + ACCEPT_ON, answerBy(now, longestDeadline));
    }

    /** The same beside a successor that takes clients. */
    public static StopPlan followed(long now, long longestDeadline) {
        long answerBy = answerBy(now, longestDeadline);
        return new StopPlan(Math.min(now + PART, now + (answerBy - now) / 2), answerBy);
    }

    private static long answerBy(long now, long longestDeadline) {
        return now + earliestKill(longestDeadline) - LAST_WAY;
    }
}
