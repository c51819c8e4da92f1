package eiderscale.http.cache;

import java.util.Map;

/**
 * What a response says of its caching, by the field that counts for this cache: {@code CDN-Cache-Control} where it is
 * valid and says anything, which sets {@code Cache-Control} and {@code Expires} aside (RFC 9213 section 2.2), else
 * these. {@code targeted}: it was the former.
 */
record Control(Directives directives, boolean targeted) {
    private static final String TARGETED = "cdn-cache-control";

    static Control of(Fields fields) {
        Map<String, String> members = Dictionary.parse(fields.joined(TARGETED));
        if (members != null && !members.isEmpty()) {
            members.values().removeIf("?0"::equals);
            return new Control(Directives.of(members), true);
        }
        return new Control(Directives.of(fields.all("cache-control")), false);
    }

    boolean has(String name) {
        return directives.has(name);
    }

    /**
     * Whether it may never be served stale (RFC 9111 sections 4.2.4, 5.2.2.2, 5.2.2.8 and 5.2.2.10: s-maxage means
     * proxy-revalidate too).
     */
    boolean forbidsStale() {
        return has("must-revalidate") || has("proxy-revalidate") || has("s-maxage")
                || directives.hasUnqualified("no-cache");
    }
}
