package eiderscale.http;

import eiderscale.config.HttpRules;
import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.Fields;
import eiderscale.net.Client;
import eiderscale.net.Clock;
import eiderscale.net.Core;
import eiderscale.net.Snapshot;
import eiderscale.ledger.Taken;
import eiderscale.net.Upload;

/**
 * What a request is, however often the cache asks for it: where it goes, under which class, and until when its client
 * waits. {@code snapshot}: the settings of its pool at its head, whose numbers {@code route} and {@code tenant} hold;
 * {@code deadline}: on the program's clock, in nanoseconds.
 */
record Origin(HttpFront front, Core core, Snapshot snapshot, HttpRules.Route route, int tenant, CacheKey target, long deadline) {
    /** When its client must have an answer that is made here. */
    long answerBy() {
        return core.deadline(Math.max(0, (deadline - Clock.now()) / Clock.MILLISECOND));
    }

    /** When a request of its class that comes now is given up on at the latest, however long its client may wait. */
    long longest() {
        return Clock.now() + snapshot.settings().classes().get(route.requestClass()).deadline();
    }

    /** Hands a request to the core; one without a body, that waits until then. */
    Taken take(String method, Fields fields, long until, Client client) {
        return take(method, fields, null, null, until, client);
    }

    /** Hands a request to the core with what is held of its body, or its stream. */
    Taken take(String method, Fields fields, byte[] body, Upload upload, Client client) {
        return take(method, fields, body, upload, deadline, client);
    }

    private Taken take(String method, Fields fields, byte[] body, Upload upload, long until, Client client) {
        long left = Math.max(0, (until - Clock.now()) / Clock.MILLISECOND);
        return core.take(new HttpCall(core.ownId(), snapshot, route, tenant, left, method, target, front.via(fields), body, upload),
                client);
    }
}
