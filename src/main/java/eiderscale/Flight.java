package eiderscale;

import eiderscale.Api.Effect;
import eiderscale.Api.Group;
import eiderscale.Api.Request;
import eiderscale.Api.RequestClass;
import eiderscale.HostHealth.Host;
import java.util.Arrays;

/** A request from its arrival until its last attempt has been reported; times in nanoseconds. */
final class Flight {
    /** Of a moment that does not come. */
    static final long NEVER = Long.MAX_VALUE;

    /** One send and how it ended. */
    static final class Attempt {
        final Host host;
        final long sentAt;
        boolean pending = true;
        boolean neverRan;
        /** A copy sent later was answered first. */
        boolean overtaken;

        Attempt(Host host, long sentAt) {
            this.host = host;
            this.sentAt = sentAt;
        }
    }

    final Request request;
    final RequestClass requestClass;
    final long usefulUntil;
    final Attempt[] attempts;
    int sent;
    int pending;
    boolean ended;
    /** Missed at a cache, or sent to the origin: no copy runs beside that. */
    boolean missed;
    boolean streaming;
    /** Waits for its turn: earlier requests of its key are not over. */
    boolean held;
    /** When its copy is due, when it tells of overload, and the earlier of the two or end of its wait. */
    long hedgeAt = NEVER;
    long slowAt = NEVER;
    long alarmAt;

    Flight(Request request, RequestClass requestClass, long now, int mostAttempts) {
        this.request = request;
        this.requestClass = requestClass;
        long aim = requestClass.aim() + (long) (requestClass.aimStretch() * request.work());
        // The time of a request with a body that is still coming begins when that has come.
        this.usefulUntil = requestClass.lateWorth() > 0 || requestClass.stream() || request.bulk()
                ? request.deadline() : Math.min(request.deadline(), now + aim);
        this.attempts = new Attempt[mostAttempts];
    }

    /** The earliest attempt that is not known never to have run. */
    Attempt mayHaveRun() {
        return Arrays.stream(attempts, 0, sent).filter(a -> !a.neverRan).findFirst().orElse(null);
    }

    boolean ordered() {
        return requestClass.inOrder() && request.key() != 0;
    }

    /** The second rule: a refusal promises that a client's retry does no harm. */
    boolean mayRefuse() {
        return requestClass.effect() == Effect.RETRYABLE
                || requestClass.effect() == Effect.DEDUP && requestClass.group() == Group.ALL
                || mayHaveRun() == null;
    }
}
