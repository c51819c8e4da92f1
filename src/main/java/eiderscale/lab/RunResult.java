package eiderscale.lab;

import eiderscale.config.Experiment;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What came of one run. Shares are of operations asked for behind the settling, a client's tries counted as one; times in
 * milliseconds; {@code digest}: of all that went over the wires. {@code stuck}: where a run did not come to its end; null
 * for one that did. {@code series}: by the tenth of a second; {@code p50s}, {@code p99s}: by the second.
 */
public record RunResult(long asked, double served, double refused, double failed, double worstSecond, double lastTenth,
                        double p50, double p99, double p999, double attempts, double hits, long ledgerPeak, long requests,
                        long events, Auditor.Findings findings, String digest, String stuck, boolean full,
                        Map<String, long[]> series, double[] p50s, double[] p99s, Histogram latency) {
    static RunResult of(World world, Auditor.Findings findings, long digest, String stuck, boolean full) {
        Measures m = world.measures;
        Map<String, long[]> series = new LinkedHashMap<>();
        for (Measures.Of what : Measures.Of.values()) {
            series.put(what.name().toLowerCase(Locale.ROOT), m.series(what));
        }
        return new RunResult(m.sum(Measures.Of.ASKED), m.share(Measures.Of.SERVED, Measures.Of.ASKED),
                m.share(Measures.Of.REFUSED, Measures.Of.ASKED), m.share(Measures.Of.FAILED, Measures.Of.ASKED), m.worstSecond(),
                m.lastTenth(), m.quantile(0.5), m.quantile(0.99), m.quantile(0.999),
                m.share(Measures.Of.ATTEMPTS, Measures.Of.CALLS), m.share(Measures.Of.HITS, Measures.Of.READS),
                m.mostLedgerInASecond(), world.requests(), world.events.done(), findings,
                String.format(Locale.ROOT, "%016x", digest), stuck, full, series, m.quantiles(0.5), m.quantiles(0.99), m.latency());
    }

    /** What of the rules and the experiment's limits does not hold; empty where all does. */
    public List<String> broken(Experiment.Limits limits) {
        List<String> broken = new ArrayList<>();
        if (stuck != null) {
            broken.add("stuck: " + stuck);
        }
        findings.broken().forEach((rule, count) -> broken.add(rule + ": " + count));
        least(broken, "served", served, limits.served());
        least(broken, "worst-second", worstSecond, limits.worstSecond());
        least(broken, "hits", hits, limits.hits());
        least(broken, "last-tenth", lastTenth, limits.lastTenth());
        most(broken, "p99", p99, limits.p99() == 0 ? Double.MAX_VALUE : limits.p99() / 1e6);
        most(broken, "attempts", attempts, limits.attempts());
        most(broken, "ledger", ledgerPeak, limits.ledger());
        return broken;
    }

    private static void least(List<String> broken, String what, double is, double limit) {
        if (is < limit) {
            broken.add(String.format(Locale.ROOT, "%s: %.4f, at least %.4f is wanted", what, is, limit));
        }
    }

    private static void most(List<String> broken, String what, double is, double limit) {
        if (is > limit) {
            broken.add(String.format(Locale.ROOT, "%s: %.2f, at most %.2f is wanted", what, is, limit));
        }
    }
}
