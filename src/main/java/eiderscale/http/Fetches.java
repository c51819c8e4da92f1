package eiderscale.http;

import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.HttpCache;
import eiderscale.joining.Joining;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * The fetches that are under way for what may be stored, one for each target: others that want the same wait for it,
 * each as long as its own client does. For one event loop.
 */
final class Fetches {
    /** For how long a target that gave nothing to share is fetched by each on its own, in milliseconds. */
    private static final long APART_MS = 10_000;
    private static final int MOST_APART = 4096;
    private static final int MOST_WAITING = 100_000;

    private final HttpFront front;
    private final Joining<CacheKey, Turn> joining = new Joining<>(MOST_WAITING, MOST_APART);
    private final Map<Joining<CacheKey, Turn>.Flight, Fetching> open = new IdentityHashMap<>();

    Fetches(HttpFront front) {
        this.front = front;
    }

    /** Gets what a request wants: by a fetch that is under way, or by one of its own. */
    void fetch(HttpCache.Fetch fetch, Turn turn, boolean mayJoin) {
        boolean shared = mayJoin && fetch.method().equals("GET") && !joining.isApart(fetch.key(), front.nowMs());
        Joining<CacheKey, Turn>.Flight under = shared ? joining.under(fetch.key()) : null;
        if (under != null && open.get(under).join(turn)) {
            return;
        }
        begin(fetch, turn, turn.origin(), shared && under == null);
    }

    /** Asks whether something still holds that was served; not if that is being asked already. */
    void behind(HttpCache.Fetch fetch, Turn turn) {
        if (joining.under(fetch.key()) == null) {
            begin(fetch, null, turn.origin(), true);
        }
    }

    private void begin(HttpCache.Fetch fetch, Turn turn, Origin origin, boolean shared) {
        Joining<CacheKey, Turn>.Flight flight = shared ? joining.begin(fetch.key()) : joining.beginAlone(fetch.key());
        Fetching fetching = new Fetching(front, this, turn, origin, flight);
        if (shared) {
            open.put(flight, fetching);
        }
        fetching.start(fetch);
    }

    /** Nobody may join it from here on. {@code apart}: what it brings is not for sharing. */
    void close(Joining<CacheKey, Turn>.Flight flight, boolean apart) {
        if (open.remove(flight) != null) {
            if (apart) {
                flight.closeApart(front.nowMs() + APART_MS);
            } else {
                flight.close();
            }
        }
    }
}
