package eiderscale.http;

import eiderscale.config.HttpRules;
import eiderscale.config.Site;
import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.CacheStatus;
import eiderscale.http.cache.Fields;
import eiderscale.http.cache.HttpCache;
import eiderscale.http.cache.Reuse;
import eiderscale.http.cache.Stored;
import eiderscale.joining.EarlyRefresh;
import eiderscale.joining.Place;
import eiderscale.net.BodySink;
import eiderscale.net.Answer;
import eiderscale.net.Client;
import eiderscale.net.Clock;
import eiderscale.net.Core;
import eiderscale.net.Snapshot;
import eiderscale.ledger.Taken;
import eiderscale.net.Upload;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/** One request of one client, from its head until its answer is written. */
final class Turn implements Client, BodySink {
    /** One that has waited for others' fetches so often goes its own way. */
    private static final int MOST_WAITS = 3;
    /** What its sender is told of a failure that came with the deadline, and not before, in nanoseconds. */
    private static final long LATE = 10 * Clock.MILLISECOND;
    private static final Set<String> OWN_FIELDS = Set.of("host", "content-length", "expect");

    private final HttpConnection connection;
    private final HttpFront front;
    private final Reply reply;
    private RequestHead head;
    private HttpRules.Limits limits;
    private Origin origin;
    private Fields sent;
    /** Bytes of the body that have come. */
    private long came;
    private ByteArrayOutputStream body;
    private Upload upload;
    private boolean bodyDone;
    private boolean started;
    private int waits;
    private Future<?> alarm;
    /** What it wants of the hosts, where the cache has a part in it. */
    private HttpCache.Fetch wanted;
    /** One of these at most: what it waits for, or what it is answered by as the answer comes. */
    private Place<Turn> place;
    private Fetching fetching;
    private Taken taken;
    private HttpAnswer direct;

    Turn(HttpConnection connection, HttpFront front) {
        this.connection = connection;
        this.front = front;
        this.reply = new Reply(connection, front, this);
    }

    Origin origin() {
        return origin;
    }

    long deadline() {
        return origin.deadline();
    }

    // What comes from the client.

    void spoilt(BadRequest bad) {
        clearAlarm();
        if (upload != null) {
            upload.cut();
        }
        if (reply.hasBegun()) {
            reply.breakOff();
            return;
        }
        letGo();
        reply.close();
        reply.plain(bad.status(), bad.getMessage(), Fields.NONE);
    }

    void begin(RequestHead request) throws BadRequest {
        head = request;
        reply.to(request);
        HttpRules rules = connection.rules();
        limits = rules.limits();
        CacheKey target = request.target();
        if (connection.surplus()) {
            connection.noPlace();
            reply.close();
            reply.refused(connection.retryMs());
            return;
        }
        if (hasDots(target.path())) {
            throw new BadRequest(400, "dot segments in the path");
        }
        if (request.method().equals("PURGE") && limits.purge()) {
            purge(target);
            return;
        }
        HttpRules.Route route = rules.choose(request.method(), target.path());
        if (route == null) {
            unrouted(rules.methods(target.path()));
            return;
        }
        Core core = connection.pool(route.pool());
        Snapshot snapshot = core.snapshot();
        Site site = snapshot.site();
        String named = route.tenantField() == null ? route.tenant() : request.fields().first(route.tenantField());
        Integer tenant = site.tenant(named);
        if (tenant == null) {
            wrong(400, "unknown tenant");
        } else if (route.keyed() && !request.fields().has("idempotency-key")) {
            wrong(400, "Idempotency-Key is needed here");
        } else if (request.length() > limits.largestBody()) {
            wrong(413, "body too large");
        } else if (!connection.asks(tenant)) {
            connection.noPlace();
            reply.close();
            reply.refused(connection.retryMs());
        } else {
            connection.good();
            long deadline = Clock.now() + route.waitMs() * Clock.MILLISECOND;
            origin = new Origin(front, core, snapshot, route, tenant, target, deadline);
            sent = HttpHosts.passedOn(request.fields()).without(OWN_FIELDS::contains);
            awaitBody();
        }
    }

