package eiderscale.http.cache;

/** Where copies are kept. What it loses costs the copy only. */
public interface Shelf {
    /** What a key has, perhaps nothing. */
    Variants get(CacheKey key);

    /** Puts what a key has in place of what it had. */
    void set(CacheKey key, Variants variants);

    /** Whether a body of this length may be kept; negative for a length that is not known yet. */
    boolean takes(long bytes);
}
