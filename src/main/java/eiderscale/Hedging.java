package eiderscale;

import com.tdunning.math.stats.MergingDigest;
import com.tdunning.math.stats.TDigest;
import eiderscale.Api.Budget;
import java.util.*;

/** When a copy of a slow read goes out, a quantile of recent served latencies, and what may be repeated. */
final class Hedging {
    private static final double COMPRESSION = 50;
    /** A digest begins anew after so many samples, or so long once it holds the minimum sample. */
    private static final int AGE_SAMPLES = 512;
    private static final long AGE_NS = 10_000_000_000L;
    private static final int MIN_SAMPLES = 32;
    private static final int REFRESH_SAMPLES = 16;
    /** The budget of further attempts where none is stated. */
    private static final Budget OWN_BUDGET = new Budget(10, 0.2, 5_000_000_000L);

    TDigest digest = new MergingDigest(COMPRESSION);
    long begun;
    int samples;
    long quantile;
    private final double share;
    /** The sixth rule, with the times of requests taken and of further attempts. */
    private final Budget budget;
    private final Deque<Long> taken = new ArrayDeque<>();
    private final Deque<Long> further = new ArrayDeque<>();

    /** {@code share}: the quantile that is the delay. */
    Hedging(Budget budget, double share) {
        this.share = share;
        this.budget = budget != null ? budget : OWN_BUDGET;
    }

    /** A request came, whether refused or not. */
    void taken(long now) {
        taken.add(now);
        expire(taken, now - budget.span());
    }

    private static void expire(Deque<Long> times, long until) {
        while (!times.isEmpty() && times.peek() <= until) {
            times.poll();
        }
    }

    /**
     * Takes a copy or a retry from the budget, a window that slides. Guards against copies that pile up when
     * every cache slows at once, and retries that keep a full fleet full.
     */
    boolean spend(long now) {
        expire(taken, now - budget.span());
        expire(further, now - budget.span() - 1);
        boolean may = further.size() + 1 <= budget.free() + budget.share() * taken.size();
        if (may) {
            further.add(now);
        }
        return may;
    }

    /** A read was answered after {@code latency}, counted from its first send. */
    void served(long now, long latency) {
        digest.add(latency);
        samples++;
        if (samples >= MIN_SAMPLES && samples % REFRESH_SAMPLES == 0) {
            quantile = (long) digest.quantile(share);
        }
        if (samples >= AGE_SAMPLES || now - begun > AGE_NS && samples >= MIN_SAMPLES) {
            digest = new MergingDigest(COMPRESSION);
            begun = now;
            samples = 0;
        }
    }

    /** The wait before a copy, -1 for none: a handful of samples has no tail. */
    long delay() {
        return quantile > 0 ? quantile : -1;
    }
}
