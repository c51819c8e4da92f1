package org.apache.hc.client5.http.impl.cache;

import java.time.Instant;
import java.util.Set;
import org.apache.hc.client5.http.cache.HttpCacheEntry;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.message.HeaderGroup;

/** Opens the arithmetic of Apache HttpClient's cache, which its package keeps to itself, to tests. */
public final class ApacheFreshness {
    private final HttpCacheEntry entry;
    private final CacheValidityPolicy policy = new CacheValidityPolicy(CacheConfig.custom().setSharedCache(true)
            .setHeuristicCachingEnabled(true).build());

    /** A response by its fields, names and values by turns; times in milliseconds since the epoch. */
    public ApacheFreshness(long asked, long came, String... fields) {
        HeaderGroup headers = new HeaderGroup();
        for (int i = 0; i < fields.length; i += 2) {
            headers.addHeader(new BasicHeader(fields[i], fields[i + 1]));
        }
        entry = new HttpCacheEntry(Instant.ofEpochMilli(asked), Instant.ofEpochMilli(came), "GET", "http://example.org/",
                new HeaderGroup(), 200, headers, null, Set.of());
    }

    /** In seconds. */
    public long age(long now) {
        return policy.getCurrentAge(entry, Instant.ofEpochMilli(now)).toSeconds();
    }

    /** In seconds. */
    public long lifetime() {
        return policy.getFreshnessLifetime(CacheControlHeaderParser.INSTANCE.parse(entry), entry).toSeconds();
    }
}
