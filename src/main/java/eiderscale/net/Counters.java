package eiderscale.net;

import eiderscale.Api.Reason;
import java.util.Locale;

/** Sparse counts on standard error, to find causes by: how requests and attempts end, and how late we run. */
final class Counters {
    private static final String PREFIX = "stairshelf: ";
    private final long[] outcomes = new long[Reason.values().length];
    long taken;
    long served;
    long refused;
    long failed;
    long clientsGone;
    long malformed;
    long lastCalls;
    long connects;
    long localRefusals;
    private long timers;
    private long lateTimers;
    private long latest;

    void outcome(Reason reason) {
        outcomes[reason.ordinal()]++;
    }

    void timer(long late) {
        timers++;
        lateTimers += late > 5 * Clock.MILLISECOND ? 1 : 0;
        latest = Math.max(latest, late);
    }

    /** Writes what has been counted so far. */
    void print(String gauges) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT,
                "taken %d served %d refused %d failed %d gone %d malformed %d last-calls %d | connects %d"
                + " local-refusals %d | timers %d late %d worst %.1f ms |", taken, served, refused, failed,
                clientsGone, malformed, lastCalls, connects, localRefusals, timers, lateTimers, latest / 1e6));
        for (Reason reason : Reason.values()) {
            if (outcomes[reason.ordinal()] > 0) {
                line.append(' ').append(reason).append(' ').append(outcomes[reason.ordinal()]);
            }
        }
        latest = 0;
        log(line.append(" | ").append(gauges).toString());
    }

    static void log(String line) {
        System.err.println(PREFIX + line);
    }

    /** An exception that nobody expected: the place where it arose is what finds its cause. */
    static void log(String what, Throwable cause) {
        StringBuilder line = new StringBuilder(what).append(": ").append(cause);
        StackTraceElement[] trace = cause.getStackTrace();
        for (int i = 0; i < Math.min(6, trace.length); i++) {
            line.append(" <- ").append(trace[i]);
        }
        log(line.toString());
    }
}
