package eiderscale.http.cache;

/** A number of seconds as fields give it (RFC 9111 section 1.2.2). */
final class Delta {
    /** Nothing was said. */
    static final long ABSENT = -1;
    /** Something was said that is no number of seconds. */
    static final long INVALID = -2;
    /** What is greater than can be said counts as this. */
    static final long MOST = 1L << 31;

    private Delta() {
    }

    /** Digits alone, and at least one; what overflows is the most there is. */
    static long parse(String text) {
        if (text == null || text.isEmpty()) {
            return INVALID;
        }
        long seconds = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return INVALID;
            }
            seconds = Math.min(MOST, seconds * 10 + (c - '0'));
        }
        return seconds;
    }

    /** The sum of two that are there, the most there is if that is exceeded. */
    static long sum(long one, long other) {
        return Math.min(MOST, one + other);
    }
}
