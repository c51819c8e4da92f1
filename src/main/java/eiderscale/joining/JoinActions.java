package eiderscale.joining;

/**
 * What joining has its driver do, called back during events and turns. Any of these may lead to further events at once.
 *
 * @param <K> what is fetched
 * @param <W> who waits
 * @param <A> what a fetch brings
 */
public interface JoinActions<K, W, A> {
    /**
     * Begins a fetch, which ends by {@link Joining#answered}, {@link Joining#apart} or {@link Joining#ended} exactly once,
     * unless it is cancelled first. {@code cause}: whose tenant it is booked to; null for one that nobody waits for.
     */
    void fetch(Flight<K, W, A> flight, W cause, long deadline);

    /** Nobody wants it any more: gives up the fetch that is out. */
    void cancel(Flight<K, W, A> flight);

    /** Waits for another's fetch from here on: costs its tenant what a request costs. */
    void joined(W waiter);

    /** Its answer. */
    void serve(W waiter, A answer);

    /** All that were to get an answer have it, or have left. */
    default void told(A answer) {
    }

    /** None: to be told at once. {@code last}: what the last fetch was answered, if anything; {@code wait}: nanoseconds. */
    void unserved(W waiter, A last, long wait);

    /** Has to fetch for itself; nobody joins that. */
    void alone(W waiter);
}