    /** Another server may resolve them, and find the path under another route. */
    private static boolean hasDots(String path) {
        int end = path.indexOf('?') < 0 ? path.length() : path.indexOf('?');
        if (path.indexOf('.') < 0 && path.indexOf('%') < 0) {
            return false;
        }
        String plain = path.substring(0, end).toLowerCase(Locale.ROOT).replace("%2e", ".").replace("%2f", "/")
                .replace("%5c", "/").replace('\\', '/');
        return plain.contains("/./") || plain.contains("/../") || plain.endsWith("/.") || plain.endsWith("/..");
    }

    private void purge(CacheKey target) {
        boolean near = connection.socket().remoteAddress().getAddress().isLoopbackAddress();
        if (!near || front.store() == null) {
            wrong(near ? 404 : 403, near ? "nothing is cached here" : "not from there");
            return;
        }
        boolean was = !front.store().get(target).isEmpty();
        front.store().remove(target);
        front.fetches().written(target);
        reply.plain(was ? 200 : 404, was ? "purged" : "not stored", Fields.NONE);
    }

    private void unrouted(Set<String> methods) {
        if (methods.isEmpty()) {
            wrong(404, "no route for this path");
        } else {
            connection.bad();
            closeOverBody();
            reply.plain(405, "no route for this method", Fields.of("allow", String.join(", ", methods)));
        }
    }

    private void wrong(int status, String what) {
        connection.bad();
        closeOverBody();
        reply.plain(status, what, Fields.NONE);
    }

    /** A body that is still to come would have to be read to find the next request. */
    private void closeOverBody() {
        if (head.length() != 0) {
            reply.close();
        }
    }

    private void awaitBody() {
        if (head.length() == 0) {
            return;
        }
        if (head.expectsContinue()) {
            reply.goOn();
        }
        long stallMs = Math.max(1, limits.stall() / Clock.MILLISECOND);
        seeLater(stallMs);
        if (head.length() > limits.hold()) {
            stream();
            start();
        } else {
            body = new ByteArrayOutputStream((int) Math.max(0, head.length()));
        }
    }

    /** Something must come of a body while it is wanted. */
    private void seeProgress(long before, long stallMs) {
        if (bodyDone || connection.hasLeft() || reply.isDone()) {
            return;
        }
        boolean late = !started && Clock.now() >= origin.deadline();
        if (late || came == before && wantsBody()) {
            spoilt(new BadRequest(408, "body not here in time"));
        } else {
            seeLater(stallMs);
        }
    }

    private void seeLater(long stallMs) {
        long before = came;
        setAlarm(() -> seeProgress(before, stallMs), stallMs);
    }

    private void stream() {
        upload = new Upload(head.length(), front.uploads(), connection::look);
    }

    /** Whether more of its body can be used now. */
    boolean wantsBody() {
        return upload == null || upload.wantsMore();
    }

    /** Some of its body; {@code last}: the rest. */
    void body(ByteBuf bytes, boolean last) {
        came += bytes.readableBytes();
        if (origin == null || reply.isDone() || connection.isOver()) {
            bodyDone |= last;
            return;
        }
        if (came > limits.largestBody()) {
            spoilt(new BadRequest(413, "body too large"));
            return;
        }
        if (body != null) {
            hold(bytes);
        } else if (upload != null) {
            upload.part(bytes.retain());
        }
        if (upload != null && !started && !reply.isDone()) {
            start();
        }
        if (last && !reply.isDone()) {
            bodyDone = true;
            clearAlarm();
            if (upload != null) {
                upload.end();
            } else {
                start();
            }
        }
    }

    private void hold(ByteBuf bytes) {
        int size = bytes.readableBytes();
        boolean fits = body.size() + size <= limits.hold();
        if (!front.budget().take(fits ? size : 0)) {
            connection.noPlace();
            reply.close();
            letGo();
            reply.refused(connection.retryMs());
            return;
        }
        byte[] copy = ByteBufUtil.getBytes(bytes);
        if (fits) {
            body.write(copy, 0, copy.length);
            return;
        }
        byte[] before = body.toByteArray();
        letGo();
        stream();
        upload.part(Unpooled.wrappedBuffer(before));
        upload.part(bytes.retain());
    }

