package eiderscale.ledger;

import eiderscale.Api;

/** What a generation goes by; a driver's own, which may know more. */
public interface Terms {
    /** The module's settings. */
    Api.Settings settings();

    /** For how long after a word of its leaving a host may still be sent something, in nanoseconds. */
    default long drainGrace() {
        return settings().drainGrace();
    }

    /** Whether requests of a class are to be on record before anything of them goes out. */
    default boolean isDurable(int requestClass) {
        return false;
    }

    /** Requests that may be owed an answer at one time. */
    int maxOpen();

    /** Nanoseconds that a host may send nothing of an answer that has begun. */
    long stallTime();
}
