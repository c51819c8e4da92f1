package eiderscale.http;

import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.HttpCache;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The fetches that are under way for what may be stored, one for each target: others that want the same wait for it,
 * each as long as its own client does. What turned out not to be for sharing is not waited for again for a while, lest
 * its readers queue behind one another. For one event loop.
 */
final class Fetches {
    /** For how long a target that gave nothing to share is fetched by each on its own, in milliseconds. */
    private static final long APART_MS = 10_000;
    private static final int MOST_APART = 4096;

    private final HttpFront front;
    private final Map<CacheKey, Fetching> open = new HashMap<>();
    private final Map<CacheKey, Long> apart = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<CacheKey, Long> eldest) {
            return size() > MOST_APART;
        }
    };

    Fetches(HttpFront front) {
        this.front = front;
    }

    /** Gets what a request wants: by a fetch that is under way, or by one of its own. */
    void fetch(HttpCache.Fetch fetch, Turn turn, boolean mayJoin) {
        boolean shared = mayJoin && fetch.method().equals("GET") && !isApart(fetch.key());
        Fetching under = shared ? open.get(fetch.key()) : null;
        if (under != null && under.join(turn)) {
            return;
        }
        Fetching own = new Fetching(front, this, turn, turn.origin(), shared && under == null);
        if (shared && under == null) {
            open.put(fetch.key(), own);
        }
        own.start(fetch);
    }

    /** Asks whether something still holds that was served; not if that is being asked already. */
    void behind(HttpCache.Fetch fetch, Turn turn) {
        if (!open.containsKey(fetch.key())) {
            Fetching own = new Fetching(front, this, null, turn.origin(), true);
            open.put(fetch.key(), own);
            own.start(fetch);
        }
    }

    /** Nobody waits for this one any more. */
    void close(CacheKey key, Fetching fetching) {
        open.remove(key, fetching);
    }

    /** What this target gave was not for sharing. */
    void keepApart(CacheKey key) {
        apart.remove(key);
        apart.put(key, front.nowMs() + APART_MS);
    }

    private boolean isApart(CacheKey key) {
        Long until = apart.isEmpty() ? null : apart.get(key);
        if (until != null && until <= front.nowMs()) {
            apart.remove(key);
            return false;
        }
        return until != null;
    }

    /** How many are under way that others may wait for. */
    int open() {
        return open.size();
    }
}
