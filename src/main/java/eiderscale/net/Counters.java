package eiderscale.net;

import eiderscale.Api.Cause;
import eiderscale.Api.Reason;
import eiderscale.ledger.Counts;
import java.util.Locale;

/** Sparse counts on standard error, to find causes by: how requests and attempts end, and how late we run. */
public final class Counters {
    private static final String PREFIX = "stairshelf: ";
    /** Lines that peers may cause between two prints, and the length of one. */
    private static final int MOST_NOISES = 20;
    /** Lines about single attempts between two prints. */
    private static final int MOST_EVENTS = 40;
    private static final int MOST_NOISE = 200;
    private static final int MOST_FRAMES = 6;
    /** Of requests and attempts. */
    final Counts ledger = new Counts();
    /** Commands whose clients had closed their connections before anything was done. */
    long departed;
    long malformed;
    long connects;
    /** New connections for which hosts had no room. */
    long tablesFull;
    /** Clients' connections closed for room, for silence or halves, for long idling, and for want of any room. */
    long evicted;
    /** Closed as clients had few left to open. */
    long eased;
    long timedOut;
    long retired;
    long turnedAway;
    /** Clients' connections that were cut as their clients took nothing of their answers. */
    long stalled;
    /** Answers for which there was no memory to wait in. */
    long unheld;
    /** What was handed to clients' sockets, and in how many pieces: small ones cost as much as large ones. */
    long outputBytes;
    long outputPieces;
    /** Answers that came on connections to hosts on which nothing was asked, and such that were for another request. */
    long unsolicited;
    long mismatched;
    private long noises;
    private long events;

    /** Writes what has been counted so far. */
    void print(String gauges) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT,
                "taken %d served %d refused %d failed %d gone %d departed %d malformed %d last-calls %d | connects %d"
                + " tables-full %d local-refusals %d | evicted %d eased %d timed-out %d retired %d turned-away %d stalled %d unheld %d output %d in %d pieces | timers %d late %d worst %.1f ms |", ledger.taken(), ledger.served(), ledger.refused(),
                ledger.failed(), ledger.clientsGone(), departed, malformed, ledger.lastCalls(), connects, tablesFull,
                ledger.localRefusals(), evicted, eased, timedOut, retired, turnedAway, stalled, unheld, outputBytes,
                outputPieces, ledger.timers(), ledger.lateTimers(),
                ledger.takeLatest() / 1e6));
        for (Reason reason : Reason.values()) {
            if (ledger.outcomes(reason) > 0) {
                line.append(' ').append(reason).append(' ').append(ledger.outcomes(reason));
            }
        }
        line.append(" | unsolicited ").append(unsolicited).append(" mismatched ").append(mismatched);
        for (Cause cause : Cause.values()) {
            if (ledger.causes(cause) > 0) {
                line.append(' ').append(cause).append(' ').append(ledger.causes(cause));
            }
        }
        long unlogged = Math.max(0, noises - MOST_NOISES) + Math.max(0, events - MOST_EVENTS);
        if (unlogged > 0) {
            line.append(" | not logged ").append(unlogged);
        }
        noises = 0;
        events = 0;
        log(line.append(" | ").append(gauges).toString());
    }

    /** What a peer can cause as often as it likes: told in part, so that it cannot fill the log. */
    void noise(String line) {
        noises++;
        if (noises <= MOST_NOISES) {
            log(shortened(line));
        }
    }

    /** Whether a line about a single attempt may still be written before the next print; counts it. */
    boolean mayLogEvent() {
        return ++events <= MOST_EVENTS;
    }

    static String shortened(String line) {
        return line.length() > MOST_NOISE ? line.substring(0, MOST_NOISE) + "..." : line;
    }

    Totals totals() {
        return new Totals(ledger.taken(), ledger.served(), ledger.refused(), ledger.failed(), ledger.clientsGone(),
                ledger.copies(), malformed);
    }

    /** Writes a line of the program's own to standard error. */
    public static void log(String line) {
        System.err.println(PREFIX + line);
    }

    /** An exception that nobody expected: the place where it arose is what finds its cause. */
    void unexpected(String what, Throwable cause) {
        noise(what + ": " + cause);
        StackTraceElement[] trace = cause.getStackTrace();
        for (int i = 0; i < Math.min(MOST_FRAMES, trace.length); i++) {
            noise("  at " + trace[i]);
        }
    }
}
