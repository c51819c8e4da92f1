package eiderscale.http;

import eiderscale.config.HttpRules;
import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.Fields;
import eiderscale.net.Client;
import eiderscale.net.Clock;
import eiderscale.net.Core;
import eiderscale.net.Taken;

/**
 * What a request is, however often the cache asks for it: where it goes, under which class, and until when its client
 * waits. {@code deadline}: on the program's clock, in nanoseconds.
 */
record Origin(HttpFront front, Core core, HttpRules.Route route, int tenant, CacheKey target, long deadline) {
    /** Hands a request to the core; one without a body. */
    Taken take(String method, Fields fields, Client client) {
        return take(method, fields, null, null, client);
    }

    /** Hands a request to the core with what is held of its body, or its stream. */
    Taken take(String method, Fields fields, byte[] body, Upload upload, Client client) {
        long left = Math.max(0, (deadline - Clock.now()) / Clock.MILLISECOND);
        return core.take(new HttpCall(core.ownId(), route, tenant, left, method, target, front.via(fields), body, upload),
                client);
    }
}
