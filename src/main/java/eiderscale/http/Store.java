package eiderscale.http;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.stats.CacheStats;
import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.Copy;
import eiderscale.http.cache.Shelf;
import eiderscale.http.cache.Variants;
import java.util.function.Consumer;

/**
 * Cached responses in memory, bounded by what they take: fields, bodies and index. Which ones stay is Caffeine's word
 * (W-TinyLFU: Einziger, Friedman, Manes, "TinyLFU: A Highly Efficient Cache Admission Policy", 2017). All of its work is
 * done by the caller; for one thread. What fails here costs the copy and nothing else.
 */
public final class Store implements Shelf {
    /** What an entry costs in the map and its queues beside key and value, in bytes. */
    private static final int ENTRY = 120;
    /** One object that takes more of the store than this part of it would push out too much at once. */
    private static final int MOST_PART = 16;

    private final Cache<CacheKey, Variants> cache;
    private final long mostBytes;
    private final long mostObject;
    private final Consumer<String> faults;

    /** {@code mostBytes}: all together; {@code mostObject}: one response; {@code faults}: told what went wrong. */
    public Store(long mostBytes, long mostObject, Consumer<String> faults) {
        this.mostBytes = mostBytes;
        this.mostObject = Math.min(mostObject, mostBytes / MOST_PART);
        this.faults = faults;
        this.cache = Caffeine.newBuilder().executor(Runnable::run).maximumWeight(mostBytes).weigher(Store::weight)
                .recordStats().build();
    }

    private static int weight(CacheKey key, Variants variants) {
        return (int) Math.min(Integer.MAX_VALUE, (long) ENTRY + key.weight() + variants.weight());
    }

    /** What is stored under a key; none if that fails. */
    @Override
    public Variants get(CacheKey key) {
        try {
            Variants found = cache.getIfPresent(key);
            return found == null ? Variants.NONE : found;
        } catch (RuntimeException e) {
            faults.accept("the store failed: " + e);
            return Variants.NONE;
        }
    }

    @Override
    public boolean takes(long bytes) {
        return bytes <= mostObject;
    }

    /** Keeps a response, in place of what answered the same requests. It need not stay. */
    public void put(CacheKey key, Copy copy) {
        if (takes(copy.weight())) {
            set(key, get(key).with(copy));
        }
    }

    /** Where that fails, or it is too large for the store, the key has nothing. */
    @Override
    public void set(CacheKey key, Variants variants) {
        try {
            if (variants.isEmpty() || weight(key, variants) > mostBytes / MOST_PART) {
                cache.invalidate(key);
            } else {
                cache.put(key, variants);
            }
        } catch (RuntimeException e) {
            faults.accept("the store failed: " + e);
            remove(key);
        }
    }

    /** Takes out what a key has. */
    public void remove(CacheKey key) {
        try {
            cache.invalidate(key);
        } catch (RuntimeException e) {
            faults.accept("the store failed: " + e);
        }
    }

    /** Takes out everything. */
    public void clear() {
        cache.invalidateAll();
    }

    /** Bytes that are taken, by the estimate that bounds them. */
    public long bytes() {
        cache.cleanUp();
        return cache.policy().eviction().orElseThrow().weightedSize().orElse(0);
    }

    /** Bytes that may be taken. */
    public long mostBytes() {
        return mostBytes;
    }

    /** How many keys there are. */
    public long keys() {
        return cache.estimatedSize();
    }

    /** Keys that were pushed out by others. */
    public long evicted() {
        CacheStats stats = cache.stats();
        return stats.evictionCount();
    }
}
