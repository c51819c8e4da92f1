package eiderscale.net;

/**
 * Bytes of values that may be held at one time, those of open requests and those still coming in alike. What
 * peers announce costs nothing; what they have sent counts, so that no crowd of them can fill the heap.
 */
final class Budget {
    private final long most;
    private long held;

    Budget(long most) {
        this.most = most;
    }

    /** Takes some; false, and nothing taken, if there is no room. */
    boolean take(int bytes) {
        if (bytes > 0 && held + bytes > most) {
            return false;
        }
        held += bytes;
        return true;
    }

    void giveBack(int bytes) {
        held -= bytes;
    }

    long held() {
        return held;
    }
}
