package eiderscale.joining;

import java.util.LinkedHashMap;
import java.util.Map;

/** Keys of which something holds until a moment; of too many the oldest are forgotten. Times in nanoseconds. */
final class KeyMemory<K> {
    private final Map<K, Long> until;

    KeyMemory(int most) {
        until = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Long> eldest) {
                return size() > most;
            }
        };
    }

    void put(K key, long moment) {
        until.remove(key);
        until.put(key, moment);
    }

    void forget(K key) {
        if (!until.isEmpty()) {
            until.remove(key);
        }
    }

    /** How long it still holds; 0 if it does not. */
    long left(K key, long now) {
        Long moment = until.isEmpty() ? null : until.get(key);
        if (moment == null) {
            return 0;
        }
        if (moment <= now) {
            until.remove(key);
            return 0;
        }
        return moment - now;
    }

    int size() {
        return until.size();
    }
}
