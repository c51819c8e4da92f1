package eiderscale;

import java.util.List;

/**
 * The interface of the decision module: what goes in (settings and events), what comes out (actions).
 *
 * <p>Threading: a {@link Router} belongs to one thread at a time; it starts none and takes no locks.
 * Clock: every event carries the time in nanoseconds from any fixed origin, never falling; the module
 * reads no clock of its own. Ownership: values handed in are immutable and may be kept by the module;
 * actions are called back during an event, in the order in which they must be carried out.
 */
public final class Api {
    private Api() {
    }

    /** How often a request of a class may take effect. */
    public enum Effect {
        /** Repeats do no harm. */
        RETRYABLE,
        /** Servers of one group drop repeats for a while. */
        DEDUP,
        /** Must never run twice. */
        FRAGILE
    }

    /** The servers that drop repeats of a {@link Effect#DEDUP} request for one another. */
    public enum Group { ALL, ZONE, CELL }

    /** What the list says of a server. */
    public enum State { READY, DRAINING, GONE }

    /** How a list is to be applied: changed entries, all entries, the last held list, or a failed call. */
    public enum ListMode { DELTA, FULL, CACHED, FAILED }

    /**
     * How an attempt ended. {@code UNATTRIBUTED}: its connection brought a rejection that may be the answer
     * to an earlier request.
     */
    public enum Reason {
        OK(false), ERROR(false), REJECTED(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), MOOT(true), MISS(true), UNATTRIBUTED(false);

        /** True if the attempt provably never ran. */
        public final boolean neverRan;

        Reason(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** True if the attempt may still be running at its server. */
        public boolean mayRunOn() {
            return this == TIMEOUT || this == RESET || this == CANCELLED || this == UNATTRIBUTED;
        }

        /** True if the server said that it has no room, for this request or an earlier one. */
        public boolean turnedAway() {
            return this == REJECTED || this == UNATTRIBUTED;
        }

        /** True if the server did its part. */
        public boolean answered() {
            return this == OK || this == MISS;
        }
    }

    /**
     * A request class; times in nanoseconds. {@code inOrder}: requests with one key run one at a time.
     * {@code retry}, {@code hedge}: whether an attempt that may have run may be followed by another,
     * and whether a copy may run beside one. Both only narrow what {@code effect} allows.
     */
    public record RequestClass(long aim, double aimStretch, long deadline, double worth, double lateWorth,
                               Effect effect, Group group, long window, boolean stream, boolean inOrder,
                               boolean retry, boolean hedge) {
        /** A class that is resent wherever its effect allows it. */
        public RequestClass(long aim, double aimStretch, long deadline, double worth, double lateWorth,
                            Effect effect, Group group, long window, boolean stream, boolean inOrder) {
            this(aim, aimStretch, deadline, worth, lateWorth, effect, group, window, stream, inOrder,
                    true, true);
        }
    }

    /** A tenant: requests a second within its share over all balancers, and its fraction of service. */
    public record Tenant(double allowancePerSecond, double fraction) {
    }

    /** Where the values of a load report stand, -1 if absent. */
    public record ReportLayout(int inFlight, int queue, int busy) {
    }

    /** Further attempts allowed within any span: {@code free} and {@code share} of the requests taken. */
    public record Budget(double free, double share, long span) {
    }

    /**
     * What a balancer is told at its start; times in nanoseconds. {@code keyQuiet}: how long a key in order
     * rests after an attempt that may still be running. {@code budget}: null where there is none.
     * {@code hedgeQuantile}: the quantile of served latencies after which a copy goes out, in (0, 1).
     * {@code candidates}: hosts that a key lives on; with 1 it lives on no other, however hot, as hosts
     * that do not read through need it.
     */
    public record Settings(List<RequestClass> classes, List<Tenant> tenants, int zone, int rank,
                           int instances, boolean aside, int originKind, boolean subscribe, int maxAttempts,
                           boolean mayDuplicate, boolean mayCancel, boolean retryAfter, long maxRetryAfter,
                           long drainGrace, long askWithin, double coldFrom,
                           long warmWithin, double tipMultiple, long fallTime, double overShareWorth,
                           long keyQuiet, Budget budget, ReportLayout report, double hedgeQuantile,
                           int candidates) {
        /** Where no quantile is stated. */
        public static final double HEDGE_QUANTILE = 0.95;

        /** Where no number of candidates is stated. */
        public static final int CANDIDATES = 2;

        /** Settings that state neither a quantile nor a number of candidates. */
        public Settings(List<RequestClass> classes, List<Tenant> tenants, int zone, int rank,
                        int instances, boolean aside, int originKind, boolean subscribe, int maxAttempts,
                        boolean mayDuplicate, boolean mayCancel, boolean retryAfter, long maxRetryAfter,
                        long drainGrace, long askWithin, double coldFrom,
                        long warmWithin, double tipMultiple, long fallTime, double overShareWorth,
                        long keyQuiet, Budget budget, ReportLayout report) {
            this(classes, tenants, zone, rank, instances, aside, originKind, subscribe, maxAttempts,
                    mayDuplicate, mayCancel, retryAfter, maxRetryAfter, drainGrace, askWithin, coldFrom,
                    warmWithin, tipMultiple, fallTime, overShareWorth, keyQuiet, budget, report,
                    HEDGE_QUANTILE, CANDIDATES);
        }
    }