    /** What is held of the body is held no longer on this account. */
    private void letGo() {
        if (body != null) {
            front.budget().giveBack(body.size());
            body = null;
        }
    }

    // Where its answer comes from.

    private void start() {
        started = true;
        byte[] whole = body == null ? null : body.toByteArray();
        letGo();
        if (front.cache() != null && head.length() == 0 && !origin.route().write()) {
            plan(true);
        } else {
            written(head.target());
            Taken given = origin.take(head.method(), sent, whole, upload, this);
            taken = reply.isDone() ? null : given;
        }
    }

    private void plan(boolean mayJoin) {
        HttpCache.Plan plan = front.cache().plan(head.method(), head.target(), sent, front.nowMs());
        if (plan instanceof HttpCache.Serve serve) {
            hit(serve.hit(), Reuse.Reason.HIT, 0);
            if (serve.revalidate() != null) {
                front.fetches().behind(serve.revalidate(), this);
            } else {
                refreshEarly(serve.hit().copy().stored());
            }
        } else if (plan instanceof HttpCache.Fetch fetch) {
            front.fetches().fetch(fetch, this, mayJoin && limits.collapse());
        } else {
            reply.plain(504, "only-if-cached", Fields.NONE);
        }
    }

    private void refreshEarly(Stored stored) {
        double early = origin.snapshot().site().joining.early();
        double left = stored.freshness().left(front.nowMs()) * (double) Clock.MILLISECOND;
        if (head.method().equals("GET") && left > 0
                && EarlyRefresh.due(ThreadLocalRandom.current().nextDouble(), front.cost(), left, early)) {
            front.fetches().behind(front.cache().refresh(head.target(), sent, stored), this);
        }
    }

    /** Something may change there, or has: nobody who comes now gets what was fetched before. */
    private void written(CacheKey target) {
        if (front.cache() != null && origin.route().write()) {
            front.fetches().written(target);
        }
    }

    /** What it wants of the hosts. */
    void wants(HttpCache.Fetch fetch) {
        wanted = fetch;
    }

    HttpCache.Fetch wanted() {
        return wanted;
    }

    /** It waits for a fetch, which may be its own, until its time is up. */
    void stands(Place<Turn> where) {
        place = where;
    }

    Place<Turn> place() {
        return place;
    }

    /** The fetch that it waits for is another's. */
    void joins() {
        waits++;
    }

    /** It is answered by that one as the answer comes. */
    void leads(Fetching one) {
        place = null;
        fetching = one;
    }

    /** The body's progress before it has started. */
    private void setAlarm(Runnable task, long ms) {
        clearAlarm();
        alarm = connection.after(task, ms);
    }

    private void clearAlarm() {
        if (alarm != null) {
            alarm.cancel(false);
            alarm = null;
        }
    }

    private void leave() {
        Place<Turn> stood = place;
        Fetching left = fetching;
        letGoOfFetch();
        if (stood != null) {
            front.fetches().leave(stood);
        }
        if (left != null) {
            left.leave();
        }
    }

    private void letGoOfFetch() {
        place = null;
        fetching = null;
    }

    /** What it waited for is over: the store may have it now. */
    void lookAgain(boolean mayJoin) {
        clearAlarm();
        letGoOfFetch();
        if (!connection.hasLeft()) {
            plan(mayJoin && waits < MOST_WAITS);
        }
    }

    /** No fetch brought it: something stale if that may be served in place of an error, or this. */
    void orStale(Consumer<Turn> word) {
        HttpCache.Hit stale = front.cache().inPlaceOfError(new HttpCache.Fetch(head.method(), wanted.key(), sent, sent, null,
                false, wanted.reason()), front.nowMs());
        if (stale != null) {
            hit(stale, wanted.reason(), 0);
        } else {
            word.accept(this);
        }
    }

    /** The fetch that it waited for brought nothing, or its time is up. A longer answer than is held goes to one alone. */
    void unserved(HttpAnswer last, long waitMs) {
        HttpAnswer mine = last != null && last.whole() == null && last.isWanted() ? null : last;
        orStale(turn -> turn.refused(waitMs, mine));
    }

