package eiderscale;

import java.util.*;

/** The fifth rule: requests of ordered classes with one key run one at a time, in the order taken. */
final class KeyOrder<T> {
    /** Requests between two looks for keys that nobody waits for any more. */
    private static final int SWEEP = 256;

    /** The requests of one key that are not over, the running one first, and when the key's rest ends. */
    private static final class Line<T> {
        final Deque<T> requests = new ArrayDeque<>();
        long restUntil = Long.MIN_VALUE;
    }

    private final Map<Long, Line<T>> lines = new HashMap<>();
    private final long quiet;
    private int entered;

    KeyOrder(long quiet) {
        this.quiet = quiet;
    }

    /** Puts a request at the end of its key's line; returns how many stand before it. */
    int enter(long now, long key, T request) {
        if (++entered % SWEEP == 0) {
            lines.values().removeIf(line -> line.requests.isEmpty() && line.restUntil <= now);
        }
        Line<T> line = lines.computeIfAbsent(key, k -> new Line<>());
        line.requests.add(request);
        return line.requests.size() - 1;
    }

    /** When the request may go: at the end of the key's rest, or not yet if another is before it. */
    long turn(long key, T request) {
        Line<T> line = lines.get(key);
        return line.requests.peek() == request ? line.restUntil : Long.MAX_VALUE;
    }

    /** An attempt ended that may go on running at its server. */
    void rest(long now, long key) {
        lines.get(key).restUntil = now + quiet;
    }

    /** The request is over and none of its attempts is out; returns the first of those left, or null. */
    T leave(long key, T request) {
        Line<T> line = lines.get(key);
        line.requests.remove(request);
        return line.requests.peek();
    }
}
