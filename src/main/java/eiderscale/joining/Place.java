package eiderscale.joining;

/**
 * One who waits, from the moment that it was let in until it is told its end.
 *
 * @param <W> who waits
 */
public final class Place<W> implements Comparable<Place<W>> {
    final W waiter;
    final long deadline;
    private final long number;
    /** What it waits for; null once that has ended and the word only has to be given. */
    Flight<?, W, ?> flight;
    /** Where it stands among the flight's waiters. */
    int at;
    /** A fetch went out on its behalf: it causes no other. */
    boolean caused;
    boolean over;

    Place(W waiter, long deadline, long number) {
        this.waiter = waiter;
        this.deadline = deadline;
        this.number = number;
    }

    /** Whether it is the better cause of a fetch: it can wait longer, or as long and came first. */
    boolean causesBefore(Place<W> other) {
        return deadline > other.deadline || deadline == other.deadline && number < other.number;
    }

    @Override
    public int compareTo(Place<W> other) {
        int first = Long.compare(deadline, other.deadline);
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
