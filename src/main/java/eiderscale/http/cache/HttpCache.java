package eiderscale.http.cache;

import java.util.List;

/**
 * The way of one request through the cache, as decisions: what is served from the shelf, what is asked for and how, and
 * what becomes of the answer (RFC 9111 sections 3 and 4 in their order). Times are in milliseconds since the epoch, by
 * the caller's clock. Holds nothing between calls but the shelf; for one thread.
 */
public final class HttpCache {
    /** Status codes that {@code stale-if-error} is about (RFC 5861 section 4). */
    private static final int[] ERRORS = {500, 502, 503, 504};

    private final Shelf shelf;

    /** A cache that keeps its copies there. */
    public HttpCache(Shelf shelf) {
        this.shelf = shelf;
    }

    /** What is to be done with a request. */
    public sealed interface Plan {
    }

    /**
     * Serve this. {@code revalidate}: ask behind that whether it still holds, at most once at a time; null where it is
     * fresh, or stale by the client's own leave.
     */
    public record Serve(Hit hit, Fetch revalidate) implements Plan {
    }

    /**
     * Ask a host. {@code fields}: those of the request to send. {@code validated}: what is asked about, null if nothing
     * is; {@code own}: the conditions are this cache's and not the client's.
     */
    public record Fetch(String method, CacheKey key, Fields request, Fields fields, Stored validated, boolean own,
                        Reuse.Reason reason) implements Plan {
    }

    /** Answer 504: the client wants what is stored or nothing. */
    public record Unsatisfiable() implements Plan {
    }

    /**
     * Something from the shelf. {@code notModified}: the client has it already, 304 without a body. {@code slice}: the
     * part of the body that is wanted, null for all of it; one that cannot be satisfied is answered 416. {@code fields}
     * are those to send, {@code Age} included; {@code ttl}: seconds that it is fresh for, negative if stale.
     */
    public record Hit(Copy copy, Fields fields, boolean notModified, Ranges.Slice slice, long ttl) {
        /** The status that goes with it. */
        public int status() {
            return notModified ? 304 : slice == null ? copy.stored().status() : slice.isSatisfiable() ? 206 : 416;
        }
    }

    /** What is to be done with an answer. */
    public sealed interface Outcome {
    }

    /** Serve this from the shelf instead of the answer, whose body is passed over. */
    public record Instead(Hit hit) implements Outcome {
    }

    /**
     * Pass the answer on. {@code keep}: its body is to be collected and, if it comes whole, given to {@link #keep};
     * null if it is not to be kept, for the reason in {@code verdict}.
     */
    public record Pass(Stored keep, Storing.Verdict verdict) implements Outcome {
    }

    /** Ask again, without conditions: the answer was about something that is not here any more. */
    public record Again(Fetch fetch) implements Outcome {
    }

    /** It makes no sense, as a 304 that nobody asked for does not: 502. */
    public record Senseless() implements Outcome {
    }

    /** What to do with a request. */
    public Plan plan(String method, CacheKey key, Fields request, long now) {
        Variants variants = shelf.get(key);
        Reuse reuse = Reuse.of(method, request, variants.stored(), now);
        if (reuse.kind() == Reuse.Kind.UNSATISFIABLE) {
            return new Unsatisfiable();
        }
        Stored stored = reuse.stored();
        boolean cacheable = method.equals("GET") || method.equals("HEAD");
        if (stored != null && Preconditions.judge(request, stored, now) == Preconditions.Outcome.FORWARD
                || reuse.kind() == Reuse.Kind.FORWARD || !cacheable) {
            return new Fetch(method, key, request, request, null, false, reuse.reason());
        }
        if (reuse.kind() == Reuse.Kind.VALIDATE) {
            return validation(method, key, request, stored, variants, reuse.reason());
        }
        Fetch behind = reuse.kind() == Reuse.Kind.STALE_REVALIDATE
                ? validation("GET", key, request, stored, variants, Reuse.Reason.STALE) : null;
        return new Serve(hit(method, request, variants.copy(stored), now, false), behind);
    }

    private static Fetch validation(String method, CacheKey key, Fields request, Stored stored, Variants variants,
                                    Reuse.Reason reason) {
        if (!Validation.hasValidator(stored)) {
            return new Fetch(method, key, request, request, null, false, reason);
        }
        return new Fetch(method, key, request, Validation.request(request, stored, variants.stored()), stored, true, reason);
    }

    private static Hit hit(String method, Fields request, Copy copy, long now, boolean validated) {
        Stored stored = copy.stored();
        boolean notModified = Preconditions.judge(request, stored, now) == Preconditions.Outcome.NOT_MODIFIED;
        long length = stored.range() == null ? copy.body().length : stored.range().length();
        boolean whole = notModified || !method.equals("GET") || stored.status() != 200 && stored.status() != 206;
        Ranges.Slice slice = whole ? null : Ranges.asked(request, stored, length);
        Fields fields = stored.fields();
        if (!validated) {
            // Without validation the fields that no-cache names are not served (section 5.2.2.4).
            fields = fields.without(stored.control().directives().fieldNames("no-cache")::contains);
        }
        Fields sent = fields.with("age", String.valueOf(stored.freshness().age(now)));
        return new Hit(copy, sent, notModified, slice, Math.floorDiv(stored.freshness().left(now), 1000L));
    }

    /** Asks anew for something that is fresh still, so that its end does not find all its readers at once. */
    public Fetch refresh(CacheKey key, Fields request, Stored stored) {
        return validation("GET", key, request, stored, shelf.get(key), Reuse.Reason.STALE);
    }

    /** The targets whose stored responses an answer takes out (section 4.4). */
    public List<CacheKey> invalidated(String method, CacheKey key, int status, Fields answer) {
        return List.copyOf(Invalidation.of(method, key, status, answer));
    }

