package eiderscale.plan;

import java.util.List;

/**
 * Which part of reads finds a copy: Che's approximation of a cache that drops the least recently used (Che, Tung and Wang, 2002;
 * Fricker, Robert and Roberts, 2012), with three things added by the same argument on renewals: a fetch that fails fills nothing,
 * a write makes the copy void, and reads that come while one fetch is under way fetch too.
 */
final class Copies {
    private static final int STEPS = 28;
    private static final double FOR_EVER = 1e7;

    private Copies() {
    }

    /**
     * The part of reads that miss, where a key lives on two of {@code hosts} that keep {@code keeps} copies each.
     *
     * @param second the part of a key's reads that go to its second home, from 0 to 0.5
     * @param reads reads a second over all hosts, further attempts included
     * @param writes writes a second, spread over the keys as the reads are
     * @param filled the part of fetches that bring a copy, in (0, 1]
     * @param fetch seconds that a fetch takes
     */
    static double misses(List<Popularity.Keys> keys, double reads, double writes, double hosts, double second, double keeps,
                         double filled, double fetch) {
        double lasts = lasts(keys, reads, writes, hosts, second, keeps, filled);
        double missed = 0;
        for (Popularity.Keys one : keys) {
            double rate = reads * one.part() / one.count();
            double voided = writes * one.part() / one.count();
            missed += one.part() * ((1 - second) * missed(rate * (1 - second), voided, lasts, filled, fetch)
                    + second * missed(rate * second, voided, lasts, filled, fetch));
        }
        return missed;
    }

    /** At one home: each miss is followed by those that come while its fetch is out. */
    private static double missed(double rate, double writes, double lasts, double filled, double fetch) {
        double miss = 1 - kept(rate, writes, lasts, filled);
        double crowd = rate * fetch;
        return Math.min(1, miss * (1 + crowd) / (1 + miss * crowd));
    }

    /** The part of the time that a host has a key: kept until nobody has asked for {@code lasts}, or it is written. */
    private static double kept(double rate, double writes, double lasts, double filled) {
        double power = Math.min(500, rate * lasts);
        double leaves = (power < 1e-9 ? 1 / lasts : rate / Math.expm1(power)) + writes;
        double comes = rate * filled;
        return comes <= 0 ? 0 : comes / (comes + leaves);
    }

    /** How long an unasked copy stays: so long that as many are kept as fit. */
    private static double lasts(List<Popularity.Keys> keys, double reads, double writes, double hosts, double second, double keeps,
                                double filled) {
        if (occupied(keys, reads, writes, hosts, second, FOR_EVER, filled) <= keeps) {
            return FOR_EVER;
        }
        double low = 1e-6;
        double high = FOR_EVER;
        for (int i = 0; i < STEPS; i++) {
            double middle = Math.sqrt(low * high);
            if (occupied(keys, reads, writes, hosts, second, middle, filled) > keeps) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return low;
    }

    private static double occupied(List<Popularity.Keys> keys, double reads, double writes, double hosts, double second, double lasts,
                                   double filled) {
        double sum = 0;
        for (Popularity.Keys one : keys) {
            double rate = reads * one.part() / one.count();
            double voided = writes * one.part() / one.count();
            sum += one.count() / hosts * (kept(rate * (1 - second), voided, lasts, filled) + kept(rate * second, voided, lasts, filled));
        }
        return sum;
    }
}
