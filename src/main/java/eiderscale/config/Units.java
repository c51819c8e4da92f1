package eiderscale.config;

/** Durations in the program are nanoseconds. */
final class Units {
    static final long MILLISECOND = 1_000_000L;
    static final long SECOND = 1_000_000_000L;

    private Units() {
    }
}
