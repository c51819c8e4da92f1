package eiderscale;

import java.util.List;

/**
 * What a module has learnt, as values: for another that takes its place, under other settings or in another
 * process. Times in nanoseconds of the events' clock, which both must share.
 *
 * @param at when it was told
 * @param hosts by id
 * @param kinds by number
 * @param hotKeys keys asked for often lately
 * @param counted requests that {@code hotKeys} were counted among
 * @param reports whether answers bring load reports
 */
public record Learnt(long at, List<HostWord> hosts, List<KindWord> kinds, Fleet fleet, Pressure pressure,
                     Latency latency, List<KeyWord> hotKeys, int counted, boolean reports) {
    /**
     * One host; what is said of its breaker and its slow start holds for the process that started at
     * {@code startedAt}.
     *
     * @param coldSince start of its slow start, 0 if it is warm
     * @param tokens sends that the slow start allows as of {@code filledAt}
     * @param latency mean time of its answers lately, 0 if unknown
     * @param openUntil until when its breaker is open, 0 if it is closed
     */
    public record HostWord(long id, long startedAt, long coldSince, double tokens, long filledAt,
                           double latency, double evidence, long openUntil) {
    }

    /** What hosts of a kind can do beside the others. */
    public record KindWord(int kind, double answers, double busy, long at, double factor) {
    }

    /** Means over all hosts. */
    public record Fleet(double coldBusy, double warmBusy, double searches, long searchedAt,
                        double connectFailures, double failing) {
    }

    /** How hard the fleet looks pressed. */
    public record Pressure(double fills, double admitted, long loadAt, long writeTime, double hitTime,
                           double missTime) {
    }

    /** Served latencies, as centroids of a digest; and the present delay of copies, 0 for none. */
    public record Latency(List<Double> means, List<Integer> weights, long begun, long quantile) {
    }

    /** A key and how often it was asked for among those counted. */
    public record KeyWord(long key, int count) {
    }
}
