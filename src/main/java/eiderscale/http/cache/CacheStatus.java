package eiderscale.http.cache;

/** The field {@code Cache-Status}, by which a cache says what it did (RFC 9211). */
public final class CacheStatus {
    private final StringBuilder text;

    private CacheStatus(String cache) {
        text = new StringBuilder(cache);
    }

    /** Served from what is stored; {@code ttl}: for how many seconds it is fresh, negative once it is stale. */
    public static CacheStatus hit(String cache, long ttl) {
        CacheStatus status = new CacheStatus(cache);
        status.text.append("; hit; ttl=").append(ttl);
        return status;
    }

    /** Sent on, for a reason. */
    public static CacheStatus forwarded(String cache, Reuse.Reason reason) {
        CacheStatus status = new CacheStatus(cache);
        status.text.append("; fwd=").append(reason.word());
        return status;
    }

    /** The status of the answer that came, where it is not the one that is passed on. */
    public CacheStatus answered(int code) {
        text.append("; fwd-status=").append(code);
        return this;
    }

    /** The answer was stored. */
    public CacheStatus stored() {
        text.append("; stored");
        return this;
    }

    /** Others asked for the same, and one request went out for all. */
    public CacheStatus collapsed() {
        text.append("; collapsed");
        return this;
    }

    /** Something more, as a token. */
    public CacheStatus detail(String word) {
        text.append("; detail=").append(word);
        return this;
    }

    /** The member of this cache; those of caches before it stand before it (section 2). */
    public String after(String before) {
        return before == null ? text.toString() : before + ", " + text;
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
