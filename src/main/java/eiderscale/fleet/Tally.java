package eiderscale.fleet;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Counts over time, by windows of a quarter of a second, and what was served when. Pure: it is told the times. */
public final class Tally {
    /** What is counted. */
    public enum Of {
        /** Operations that clients began. */
        ASKED,
        /** Operations served in time, under the moment at which they were. */
        SERVED,
        /** Tries that were refused, and that failed. */
        REFUSED, FAILED,
        /** Tries at a balancer that nobody listened for. */
        SHUT,
        /** Attempts that reached hosts, those at cold ones, and what these could have done. */
        SENDS, COLD_SENDS, COLD_ROOM,
        /** Attempts that reached hosts after their client's time was over. */
        IN_VAIN,
        /** Attempts that reached hosts which had drained for longer than the grace, whoever had been told of it. */
        STALE,
        /** Connections that hosts accepted, and calls that discovery got. */
        OPENED, CALLS,
        /** Processor time of all balancers, in milliseconds. */
        CPU_MS
    }

    /** The length of a window, in nanoseconds. */
    public static final long WINDOW = 250_000_000L;
    private static final long MOST_US = 60_000_000L;

    private final Map<Of, double[]> counts = new EnumMap<>(Of.class);
    private final Histogram[] latencies;

    /** {@code length}: of the run, in nanoseconds. */
    public Tally(long length) {
        int windows = (int) (length / WINDOW) + 1;
        for (Of of : Of.values()) {
            counts.put(of, new double[windows]);
        }
        latencies = new Histogram[windows];
    }

    private int window(long at) {
        return (int) Math.max(0, Math.min(latencies.length - 1, at / WINDOW));
    }

    /** Adds to a count at a moment. */
    public void add(Of of, long at, double much) {
        counts.get(of)[window(at)] += much;
    }

    /** An operation was served in time. */
    public void served(long at, long took) {
        add(Of.SERVED, at, 1);
        Histogram histogram = latencies[window(at)];
        if (histogram == null) {
            histogram = new Histogram(1, MOST_US, 2);
            latencies[window(at)] = histogram;
        }
        histogram.recordValue(Math.max(1, Math.min(MOST_US, took / 1000)));
    }

    /** How many windows there are. */
    public int windows() {
        return latencies.length;
    }

    /** A count in one window. */
    public double of(Of of, int window) {
        return counts.get(of)[window];
    }

    /** A count over windows, from the first to before the last. */
    public double sum(Of of, int from, int to) {
        double sum = 0;
        for (int i = Math.max(0, from); i < Math.min(to, latencies.length); i++) {
            sum += counts.get(of)[i];
        }
        return sum;
    }

    /** A quantile of the latencies served in these windows, in milliseconds; 0 where nothing was. */
    public double quantile(double q, int from, int to) {
        Histogram all = new Histogram(1, MOST_US, 2);
        for (int i = Math.max(0, from); i < Math.min(to, latencies.length); i++) {
            if (latencies[i] != null) {
                all.add(latencies[i]);
            }
        }
        return all.getTotalCount() == 0 ? 0 : all.getValueAtPercentile(100 * q) / 1e3;
    }
}
