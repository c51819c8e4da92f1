package eiderscale.lab;

import java.util.Arrays;
import org.HdrHistogram.Histogram;

/** What is measured of a run: by the tenth of a second, and latencies of served operations as an HdrHistogram. */
final class Measures {
    /** Counts that each tenth of a second has. */
    enum Of { ASKED, SERVED, REFUSED, FAILED, ATTEMPTS, CALLS, FETCHES, LEDGER, HITS, READS, CROSSED, TURNED_AWAY, CLOSED }

    static final long STEP = 100_000_000L;
    /** Latencies up to so many microseconds are told apart, to three digits. */
    private static final long MOST_US = 600_000_000L;

    private final long settle;
    private final long length;
    private final long[][] series;
    private final Histogram latency = new Histogram(1, MOST_US, 3);
    private final Histogram[] windows;

    Measures(long settle, long length) {
        this.settle = settle;
        this.length = length;
        int steps = (int) (length / STEP) + 1;
        series = new long[Of.values().length][steps];
        windows = new Histogram[(int) (length / (10 * STEP)) + 1];
    }

    private void count(Of what, long at) {
        int step = (int) Math.min(series[0].length - 1, at / STEP);
        series[what.ordinal()][step]++;
    }

    void asked(long at) {
        count(Of.ASKED, at);
    }

    /** {@code begun}: when the operation was asked for, under which it counts. */
    void served(long begun, long took) {
        count(Of.SERVED, begun);
        if (begun >= settle) {
            long us = Math.max(1, Math.min(MOST_US, took / 1000));
            latency.recordValue(us);
            int second = (int) Math.min(windows.length - 1, begun / (10 * STEP));
            if (windows[second] == null) {
                windows[second] = new Histogram(1, MOST_US, 2);
            }
            windows[second].recordValue(us);
        }
    }

    void refused(long begun) {
        count(Of.REFUSED, begun);
    }

    void failed(long begun) {
        count(Of.FAILED, begun);
    }

    void attempt(long now) {
        count(Of.ATTEMPTS, now);
    }

    void call(long now) {
        count(Of.CALLS, now);
    }

    /** The balancer closed a client's connection for a reason of its own. */
    void closed(long now) {
        count(Of.CLOSED, now);
    }

    /** A request found its connection closed before it was taken. */
    void crossed(long now) {
        count(Of.CROSSED, now);
    }

    /** A connection, or the one request on it, was refused for want of room. */
    void turnedAway(long now) {
        count(Of.TURNED_AWAY, now);
    }

    void ledger(long now) {
        count(Of.LEDGER, now);
    }

    void read(long now, boolean hit) {
        count(Of.READS, now);
        if (hit) {
            count(Of.HITS, now);
        }
    }

    long sum(Of what) {
        int from = (int) (settle / STEP);
        return Arrays.stream(series[what.ordinal()], from, series[0].length).sum();
    }

    double share(Of part, Of whole) {
        long all = sum(whole);
        return all == 0 ? 1 : sum(part) / (double) all;
    }

    /** The lowest part served of any whole second behind the settling. */
    double worstSecond() {
        double worst = 1;
        for (int at = (int) (settle / STEP); at + 10 <= length / STEP; at += 10) {
            long asked = 0;
            long served = 0;
            for (int i = at; i < at + 10; i++) {
                asked += series[Of.ASKED.ordinal()][i];
                served += series[Of.SERVED.ordinal()][i];
            }
            worst = asked < 10 ? worst : Math.min(worst, served / (double) asked);
        }
        return worst;
    }

    double lastTenth() {
        int from = (int) ((length - length / 10) / STEP);
        long asked = Arrays.stream(series[Of.ASKED.ordinal()], from, series[0].length).sum();
        return asked == 0 ? 1 : Arrays.stream(series[Of.SERVED.ordinal()], from, series[0].length).sum() / (double) asked;
    }

    long mostLedgerInASecond() {
        long most = 0;
        for (int at = (int) (settle / STEP); at + 10 <= series[0].length; at++) {
            most = Math.max(most, Arrays.stream(series[Of.LEDGER.ordinal()], at, at + 10).sum());
        }
        return most;
    }

    /** Milliseconds. */
    double quantile(double q) {
        return latency.getTotalCount() == 0 ? 0 : latency.getValueAtPercentile(100 * q) / 1e3;
    }

    /** Of each second, in milliseconds; 0 where nothing was served. */
    double[] quantiles(double q) {
        double[] all = new double[windows.length];
        for (int i = 0; i < all.length; i++) {
            all[i] = windows[i] == null ? 0 : windows[i].getValueAtPercentile(100 * q) / 1e3;
        }
        return all;
    }

    long[] series(Of what) {
        return series[what.ordinal()].clone();
    }

    Histogram latency() {
        return latency;
    }
}
