package eiderscale.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The slow place behind all cache hosts: what a key's value is, and how often each write took effect. For one event
 * loop, but for the counts.
 */
public final class StandInOrigin {
    private final long latencyMs;
    /** When each place is free. */
    private final long[] free;
    private volatile int size;
    private final Map<String, Integer> versions = new HashMap<>();
    private final AtomicLong fetches = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();

    /** {@code latencyMs}: how long a fetch takes; any number may be under way. */
    public StandInOrigin(long latencyMs) {
        this(latencyMs, 0);
    }

    /** {@code places}: fetches and writes that may be under way at one time; others wait in line. 0 for any number. */
    public StandInOrigin(long latencyMs, int places) {
        this.latencyMs = latencyMs;
        this.free = new long[places];
    }

    /** Takes a place for something that comes now; returns when it will be done. In nanoseconds of any clock. */
    long done(long now) {
        long latency = latencyMs * 1_000_000L;
        int first = 0;
        for (int i = 1; i < free.length; i++) {
            first = free[i] < free[first] ? i : first;
        }
        if (free.length == 0) {
            return now + latency;
        }
        free[first] = Math.max(now, free[first]) + latency;
        return free[first];
    }

    String fetch(String key) {
        fetches.incrementAndGet();
        return value(key);
    }

    /** From now on values are filled up to so many characters. */
    public void size(int characters) {
        size = characters;
    }

    private String value(String key) {
        String value = "statement " + key + " version " + versions.getOrDefault(key, 0);
        return value.length() >= size ? value : value + ".".repeat(size - value.length());
    }

    /** Whether a value is what the key has now. */
    boolean isCurrent(String key, String value) {
        return value(key).equals(value);
    }

    void write(String key) {
        writes.incrementAndGet();
        versions.merge(key, 1, Integer::sum);
    }

    /** Values that were asked for. */
    public long fetches() {
        return fetches.get();
    }

    /** Writes that were carried out. */
    public long writes() {
        return writes.get();
    }
}
