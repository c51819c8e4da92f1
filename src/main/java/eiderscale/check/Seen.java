package eiderscale.check;

/** A set of 64-bit fingerprints by open addressing: eight bytes for each, and some room. */
final class Seen {
    private static final int FIRST = 1 << 12;
    private long[] slots = new long[FIRST];
    private int size;

    /** True the first time. */
    boolean add(long fingerprint) {
        long value = fingerprint == 0 ? 1 : fingerprint;
        if (size * 2 >= slots.length) {
            grow();
        }
        if (!put(slots, value)) {
            return false;
        }
        size++;
        return true;
    }

    private static boolean put(long[] slots, long value) {
        int at = (int) (value & slots.length - 1);
        while (slots[at] != 0) {
            if (slots[at] == value) {
                return false;
            }
            at = at + 1 & slots.length - 1;
        }
        slots[at] = value;
        return true;
    }

    private void grow() {
        long[] larger = new long[slots.length * 2];
        for (long value : slots) {
            if (value != 0) {
                put(larger, value);
            }
        }
        slots = larger;
    }

    int size() {
        return size;
    }
}
