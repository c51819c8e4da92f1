package eiderscale.config;

import java.util.List;

/**
 * One key of the file. {@code otherwise}: its default as the file would state it, null where there is none.
 * {@code least}, {@code most}: the range of numbers, durations (nanoseconds), sizes (bytes) and of the length of
 * lists. {@code open}: the ends of the range are not in it. {@code restart}: a change of it takes effect at a
 * restart only.
 */
record Key(String name, Type type, boolean required, Object otherwise, double least, double most, boolean open,
           List<String> choices, boolean restart, String doc) {

    static Key of(String name, Type type, String doc) {
        return new Key(name, type, false, null, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, false,
                List.of(), false, doc);
    }

    Key needed() {
        return new Key(name, type, true, null, least, most, open, choices, restart, doc);
    }

    Key or(Object value) {
        return new Key(name, type, false, value, least, most, open, choices, restart, doc);
    }

    /** Both ends are allowed. */
    Key within(double from, double to) {
        return new Key(name, type, required, otherwise, from, to, false, choices, restart, doc);
    }

    /** Neither end is allowed. */
    Key between(double from, double to) {
        return new Key(name, type, required, otherwise, from, to, true, choices, restart, doc);
    }

    Key from(String... words) {
        return new Key(name, type, required, otherwise, least, most, open, List.of(words), restart, doc);
    }

    Key atRestart() {
        return new Key(name, type, required, otherwise, least, most, open, choices, true, doc);
    }

    boolean holds(double value) {
        return open ? value > least && value < most : value >= least && value <= most;
    }

    /** What may stand there, in words. */
    String allowed() {
        return type.allowed(this);
    }
}
