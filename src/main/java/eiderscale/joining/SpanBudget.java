package eiderscale.joining;

/**
 * Further work allowed within a sliding span: so much always, and a share of the first work. Counted in tenths of the
 * span, so that it takes the same room whatever the rate; what is a tenth older than the span may count still.
 */
final class SpanBudget {
    private static final int PARTS = 10;

    private final double free;
    private final double share;
    private final long part;
    private final long[] first = new long[PARTS + 1];
    private final long[] further = new long[PARTS + 1];
    private long at = Long.MIN_VALUE;

    SpanBudget(double free, double share, long span) {
        this.free = free;
        this.share = share;
        this.part = Math.max(1, span / PARTS);
    }

    private int slot(long now) {
        long number = Math.floorDiv(now, part);
        if (at == Long.MIN_VALUE || number - at > PARTS) {
            java.util.Arrays.fill(first, 0);
            java.util.Arrays.fill(further, 0);
            at = number;
        }
        while (at < number) {
            at++;
            int slot = (int) Math.floorMod(at, (long) first.length);
            first[slot] = 0;
            further[slot] = 0;
        }
        return (int) Math.floorMod(at, (long) first.length);
    }

    /** Something was begun that costs nothing here. */
    void begun(long now) {
        first[slot(now)]++;
    }

    /** Takes one further; false if there is none left. */
    boolean spend(long now) {
        int slot = slot(now);
        long all = 0;
        long spent = 0;
        for (int i = 0; i < first.length; i++) {
            all += first[i];
            spent += further[i];
        }
        if (spent + 1 > free + share * all) {
            return false;
        }
        further[slot]++;
        return true;
    }
}
