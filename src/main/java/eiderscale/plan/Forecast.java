package eiderscale.plan;

import java.util.Map;

/**
 * What is to be expected at one load. Rates a second, times in seconds; {@code use} of each limit: 1 where it is reached.
 *
 * @param load operations a second
 * @param served the part of them that is answered within the deadline
 * @param inAim the part answered within the aim
 * @param attempts for each request that comes to a balancer
 * @param tries requests for each operation
 * @param hits the part of reads at hosts that find a copy
 * @param fetches a second at the ledger
 * @param sure what is known to make it wrong; empty where nothing is
 */
public record Forecast(double load, double served, double inAim, double p50, double p99, double attempts, double tries, double hits,
                       double fetches, Map<Limit, Double> use, String sure) {
    /** The limit that is used up most. */
    public Limit first() {
        return use.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
    }
}
