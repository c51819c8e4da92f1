package eiderscale.http.cache;

import java.util.List;

/**
 * Whether a request is answered from what is stored (RFC 9111 section 4), and how. {@code stored}: what is served or
 * validated; null where nothing is.
 */
public record Reuse(Kind kind, Stored stored, Reason reason) {
    /** What is to be done. */
    public enum Kind {
        /** Serve it. */
        FRESH,
        /** Serve it, stale as it is. */
        STALE,
        /** Serve it, stale as it is, and validate it behind that (RFC 5861 section 3). */
        STALE_REVALIDATE,
        /** Ask whether it still holds, and serve what comes of that. */
        VALIDATE,
        /** Ask for it as if nothing were stored. */
        FORWARD,
        /** Answer 504: the client wants what is stored or nothing (section 5.2.1.7). */
        UNSATISFIABLE
    }

    /** Why it goes forward, in the words of RFC 9211. */
    public enum Reason {
        /** It does not go forward. */
        HIT("hit"),
        /** Nothing is stored under its key. */
        URI_MISS("uri-miss"),
        /** What is stored under its key answers other requests. */
        VARY_MISS("vary-miss"),
        /** Its method is not answered from what is stored. */
        METHOD("method"),
        /** What is stored is not fresh. */
        STALE("stale"),
        /** The request asks for it. */
        REQUEST("request"),
        /** Only a part is stored, and not the one that is asked for. */
        PARTIAL("partial");

        private final String word;

        Reason(String word) {
            this.word = word;
        }

        /** As {@code fwd} has it. */
        public String word() {
            return word;
        }
    }

    /**
     * Decides. {@code variants}: what is stored under the request's key. {@code now}: in milliseconds since the
     * epoch. Of several that match, the one that its origin made last is taken (section 4.1).
     */
    public static Reuse of(String method, Fields request, List<Stored> variants, long now) {
        Directives said = said(request);
        Reuse reuse = decide(method, request, said, variants, now);
        boolean asks = reuse.kind == Kind.FORWARD || reuse.kind == Kind.VALIDATE;
        return asks && said.has("only-if-cached") ? new Reuse(Kind.UNSATISFIABLE, null, reuse.reason) : reuse;
    }

    /** {@code Pragma: no-cache} counts where nothing else was said (section 5.4). */
    private static Directives said(Fields request) {
        Directives said = Directives.of(request.all("cache-control"));
        return said.isEmpty() && request.members("pragma").contains("no-cache") ? Directives.of(List.of("no-cache")) : said;
    }

    private static Reuse decide(String method, Fields request, Directives said, List<Stored> variants, long now) {
        boolean get = method.equals("GET");
        if (!get && !method.equals("HEAD")) {
            return new Reuse(Kind.FORWARD, null, Reason.METHOD);
        }
        if (variants.isEmpty()) {
            return new Reuse(Kind.FORWARD, null, Reason.URI_MISS);
        }
        Stored found = null;
        for (Stored variant : variants) {
            if (Vary.matches(variant, request) && (found == null || variant.dated() >= found.dated())) {
                found = variant;
            }
        }
        if (found == null) {
            return new Reuse(Kind.FORWARD, null, Reason.VARY_MISS);
        }
        if (found.range() != null && !(get && Ranges.isWithin(request, found))) {
            return new Reuse(Kind.FORWARD, null, Reason.PARTIAL);
        }
        if (said.has("no-cache")) {
            return new Reuse(Kind.VALIDATE, found, Reason.REQUEST);
        }
        if (found.control().directives().hasUnqualified("no-cache")) {
            return new Reuse(Kind.VALIDATE, found, Reason.STALE);
        }
        return byAge(said, found, now);
    }

    private static Reuse byAge(Directives said, Stored found, long now) {
        Freshness freshness = found.freshness();
        long left = freshness.left(now);
        long maxAge = said.seconds("max-age");
        long minFresh = said.seconds("min-fresh");
        if (maxAge == Delta.INVALID || minFresh == Delta.INVALID) {
            return new Reuse(Kind.VALIDATE, found, Reason.REQUEST);
        }
        // An age of so many seconds is still wanted, one that exceeds them is not (section 5.2.1.1).
        boolean tooOld = maxAge != Delta.ABSENT && freshness.ageMs(now) > maxAge * 1000;
        if (left > 0) {
            boolean wanted = !tooOld && (minFresh == Delta.ABSENT || left >= minFresh * 1000);
            return wanted ? new Reuse(Kind.FRESH, found, Reason.HIT) : new Reuse(Kind.VALIDATE, found, Reason.REQUEST);
        }
        if (found.control().forbidsStale()) {
            return new Reuse(Kind.VALIDATE, found, Reason.STALE);
        }
        // Said with max-age, max-stale takes a response that is too old as well, so far as it is stale (5.2.1.2).
        long maxStale = said.secondsOrAny("max-stale");
        if (maxStale >= 0 && -left <= maxStale * 1000 && minFresh == Delta.ABSENT) {
            return new Reuse(Kind.STALE, found, Reason.HIT);
        }
        long behind = found.control().directives().seconds("stale-while-revalidate");
        if (behind >= 0 && -left < behind * 1000 && maxAge == Delta.ABSENT && minFresh == Delta.ABSENT) {
            return new Reuse(Kind.STALE_REVALIDATE, found, Reason.HIT);
        }
        return new Reuse(Kind.VALIDATE, found, Reason.STALE);
    }

    /**
     * Whether it may be served in place of an error: a failure to reach any host, or 500, 502, 503 or 504 (RFC 5861
     * section 4). The request or the response must allow it, and nothing forbid it; disconnection alone is not enough
     * here, as a client can be told so (RFC 9111 section 4.2.4 leaves that to a cache).
     */
    public static boolean mayReplaceError(Fields request, Stored stored, long now) {
        if (stored.control().forbidsStale() || said(request).has("no-cache")) {
            return false;
        }
        long stale = -stored.freshness().left(now);
        return within(said(request).seconds("stale-if-error"), stale)
                || within(stored.control().directives().seconds("stale-if-error"), stale);
    }

    private static boolean within(long seconds, long staleMs) {
        return seconds >= 0 && staleMs <= seconds * 1000;
    }
}
