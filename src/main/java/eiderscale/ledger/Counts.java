package eiderscale.ledger;

import eiderscale.Api.Cause;
import eiderscale.Api.Reason;

/** What has become of requests and attempts since the start; over several pools, if they share one. */
public final class Counts {
    private final long[] outcomes = new long[Reason.values().length];
    private final long[] causes = new long[Cause.values().length];
    long taken;
    long served;
    long refused;
    long failed;
    long clientsGone;
    long lastCalls;
    long copies;
    long localRefusals;
    long standstills;
    long held;
    private long timers;
    private long lateTimers;
    private long latest;

    void outcome(Reason reason) {
        outcomes[reason.ordinal()]++;
    }

    void cause(Cause cause) {
        causes[cause.ordinal()]++;
    }

    void timer(long late) {
        timers++;
        lateTimers += late > 5_000_000 ? 1 : 0;
        latest = Math.max(latest, late);
    }

    /** Requests that came. */
    public long taken() {
        return taken;
    }

    /** Requests answered by a host. */
    public long served() {
        return served;
    }

    /** Requests turned away. */
    public long refused() {
        return refused;
    }

    /** Requests that may have run and have no answer. */
    public long failed() {
        return failed;
    }

    /** Clients that left with a request open. */
    public long clientsGone() {
        return clientsGone;
    }

    /** Requests that the module left open past their deadline. */
    public long lastCalls() {
        return lastCalls;
    }

    /** Attempts that began while another of the same request was out. */
    public long copies() {
        return copies;
    }

    /** Requests turned away for want of room here. */
    public long localRefusals() {
        return localRefusals;
    }

    /** Standstills that were noticed. */
    public long standstills() {
        return standstills;
    }

    /** Requests that waited behind one. */
    public long held() {
        return held;
    }

    /** A request was turned away for want of room before the ledger saw it. */
    public void refusedHere() {
        localRefusals++;
    }

    /** Requests that the module refused or failed for this. */
    public long causes(Cause cause) {
        return causes[cause.ordinal()];
    }

    /** Attempts that ended so. */
    public long outcomes(Reason reason) {
        return outcomes[reason.ordinal()];
    }

    /** Timers that fired. */
    public long timers() {
        return timers;
    }

    /** Timers that fired more than 5 ms late. */
    public long lateTimers() {
        return lateTimers;
    }

    /** How late the latest was since this was asked last, in nanoseconds. */
    public long takeLatest() {
        long worst = latest;
        latest = 0;
        return worst;
    }
}