    /** What to do with the answer to a fetch, its head having come. {@code asked}, {@code came}: when it went and came. */
    public Outcome answered(Fetch fetch, int status, Fields answer, long asked, long came) {
        if (status == 304) {
            return notModified(fetch, answer, asked, came);
        }
        if (isError(status)) {
            Hit stale = inPlaceOfError(fetch, came);
            if (stale != null) {
                return new Instead(stale);
            }
        }
        for (CacheKey gone : Invalidation.of(fetch.method, fetch.key, status, answer)) {
            shelf.set(gone, Variants.NONE);
        }
        if (fetch.method.equals("HEAD") && status == 200) {
            Variants variants = shelf.get(fetch.key);
            if (!variants.isEmpty()) {
                shelf.set(fetch.key, variants.afterHead(fetch.request, answer, asked, came));
            }
        }
        return pass(fetch, status, answer, asked, came);
    }

    /**
     * The same for the answer to a safe request whose target was written to since it went out: it says nothing of what is on the
     * shelf by now, and is not kept (section 4.4).
     */
    public Outcome answeredBehindWrite(Fetch fetch, int status) {
        if (status != 304) {
            return new Pass(null, Storing.Verdict.OVERWRITTEN);
        }
        if (fetch.own) {
            return unconditional(fetch);
        }
        return isConditional(fetch.request) ? new Pass(null, Storing.Verdict.STATUS) : new Senseless();
    }

    private static Again unconditional(Fetch fetch) {
        return new Again(new Fetch(fetch.method, fetch.key, fetch.request, fetch.request, null, false, fetch.reason));
    }

    private Outcome pass(Fetch fetch, int status, Fields answer, long asked, long came) {
        Control control = Control.of(answer);
        Storing.Verdict verdict = Storing.judge(fetch.method, fetch.request, status, answer, control);
        long length = ContentRange.number(answer.has("content-length") ? answer.first("content-length") : "");
        if (verdict != Storing.Verdict.STORE || !shelf.takes(length)) {
            if (verdict != Storing.Verdict.METHOD && fetch.validated != null && status < 500) {
                // What was stored has been answered anew by something that may not be kept: it holds no longer.
                forget(fetch);
            }
            return new Pass(null, verdict);
        }
        Fields kept = Storing.kept(answer, control);
        ContentRange range = status == 206 ? ContentRange.parse(answer.joined("content-range")) : null;
        Stored stored = Stored.of(status, kept, Vary.selecting(answer, fetch.request), asked, came, range);
        return new Pass(isOfUse(stored, came) ? stored : null, verdict);
    }

    /** What is stale at once, can be asked about by nothing and may not be served stale would only take room. */
    private static boolean isOfUse(Stored stored, long now) {
        Directives said = stored.control().directives();
        return stored.freshness().left(now) > 0 || Validation.hasValidator(stored) || said.has("stale-while-revalidate")
                || said.has("stale-if-error");
    }

    private void forget(Fetch fetch) {
        Variants variants = shelf.get(fetch.key);
        for (Stored stored : variants.stored()) {
            if (stored.equals(fetch.validated)) {
                shelf.set(fetch.key, variants.without(stored));
                return;
            }
        }
    }

    private Outcome notModified(Fetch fetch, Fields answer, long asked, long came) {
        if (!fetch.own) {
            // The client's own conditions: it knows what a 304 is about. Without any it cannot be meant.
            return isConditional(fetch.request) ? new Pass(null, Storing.Verdict.STATUS) : new Senseless();
        }
        Variants variants = shelf.get(fetch.key).freshened(answer, asked, came);
        shelf.set(fetch.key, variants);
        Stored found = null;
        for (Stored stored : Validation.selected(answer, variants.stored())) {
            if (Vary.matches(stored, fetch.request) && (found == null || stored.dated() >= found.dated())) {
                found = stored;
            }
        }
        if (found == null) {
            return unconditional(fetch);
        }
        return new Instead(hit(fetch.method, fetch.request, variants.copy(found), came, true));
    }

    private static boolean isConditional(Fields request) {
        return request.has("if-none-match") || request.has("if-modified-since");
    }

    private static boolean isError(int status) {
        for (int error : ERRORS) {
            if (error == status) {
                return true;
            }
        }
        return false;
    }

    /** What may be served as no host gave an answer to a fetch, or an error; null if nothing may. */
    public Hit inPlaceOfError(Fetch fetch, long now) {
        boolean cacheable = fetch.method.equals("GET") || fetch.method.equals("HEAD");
        Variants variants = cacheable ? shelf.get(fetch.key) : Variants.NONE;
        Stored found = null;
        for (Stored stored : variants.stored()) {
            boolean fits = stored.range() == null && Vary.matches(stored, fetch.request);
            if (fits && (found == null || stored.dated() >= found.dated())) {
                found = stored;
            }
        }
        return found != null && Reuse.mayReplaceError(fetch.request, found, now)
                ? hit(fetch.method, fetch.request, variants.copy(found), now, false) : null;
    }

    /**
     * Keeps a response whose body has come whole; false if it is not kept: a body that is not as long as its head
     * said is never given here, and one that turned out too large is not taken.
     */
    public boolean keep(CacheKey key, Stored stored, byte[] body) {
        long told = ContentRange.number(stored.fields().has("content-length") ? stored.fields().first("content-length") : "");
        boolean cut = told >= 0 && told != body.length || stored.range() != null && stored.range().bytes() != body.length;
        if (cut || !shelf.takes(body.length)) {
            return false;
        }
        shelf.set(key, shelf.get(key).with(new Copy(stored, body)));
        return true;
    }
}
