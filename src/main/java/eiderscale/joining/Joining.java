package eiderscale.joining;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Fetches that are under way, one for each key, and who waits for them. A key whose answer was not for sharing is
 * fetched by each on its own for a while, lest its readers queue behind one another (what Varnish calls hit-for-miss).
 * Times are the caller's, in any unit, never falling. For one thread.
 *
 * @param <K> what is fetched
 * @param <W> who waits; told apart by identity
 */
public final class Joining<K, W> {
    /** One fetch and those that wait for it; the one that caused it is not among them. */
    public final class Flight {
        private final K key;
        private final List<W> waiting = new ArrayList<>();
        private boolean open = true;

        private Flight(K key) {
            this.key = key;
        }

        /** Takes one more in; false if nobody may join it any more, or enough wait. */
        public boolean join(W waiter) {
            if (!open || waiting.size() >= mostWaiting) {
                return false;
            }
            waiting.add(waiter);
            return true;
        }

        /** One does not wait any more; false if it did not. */
        public boolean leave(W waiter) {
            for (int i = 0; i < waiting.size(); i++) {
                if (waiting.get(i) == waiter) {
                    waiting.remove(i);
                    return true;
                }
            }
            return false;
        }

        /** Whether nobody waits for it. */
        public boolean isAlone() {
            return waiting.isEmpty();
        }

        /** Nobody may join it from here on, and another one may begin for its key. */
        public void close() {
            open = false;
            flights.remove(key, this);
        }

        /** It is not for sharing: closes it, and has its key fetched by each on its own until then. */
        public void closeApart(long until) {
            close();
            apart.remove(key);
            apart.put(key, until);
        }

        /** All that wait, in the order in which they came; none waits any more. */
        public List<W> release() {
            List<W> all = new ArrayList<>(waiting);
            waiting.clear();
            return all;
        }
    }

    private final int mostWaiting;
    private final Map<K, Flight> flights = new HashMap<>();
    private final Map<K, Long> apart;

    /** {@code mostWaiting}: for one fetch; {@code mostApart}: keys that are remembered as not for sharing. */
    public Joining(int mostWaiting, int mostApart) {
        this.mostWaiting = mostWaiting;
        this.apart = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Long> eldest) {
                return size() > mostApart;
            }
        };
    }

    /** Whether a key is to be fetched by each on its own at present. */
    public boolean isApart(K key, long now) {
        Long until = apart.isEmpty() ? null : apart.get(key);
        if (until != null && until <= now) {
            apart.remove(key);
            return false;
        }
        return until != null;
    }

    /** The fetch for a key that may be joined, or null. */
    public Flight under(K key) {
        return flights.get(key);
    }

    /** Begins a fetch that others may join; throws {@link IllegalStateException} if there is one for its key. */
    public Flight begin(K key) {
        Flight flight = new Flight(key);
        if (flights.putIfAbsent(key, flight) != null) {
            throw new IllegalStateException("a fetch is under way");
        }
        return flight;
    }

    /** Begins a fetch that nobody may join. */
    public Flight beginAlone(K key) {
        Flight flight = new Flight(key);
        flight.open = false;
        return flight;
    }

    /** How many may be joined. */
    public int open() {
        return flights.size();
    }

    /** How many keys are remembered as not for sharing. */
    public int apart() {
        return apart.size();
    }
}
