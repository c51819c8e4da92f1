package eiderscale.ledger;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Ids of unsafe requests whose clients left before they had an answer, though the request may have run. Nobody was told of
 * its end, so that the same id may come again, and would run a second time. They are remembered for a while, and as many as
 * there is room for.
 */
public final class SpentIds {
    /** A client that comes again does so within seconds; in nanoseconds. */
    public static final long KEPT = 30_000_000_000L;
    private static final int MOST_IDS = 8192;

    /** By id, when it may be forgotten; the oldest first. */
    private final Map<String, Long> until = new LinkedHashMap<>();

    /** Remembers an id from now on. */
    void add(long now, String id) {
        forget(now);
        until.remove(id);
        until.put(id, now + KEPT);
        if (until.size() > MOST_IDS) {
            Iterator<String> oldest = until.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Whether a request with this id may have run. */
    boolean contains(long now, String id) {
        forget(now);
        return until.containsKey(id);
    }

    /** All that are remembered. */
    Collection<String> all(long now) {
        forget(now);
        return List.copyOf(until.keySet());
    }

    private void forget(long now) {
        Iterator<Long> oldest = until.values().iterator();
        while (oldest.hasNext() && oldest.next() <= now) {
            oldest.remove();
        }
    }
}
