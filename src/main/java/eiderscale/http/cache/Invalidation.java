package eiderscale.http.cache;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** What an answer to an unsafe method takes out of the cache (RFC 9111 section 4.4). */
public final class Invalidation {
    /** Methods that change nothing (RFC 9110 section 9.2.1); one that is not known may change anything. */
    private static final Set<String> SAFE = Set.of("GET", "HEAD", "OPTIONS", "TRACE");

    private Invalidation() {
    }

    /** Whether a method may change something. */
    public static boolean isUnsafe(String method) {
        return !SAFE.contains(method);
    }

    /**
     * The keys that are no longer valid: the target's, and those that the answer names if they are of its origin, lest
     * one site takes another's out. None where the answer is an error.
     */
    public static List<CacheKey> of(String method, CacheKey target, int status, Fields response) {
        List<CacheKey> keys = new ArrayList<>();
        if (isUnsafe(method) && status >= 200 && status < 400) {
            keys.add(target);
            for (String name : new String[] {"location", "content-location"}) {
                String reference = response.first(name);
                CacheKey other = reference == null ? null : target.sameOrigin(reference);
                if (other != null && !keys.contains(other)) {
                    keys.add(other);
                }
            }
        }
        return keys;
    }
}
