package eiderscale.http;

import eiderscale.http.cache.CacheKey;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The fetches that are under way, by their targets: a write of a target overwrites all of them, whoever waits for them and
 * whether or not others may. What was asked before a write may show what was there before it. Holds one entry for each open fetch.
 * For one event loop.
 */
final class UnderWay {
    private final Map<CacheKey, Set<Fetching>> fetches = new HashMap<>();

    /** A fetch of a target goes out. */
    void begun(CacheKey target, Fetching fetch) {
        fetches.computeIfAbsent(target, key -> new HashSet<>()).add(fetch);
    }

    /** It is over; told again it changes nothing. */
    void ended(CacheKey target, Fetching fetch) {
        Set<Fetching> same = fetches.get(target);
        if (same != null && same.remove(fetch) && same.isEmpty()) {
            fetches.remove(target);
        }
    }

    /** A target is being written to, or has been. */
    void written(CacheKey target) {
        fetches.getOrDefault(target, Set.of()).forEach(Fetching::overwrite);
    }
}
