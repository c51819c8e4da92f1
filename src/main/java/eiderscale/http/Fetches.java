package eiderscale.http;

import eiderscale.config.JoinRules;
import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.HttpCache;
import eiderscale.joining.Flight;
import eiderscale.joining.JoinActions;
import eiderscale.joining.Joining;
import eiderscale.joining.Place;
import eiderscale.net.Clock;
import eiderscale.net.Joins;
import io.netty.channel.EventLoop;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The fetches that are under way for what may be stored, one for each target: others that want the same wait for it, each
 * as long as its own client does. Who waits, for how long, and what becomes of them is decided by {@link Joining}; what is
 * fetched is shared through the store. For one event loop.
 */
final class Fetches implements JoinActions<CacheKey, Turn, HttpAnswer> {
    /** For how long a target that gave nothing to share is fetched by each on its own. */
    private static final long APART = 10 * Clock.SECOND;
    /** All readers of a target want the same variant as far as is known before its answer; the store tells them apart. */
    private static final String ANY = "";

    private final HttpFront front;
    private final Joins<CacheKey, Turn, HttpAnswer> joins;
    private final Map<Flight<CacheKey, Turn, HttpAnswer>, Fetching> open = new IdentityHashMap<>();
    private final UnderWay underWay = new UnderWay();
    /** What is fetched though nobody waits for it, while that is being begun. */
    private HttpCache.Fetch unasked;
    private Origin unaskedOrigin;

    /** {@code limits}: those in service. */
    Fetches(HttpFront front, Supplier<JoinRules> limits, EventLoop loop) {
        this.front = front;
        this.joins = new Joins<>(limits, loop, this, () -> { });
    }

    /** Gets what a request wants: by a fetch that is under way, or by one of its own. */
    void fetch(HttpCache.Fetch fetch, Turn turn, boolean mayJoin) {
        turn.wants(fetch);
        JoinRules rules = turn.origin().snapshot().site().joining;
        if (!mayJoin || !fetch.method().equals("GET") || !rules.joins(turn.origin().route().requestClass())) {
            new Fetching(front, this, turn, turn.origin(), null).start(fetch, turn.deadline());
            return;
        }
        Place<Turn> place = joins.joining().ask(Clock.now(), fetch.key(), ANY, turn, turn.origin().answerBy());
        if (place != null) {
            turn.stands(place);
            joins.look();
        }
    }

    /** Asks whether something still holds that was served, or gets it anew; not if that is being done already. */
    void behind(HttpCache.Fetch fetch, Turn turn) {
        unasked = fetch;
        unaskedOrigin = turn.origin();
        if (joins.joining().behind(Clock.now(), fetch.key(), ANY) != null) {
            joins.look();
        }
        unasked = null;
        unaskedOrigin = null;
    }

    /** One that waits does so no more. */
    void leave(Place<Turn> place) {
        joins.joining().leave(Clock.now(), place);
        joins.look();
    }

    /** A target is being written to, or has been: what is under way for it is not for those that come from now on. */
    void written(CacheKey target) {
        underWay.written(target);
        joins.joining().written(target);
    }

    /** All that is fetched at present. */
    UnderWay underWay() {
        return underWay;
    }

    String gauges() {
        return joins.gauges();
    }

    // What joining has done.

    @Override
    public void fetch(Flight<CacheKey, Turn, HttpAnswer> flight, Turn cause, long deadline) {
        Origin origin = cause == null ? unaskedOrigin : cause.origin();
        Fetching fetching = new Fetching(front, this, null, origin, flight).onBehalfOf(cause);
        open.put(flight, fetching);
        fetching.start(cause == null ? unasked : cause.wanted(), Math.min(deadline, origin.longest()));
    }

    @Override
    public void cancel(Flight<CacheKey, Turn, HttpAnswer> flight) {
        Fetching fetching = open.remove(flight);
        if (fetching != null) {
            fetching.giveUp();
        }
    }

    @Override
    public void joined(Turn waiter) {
        waiter.joins();
        waiter.origin().core().joined(waiter.origin().snapshot(), waiter.origin().tenant());
    }

    @Override
    public void serve(Turn waiter, HttpAnswer answer) {
        waiter.lookAgain(true);
    }

    @Override
    public void unserved(Turn waiter, HttpAnswer last, long wait) {
        waiter.unserved(last, waiter.origin().snapshot().retryAfterMs(wait));
    }

    @Override
    public void alone(Turn waiter) {
        waiter.lookAgain(false);
    }

    // What fetches tell; each but the first ends one.

    /** The one that a fetch went out for takes its answer as it comes, if it still waits; null if it does not. */
    Turn begun(Flight<CacheKey, Turn, HttpAnswer> flight, Turn cause) {
        return cause != null && cause.place() != null && joins.joining().begun(flight, cause.place()) ? cause : null;
    }

    void unwanted(Flight<CacheKey, Turn, HttpAnswer> flight) {
        joins.joining().unwanted(flight);
    }

    /** It is stored: those that wait look there; where it serves nobody, as it is stale at once, each fetches for itself. */
    void stored(Flight<CacheKey, Turn, HttpAnswer> flight, boolean serves) {
        open.remove(flight);
        if (serves || flight.isOverwritten()) {
            joins.joining().answered(Clock.now(), flight, null, 0);
        } else {
            joins.joining().apart(Clock.now(), flight, Clock.now() + APART);
        }
        joins.look();
    }

    /** It is for nobody else, and likely will not be the next time either. */
    void notShared(Flight<CacheKey, Turn, HttpAnswer> flight) {
        open.remove(flight);
        joins.joining().apart(Clock.now(), flight, Clock.now() + APART);
        joins.look();
    }

    /** It brought nothing that means anything to the others: each fetches for itself. */
    void senseless(Flight<CacheKey, Turn, HttpAnswer> flight) {
        open.remove(flight);
        joins.joining().apart(Clock.now(), flight, Clock.now());
        joins.look();
    }

    void refused(Flight<CacheKey, Turn, HttpAnswer> flight, long waitMs) {
        open.remove(flight);
        joins.joining().refused(Clock.now(), flight, waitMs * Clock.MILLISECOND);
        joins.look();
    }

    void ended(Flight<CacheKey, Turn, HttpAnswer> flight, HttpAnswer last, long waitMs) {
        open.remove(flight);
        joins.joining().ended(Clock.now(), flight, last, waitMs * Clock.MILLISECOND);
        joins.look();
    }
}
