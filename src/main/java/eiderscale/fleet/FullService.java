package eiderscale.fleet;

import eiderscale.fleet.Tally.Of;

/**
 * When a fleet is back: from the moment on from which each half second serves at least 0.95 of the share that was served
 * before, with a p99 of at most 1.5 times that before, for ten seconds or to the end of the run, whichever comes first.
 * Pure.
 *
 * @param after nanoseconds from the injury, negative where it did not come back
 * @param cause what held it back last: "share", "p99", or "" for an immediate return
 * @param lost operations that were not served meanwhile, beside the share before
 */
public record FullService(long after, String cause, double lost) {
    /** Windows of a tally in each half second. */
    private static final int STEP = (int) (500_000_000L / Tally.WINDOW);
    private static final int HOLDS = (int) (10_000_000_000L / Tally.WINDOW);
    private static final double SHARE = 0.95;
    private static final double P99 = 1.5;
    /** A half second with fewer operations tells nothing by itself. */
    private static final double LEAST = 10;

    /** {@code from}: where the measurement before begins; {@code injured}: the moment, in nanoseconds. */
    public static FullService of(Tally tally, long from, long injured) {
        int begin = (int) (from / Tally.WINDOW);
        int hit = (int) (injured / Tally.WINDOW);
        double asked = tally.sum(Of.ASKED, begin, hit);
        double share = asked == 0 ? 1 : tally.sum(Of.SERVED, begin, hit) / asked;
        double p99 = tally.quantile(0.99, begin, hit);
        // The last window is cut short by the end.
        int last = tally.windows() - 1;
        String cause = "";
        int good = hit;
        double lost = 0;
        for (int i = hit; i + STEP <= last && i < good + HOLDS; i++) {
            double wanted = tally.sum(Of.ASKED, i, i + STEP);
            double served = tally.sum(Of.SERVED, i, i + STEP);
            // Chance: what is asked and what is served in half a second are not the same operations.
            boolean few = wanted < LEAST;
            boolean shareBad = !few && served < SHARE * share * wanted - Math.sqrt(wanted);
            boolean lateBad = !few && tally.quantile(0.99, i, i + STEP) > P99 * p99 + 1;
            if (shareBad || lateBad) {
                good = i + 1;
                cause = shareBad ? "share" : "p99";
            }
        }
        for (int i = hit; i < good; i++) {
            lost += share * tally.of(Of.ASKED, i) - tally.of(Of.SERVED, i);
        }
        boolean back = good + STEP <= last;
        return new FullService(back ? Math.max(0, good * Tally.WINDOW - injured) : -1, cause, Math.max(0, lost));
    }
}
