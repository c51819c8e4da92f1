package eiderscale.ledger;

/**
 * Bytes of values that may be held at one time, those of open requests and those still coming in alike. What
 * peers announce costs nothing; what they have sent counts, so that no crowd of them can fill the heap.
 */
public final class Budget {
    private final long most;
    private long held;

    /** {@code most}: in bytes. */
    public Budget(long most) {
        this.most = most;
    }

    /** Bytes that there are in all. */
    public long most() {
        return most;
    }

    /** Takes some; false, and nothing taken, if there is no room. */
    public boolean take(int bytes) {
        if (bytes > 0 && held + bytes > most) {
            return false;
        }
        held += bytes;
        return true;
    }

    /** Gives back what was taken. */
    public void giveBack(int bytes) {
        held -= bytes;
    }

    /** Bytes that are held. */
    public long held() {
        return held;
    }
}
