package eiderscale.joining;

/**
 * What joining may hold and wait for. Times in nanoseconds.
 *
 * @param perKey waiters for one key, 1 at least
 * @param all waiters for all keys together, 1 at least
 * @param beyondAlone whether one beyond these bounds goes its own way; it is refused otherwise
 * @param longest how long a fetch may be out, whoever waits for it
 * @param failedFor for how long newcomers are refused when a key's fetch has failed for good; 0 for not at all
 * @param elections further fetches after the first one, for those that still have time
 * @param spread a further fetch goes out at a moment within this, doubled with each one
 * @param least what must be left of a waiter's time, behind the start of a further fetch, for it to be worth one
 * @param perTurn answers that are given in one turn of the loop
 * @param bytes of answers that wait to be given; beyond that, they are given at once
 * @param free further fetches and lone reads that are always allowed within a span
 * @param share further ones allowed for each fetch begun within it
 * @param span of these
 * @param remembered keys that are remembered as failed, and as not for sharing
 */
public record JoinLimits(int perKey, int all, boolean beyondAlone, long longest, long failedFor, int elections, long spread,
                         long least, int perTurn, long bytes, double free, double share, long span, int remembered) {
    /** Throws {@link IllegalArgumentException} for what could never work. */
    public JoinLimits {
        if (perKey < 1 || all < 1 || longest < 1 || elections < 0 || perTurn < 1 || span < 1 || remembered < 1
                || failedFor < 0 || spread < 0 || least < 0 || free < 0 || share < 0) {
            throw new IllegalArgumentException("limits of joining");
        }
    }
}