    void hit(HttpCache.Hit hit, Reuse.Reason why, int answered) {
        letGoOfFetch();
        CacheStatus status = why == Reuse.Reason.HIT || answered == 0 && why == null
                ? CacheStatus.hit(front.name(), hit.ttl()) : CacheStatus.forwarded(front.name(), why);
        if (why != Reuse.Reason.HIT && answered != 0) {
            status.answered(answered);
        }
        clearAlarm();
        if (waits > 0) {
            status.collapsed();
        }
        reply.hit(hit, status);
    }

    /** The head of an answer that goes on as it is; its body follows. */
    void begin(HttpAnswer answer, Fields fields, Reuse.Reason why, boolean kept) {
        CacheStatus status = CacheStatus.forwarded(front.name(), why);
        if (kept) {
            status.stored();
        }
        reply.head(answer.status, fields, answer.length, status);
    }

    // What a request that the cache has no part in is told, and what others are told through it.

    @Override
    public void served(Answer given) {
        direct = (HttpAnswer) given;
        Fields fields = front.passed(direct);
        if (front.cache() != null) {
            long now = front.nowMs();
            HttpCache.Outcome outcome = front.cache().answered(new HttpCache.Fetch(head.method(), head.target(), sent, sent,
                    null, false, Reuse.Reason.METHOD), direct.status, fields, now, now);
            written(head.target());
            front.cache().invalidated(head.method(), head.target(), direct.status, fields).forEach(this::written);
            if (outcome instanceof HttpCache.Senseless) {
                direct.discard();
                senseless();
                return;
            }
        }
        reply.head(direct.status, fields, direct.length,
                front.cache() == null ? null : CacheStatus.forwarded(front.name(), Reuse.Reason.METHOD));
        direct.to(this);
    }

    @Override
    public void part(ByteBuf bytes) {
        reply.part(bytes);
        flow(connection.takes());
    }

    @Override
    public void end() {
        reply.end();
    }

    @Override
    public void cut() {
        reply.breakOff();
    }

    @Override
    public void refused(long retryAfterMs, Answer last) {
        unserved();
        if (last == null) {
            reply.refused(retryAfterMs);
        } else {
            passOn((HttpAnswer) last, Reply.harmless(retryAfterMs));
        }
    }

    @Override
    public void failed(Answer last) {
        unserved();
        if (last == null) {
            reply.failed(origin.deadline() - Clock.now() < LATE);
        } else {
            passOn((HttpAnswer) last, Reply.HARMFUL);
        }
    }

    private void unserved() {
        clearAlarm();
        letGoOfFetch();
        closeOverUpload();
        written(head.target());
    }

    /** What the host of the last attempt said, as it said it, and whether asking again does harm. */
    private void passOn(HttpAnswer last, Fields more) {
        if (reply.hasBegun()) {
            return;
        }
        Fields own = front.passed(last);
        // Where the host names a wait of its own, that one counts.
        Fields fields = own.updatedBy(own.has("retry-after") ? more.without(name -> name.contains("retry-after")) : more);
        byte[] whole = last.whole();
        reply.head(last.status, fields, last.length, null);
        if (whole != null) {
            // Perhaps one of many to whom it goes.
            reply.part(Unpooled.wrappedBuffer(whole));
            reply.end();
        } else {
            direct = last;
            last.to(this);
        }
    }

    void senseless() {
        letGoOfFetch();
        closeOverUpload();
        reply.failed(false);
    }

    private void closeOverUpload() {
        if (upload != null && !bodyDone) {
            reply.close();
        }
    }

    /** How the client takes what it is sent. */
    void flow(boolean writable) {
        if (fetching != null) {
            fetching.flow(writable);
        } else if (direct != null && !reply.isDone()) {
            if (writable) {
                direct.resume();
            } else {
                direct.pause();
            }
        }
    }

    /** The client has left. */
    void gone() {
        clearAlarm();
        letGo();
        if (upload != null) {
            upload.cut();
        }
        if (direct != null) {
            direct.discard();
        }
        leave();
        if (taken != null) {
            taken.clientGone(Clock.now());
        }
    }
}
