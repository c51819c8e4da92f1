package eiderscale.http.cache;

import java.util.HashSet;
import java.util.Set;

/** Whether a response may be kept, and what of it (RFC 9111 section 3), by a cache that is shared. */
public final class Storing {
    /** Why it is not kept. */
    public enum Verdict {
        /** It is kept. */
        STORE,
        /** Only answers to GET are. */
        METHOD,
        /** Its status is not final, not understood, or a part whose place is not told. */
        STATUS,
        /** It, or its request, says {@code no-store}. */
        NO_STORE,
        /** It is for one user alone. */
        PRIVATE,
        /** Its request was authorized, and it does not say that others may have it. */
        AUTHORIZED,
        /** It matches no other request. */
        VARY,
        /** Its target was written to since its request went out. */
        OVERWRITTEN,
        /** Nothing says that it may be. */
        NOT_ALLOWED
    }

    /** Status codes whose meaning for caches this one knows (RFC 9110 section 15; those it has no rule for but these). */
    private static final Set<Integer> UNDERSTOOD = Set.of(200, 203, 204, 206, 300, 301, 302, 303, 307, 308, 404, 405, 410, 414,
            501);
    /** What is about one connection (RFC 9110 section 7.6.1, RFC 9111 section 3.1). */
    private static final Set<String> OF_CONNECTION = Set.of("connection", "keep-alive", "proxy-connection", "te",
            "transfer-encoding", "upgrade", "proxy-authenticate", "proxy-authentication-info", "proxy-authorization", "trailer");

    private Storing() {
    }

    /** What is to be done with a response. {@code control}: read from its fields. */
    static Verdict judge(String method, Fields request, int status, Fields response, Control control) {
        if (!method.equals("GET")) {
            return Verdict.METHOD;
        }
        boolean understood = UNDERSTOOD.contains(status);
        boolean mustUnderstand = control.has("must-understand");
        boolean part = status == 206 && ContentRange.parse(response.joined("content-range")) == null;
        if (status < 200 || status == 304 || part || mustUnderstand && !understood) {
            return Verdict.STATUS;
        }
        // A cache that understands the status may pass no-store over where must-understand stands by it (5.2.2.3).
        if (control.has("no-store") && !mustUnderstand || Directives.of(request.all("cache-control")).has("no-store")) {
            return Verdict.NO_STORE;
        }
        if (control.directives().hasUnqualified("private")) {
            return Verdict.PRIVATE;
        }
        if (request.has("authorization") && !control.has("public") && !control.has("s-maxage")
                && !control.has("must-revalidate")) {
            return Verdict.AUTHORIZED;
        }
        if (Vary.isAny(response)) {
            return Verdict.VARY;
        }
        boolean allowed = control.has("public") || control.has("max-age") || control.has("s-maxage")
                || !control.targeted() && response.has("expires") || Freshness.isHeuristic(status);
        return allowed ? Verdict.STORE : Verdict.NOT_ALLOWED;
    }

    /** The fields that are kept: not those of a connection, nor those that are private to one user. */
    static Fields kept(Fields response, Control control) {
        Set<String> dropped = new HashSet<>(response.members("connection"));
        dropped.addAll(control.directives().fieldNames("private"));
        dropped.addAll(OF_CONNECTION);
        return response.without(dropped::contains);
    }

    /** Whether a field is about one connection, whatever {@code Connection} names. */
    public static boolean isOfConnection(String name) {
        return OF_CONNECTION.contains(name);
    }
}
