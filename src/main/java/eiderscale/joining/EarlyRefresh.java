package eiderscale.joining;

/**
 * When something that is still fresh is fetched anew, so that its end does not find all its readers at once: by chance,
 * more likely the nearer the end and the longer a fetch takes. Each balancer decides for itself and few coincide.
 * (Vattani, Chierichetti, Lowenstein: Optimal Probabilistic Cache Stampede Prevention, VLDB 2015, the algorithm XFetch.)
 */
public final class EarlyRefresh {
    private EarlyRefresh() {
    }

    /**
     * Whether it is due.
     *
     * @param unit by chance, from 0 to 1, 1 excluded
     * @param cost how long a fetch takes
     * @param left how long it is fresh still, in the same unit of time
     * @param beta 1 is optimal in the paper; above 1 earlier, 0 never
     */
    public static boolean due(double unit, double cost, double left, double beta) {
        return beta > 0 && cost > 0 && left <= cost * beta * -Math.log1p(-unit);
    }
}
