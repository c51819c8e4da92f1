package eiderscale.joining;

import java.util.ArrayList;
import java.util.List;

/**
 * One key's fetch and all that wait for it; further fetches for the same waiters are the same flight.
 *
 * @param <K> what is fetched
 * @param <W> who waits
 * @param <A> what a fetch brings
 */
public final class Flight<K, W, A> implements Comparable<Flight<K, W, A>> {
    final K key;
    /** In which form it is wanted. */
    final Object variant;
    private final long number;
    final List<Place<W>> waiting = new ArrayList<>();
    /** A fetch is out. */
    boolean out;
    /** When the present one began. */
    long begunAt;
    /** When the next one begins, where one was elected. */
    long electedAt;
    int elections;
    /** Somebody takes the answer as it comes, or wants it without waiting. */
    boolean wanted;
    /** The key was written to since this one began. */
    boolean overwritten;
    boolean over;
    /** Until then nobody else goes alone beside it. */
    long loneUntil = Long.MIN_VALUE;

    Flight(K key, Object variant, long number) {
        this.key = key;
        this.variant = variant;
        this.number = number;
    }

    /** What it fetches. */
    public K key() {
        return key;
    }

    /** How many wait. */
    public int waiting() {
        return waiting.size();
    }

    /** Whether its key was written to since it began: what it brings serves those that wait, and nobody later. */
    public boolean isOverwritten() {
        return overwritten;
    }

    /** Whether it has ended. */
    public boolean isOver() {
        return over;
    }

    void add(Place<W> place) {
        place.flight = this;
        place.at = waiting.size();
        waiting.add(place);
    }

    void remove(Place<W> place) {
        Place<W> last = waiting.remove(waiting.size() - 1);
        if (last != place) {
            last.at = place.at;
            waiting.set(place.at, last);
        }
        place.flight = null;
    }

    @Override
    public int compareTo(Flight<K, W, A> other) {
        int first = Long.compare(electedAt, other.electedAt);
        return first != 0 ? first : Long.compare(number, other.number);
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