    /** An entry of the server list. */
    public record Server(long id, int zone, int kind, int cell, State state, double weight,
                         long startedAt) {
    }

    /**
     * A client request. A {@code work} of 0 means no hint; a {@code key} of 0 means none. {@code bulk}: a
     * body follows it on its way, which takes as long as its client makes it; it goes out once, and
     * {@link Outcome#took} counts from the end of that.
     */
    public record Request(long id, int requestClass, int tenant, long key, long deadline, long work,
                          boolean repeat, boolean write, boolean bulk) {
        /** A request that goes out whole. */
        public Request(long id, int requestClass, int tenant, long key, long deadline, long work,
                       boolean repeat, boolean write) {
            this(id, requestClass, tenant, key, deadline, work, repeat, write, false);
        }
    }

    /** What a host says of how it came by a value, where hosts say so. */
    public enum Lookup {
        /** Nothing. */
        UNTOLD,
        /** It held the value. */
        HIT,
        /** It had to fetch the value. */
        MISS
    }

    /** Why the module gives a final answer of its own. */
    public enum Cause {
        /** Its tenant is over its share, or would be if it were taken. */
        OVER_SHARE,
        /** No answer could come in time to be of use. */
        NO_TIME_LEFT,
        /** Writes fail behind the hosts, and this one was picked to give way. */
        ORIGIN_FULL,
        /** The hosts are overloaded, and this one was picked to give way. */
        OVERLOADED,
        /** Too many requests of its key are before it. */
        KEY_QUEUE,
        /** No host may take it, or none that has not been tried. */
        NO_HOST,
        /** It has had as many attempts as one may have. */
        ATTEMPTS_SPENT,
        /** The last attempt did not go out for want of room or time in this process. */
        NOT_SENT,
        /** An attempt may have run, and another could take effect a second time. */
        MAY_HAVE_RUN,
        /** The allowance for further attempts, over all requests, is used up. */
        RETRY_BUDGET
    }

    /** The end of an attempt. {@code closed}: the request has its final answer. */
    public record Outcome(long request, int attempt, Reason reason, long took, boolean closed,
                          float[] report, Lookup lookup) {
        /** An outcome that tells nothing of a lookup. */
        public Outcome(long request, int attempt, Reason reason, long took, boolean closed, float[] report) {
            this(request, attempt, reason, took, closed, report, Lookup.UNTOLD);
        }
    }

    /** Events in. All times are nanoseconds of the caller's clock. */
    public interface Events {
        /** The server list changed, or a call for it failed. */
        void onList(long now, ListMode mode, List<Server> servers);

        /** A client request arrived; one final answer is owed from here on. */
        void onRequest(long now, Request request);

        /** An attempt ended. Unknown requests are passed over. */
        void onOutcome(long now, Outcome outcome);

        /** A streamed answer began. */
        void onFirstByte(long now, long request, int attempt);

        /** The client left; nothing is owed any more. */
        void onClientGone(long now, long request);

        /** A request waits for another's attempt: it costs its tenant what one that comes costs. */
        default void onJoined(long now, int tenant) {
        }

        /** What has been learnt so far, for another module; null where nothing is. */
        default Learnt learnt(long now) {
            return null;
        }

        /** What another module has learnt; behind the first list, which says which hosts there are. */
        default void recall(long now, Learnt learnt) {
        }

        /** A timer set by {@link Actions#wakeAt} is due. */
        void onTimer(long now, int token);
    }

    /** Actions out. */
    public interface Actions {
        /** Starts the next attempt of a request; it is abandoned at {@code cutAt}. */
        void send(long request, long server, long cutAt);

        /** Ends the wait for one attempt. */
        void cancel(long request, int attempt);

        /** Why the refusal or failure that follows at once is given; for logs and counters. */
        default void because(long request, Cause cause) {
        }

        /** Final answer: refused, a client's retry does no harm. */
        void refuse(long request, long retryAfter);

        /** Final answer: failed. */
        void fail(long request);

        /** Asks for {@link Events#onTimer}. */
        void wakeAt(long moment, int token);

        /** Closes this balancer's idle connections to a server. */
        void closeIdle(long server);

        /** Subscribes to changes of the server list. */
        void subscribe();
    }
}
