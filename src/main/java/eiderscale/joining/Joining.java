package eiderscale.joining;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Who waits for whose fetch. Reads of one key that come while a fetch for it is out wait for that one, each until its own
 * deadline; what a fetch brings is given to all of them, and its failure fails nobody who has time left: one further fetch
 * goes out for all of these. What is read must be safe to read again; that is the caller's to see to.
 *
 * <p>A read never gets what was fetched before a write that had been accepted, or ended, when it came: {@link #written} is
 * told both, and what is out by then takes no newcomers.
 *
 * <p>Driven by events with the time in them, which never falls, in nanoseconds. After each event, and whenever its moment
 * has come, {@link #turn} is called: it gives due words and names the next moment. For one thread.
 *
 * @param <K> what is fetched
 * @param <W> who waits
 * @param <A> what a fetch brings
 */
public final class Joining<K, W, A> {
    /** Nothing is due. */
    public static final long NEVER = Long.MAX_VALUE;
    /** What those are told to wait whose time was too short. */
    static final long AS_LONG_AS_MAY_BE = Long.MAX_VALUE / 2;
    private static final Runnable NOTHING = () -> { };

    /** What has been counted since the start. {@code refused}: for want of room, or as the key had just failed. */
    public record Counts(long fetches, long joined, long further, long alone, long refused, long late) {
    }

    private final JoinActions<K, W, A> actions;
    private final SplittableRandom random;
    private JoinLimits limits;
    private SpanBudget budget;
    private final Patience patience = new Patience();
    /** Those that may be joined. */
    private final Map<K, Flight<K, W, A>> flights = new HashMap<>();
    private final TreeSet<Place<W>> deadlines = new TreeSet<>();
    /** Those that wait for the moment of a further fetch. */
    private final TreeSet<Flight<K, W, A>> elected = new TreeSet<>();
    private final FanOut<W> words;
    private final KeyMemory<K> failed;
    private final KeyMemory<K> apart;
    private long numbers;
    private boolean turning;
    private long fetches;
    private long joined;
    private long further;
    private long lone;
    private long refused;
    private long late;

    /** {@code random}: what spreads further fetches in time. */
    public Joining(JoinLimits limits, SplittableRandom random, JoinActions<K, W, A> actions) {
        this.actions = actions;
        this.random = random;
        this.words = new FanOut<>(limits.bytes());
        this.failed = new KeyMemory<>(limits.remembered());
        this.apart = new KeyMemory<>(limits.remembered());
        renew(limits);
    }

    /** Goes by other limits from here on; who waits already goes on waiting. What is remembered keeps its room. */
    public void renew(JoinLimits fresh) {
        if (limits == null || fresh.free() != limits.free() || fresh.share() != limits.share() || fresh.span() != limits.span()) {
            budget = new SpanBudget(fresh.free(), fresh.share(), fresh.span());
        }
        limits = fresh;
    }

    /**
     * A read came. Null if its word was given during the call: refused, or sent alone. Otherwise the place by which it
     * may {@link #leave}; its word may have been given already. {@code variant}: what else must be equal for one answer to
     * serve two; one that wants another variant than the fetch under way goes alone.
     */
    public Place<W> ask(long now, K key, Object variant, W waiter, long deadline) {
        if (deadline <= now) {
            late++;
            actions.unserved(waiter, null, AS_LONG_AS_MAY_BE);
            return null;
        }
        long wait = failed.left(key, now);
        if (wait > 0) {
            refused++;
            actions.unserved(waiter, null, wait);
            return null;
        }
        if (apart.left(key, now) > 0) {
            goAlone(waiter);
            return null;
        }
        Flight<K, W, A> flight = flights.get(key);
        if (deadlines.size() >= limits.all() || flight != null && flight.waiting.size() >= limits.perKey()) {
            return beyond(waiter);
        }
        if (flight != null && (!flight.variant.equals(variant) || mayGoAlone(now, flight))) {
            goAlone(waiter);
            return null;
        }
        Place<W> place = new Place<>(waiter, deadline, ++numbers);
        deadlines.add(place);
        if (flight != null) {
            flight.add(place);
            joined++;
            actions.joined(waiter);
            return place;
        }
        flight = new Flight<>(key, variant, ++numbers);
        flights.put(key, flight);
        flight.add(place);
        begin(now, flight);
        return place;
    }

    private Place<W> beyond(W waiter) {
        if (limits.beyondAlone()) {
            goAlone(waiter);
        } else {
            refused++;
            actions.unserved(waiter, null, limits.longest() / 4);
        }
        return null;
    }

    private void goAlone(W waiter) {
        lone++;
        actions.alone(waiter);
    }

    /** A fetch that is older than one's own would get; one at a time, lest a slow key's readers all go to its hosts. */
    private boolean mayGoAlone(long now, Flight<K, W, A> flight) {
        long expected = patience.expected();
        if (!flight.out || now - flight.begunAt <= expected || now < flight.loneUntil || !budget.spend(now)) {
            return false;
        }
        flight.loneUntil = now + expected;
        return true;
    }

    /** Something is to be fetched that nobody waits for yet; null if it is being fetched already. */
    public Flight<K, W, A> behind(long now, K key, Object variant) {
        if (flights.containsKey(key) || failed.left(key, now) > 0) {
            return null;
        }
        Flight<K, W, A> flight = new Flight<>(key, variant, ++numbers);
        flight.wanted = true;
        flights.put(key, flight);
        begin(now, flight);
        return flight;
    }

    private void begin(long now, Flight<K, W, A> flight) {
        Place<W> cause = null;
        for (Place<W> place : flight.waiting) {
            if (!place.caused && (cause == null || place.causesBefore(cause))) {
                cause = place;
            }
        }
        if (cause != null) {
            cause.caused = true;
        }
        flight.out = true;
        flight.begunAt = now;
        fetches++;
        budget.begun(now);
        // Not the present waiters' last deadline: others may come that wait longer. With the last one that leaves it ends.
        actions.fetch(flight, cause == null ? null : cause.waiter, now + limits.longest());
    }

    /** A client has left, or its answer has come in another way. */
    public void leave(long now, Place<W> place) {
        if (place.over) {
            return;
        }
        place.over = true;
        deadlines.remove(place);
        if (place.flight == null) {
            words.gone();
            return;
        }
        Flight<K, W, A> flight = flightOf(place);
        flight.remove(place);
        endIfUnwanted(flight);
    }

    @SuppressWarnings("unchecked")
    private Flight<K, W, A> flightOf(Place<W> place) {
        return (Flight<K, W, A>) place.flight;
    }

    /** A read causes one fetch at most; where none of those that are left may, they are told as after a failure. */
    private void beginElected(long now, Flight<K, W, A> flight) {
        for (Place<W> place : flight.waiting) {
            if (!place.caused) {
                begin(now, flight);
                return;
            }
        }
        end(flight);
        tell(flight, waiter -> actions.unserved(waiter, null, 0), 0, NOTHING);
    }

    private void endIfUnwanted(Flight<K, W, A> flight) {
        if (flight.over || flight.wanted || !flight.waiting.isEmpty()) {
            return;
        }
        boolean wasOut = flight.out;
        end(flight);
        if (wasOut) {
            actions.cancel(flight);
        }
    }

    private void end(Flight<K, W, A> flight) {
        flight.over = true;
        flight.out = false;
        elected.remove(flight);
        flights.remove(flight.key, flight);
    }

    /**
     * One of those that wait takes the answer as it comes: it waits no more, and the fetch goes on for it. False if it
     * does not wait any more.
     */
    public boolean begun(Flight<K, W, A> flight, Place<W> place) {
        if (place.over || place.flight != flight) {
            return false;
        }
        place.over = true;
        deadlines.remove(place);
        flight.remove(place);
        flight.wanted = true;
        return true;
    }

    /** The one that took the answer as it came, or wanted it without waiting, has left. */
    public void unwanted(Flight<K, W, A> flight) {
        flight.wanted = false;
        endIfUnwanted(flight);
    }

    /** Nobody may join any more: what is coming cannot be shared with those that come now. */
    public void close(Flight<K, W, A> flight) {
        flights.remove(flight.key, flight);
    }

    /** A fetch has brought what all may have; {@code size}: what it holds in memory. */
    public void answered(long now, Flight<K, W, A> flight, A answer, long size) {
        if (flight.over) {
            return;
        }
        patience.answered(now - flight.begunAt);
        failed.forget(flight.key);
        end(flight);
        tell(flight, waiter -> actions.serve(waiter, answer), size, () -> actions.told(answer));
    }

    /** A fetch has brought what is for one alone: the others each fetch for themselves, as do newcomers until then. */
    public void apart(long now, Flight<K, W, A> flight, long until) {
        apart.put(flight.key, until);
        if (!flight.over) {
            end(flight);
            tell(flight, this::goAlone, 0, NOTHING);
        }
    }

    private void tell(Flight<K, W, A> flight, Consumer<W> word, long size, Runnable end) {
        words.add(flight.waiting, word, size, end);
        flight.waiting.clear();
    }

    /** A fetch could not be begun for want of room anywhere: all are told at once, with the same wait. */
    public void refused(long now, Flight<K, W, A> flight, long wait) {
        if (!flight.over) {
            end(flight);
            tell(flight, waiter -> actions.unserved(waiter, null, wait), 0, NOTHING);
        }
    }

    /**
     * A fetch was made and has brought nothing. Those with time left wait for a further one, which goes out once for all
     * of them, within the budget and a little later; the others are told now, as all are where no further one may go. Each
     * read causes one fetch at most, lest it gets more attempts than one that nobody joined.
     * {@code last}: what it was answered, if anything; {@code wait}: what it was told to wait.
     */
    public void ended(long now, Flight<K, W, A> flight, A last, long wait) {
        if (flight.over) {
            return;
        }
        flight.out = false;
        long at = now + (long) (random.nextDouble() * (limits.spread() << Math.min(20, flight.elections)));
        List<Place<W>> without = new ArrayList<>();
        boolean causes = false;
        for (Place<W> place : flight.waiting) {
            boolean late = place.deadline < at + limits.least();
            causes |= !late && !place.caused;
            if (late) {
                without.add(place);
            }
        }
        boolean again = causes && flight.elections < limits.elections() && budget.spend(now);
        if (!again) {
            end(flight);
            if (limits.failedFor() > 0) {
                failed.put(flight.key, now + limits.failedFor());
            }
            tell(flight, waiter -> actions.unserved(waiter, last, wait), 0, NOTHING);
            return;
        }
        flight.elections++;
        further++;
        flight.electedAt = at;
        elected.add(flight);
        for (Place<W> place : without) {
            flight.remove(place);
        }
        words.add(without, waiter -> actions.unserved(waiter, last, wait), 0, NOTHING);
    }

    /** A write to a key was accepted, or has ended: what was fetched before that is not for those that come after it. */
    public void written(K key) {
        failed.forget(key);
        Flight<K, W, A> flight = flights.remove(key);
        if (flight != null) {
            flight.overwritten = true;
        }
    }

    /** Gives what is due, as far as one turn goes, and returns the next moment to be called at; {@code now} for at once. */
    public long turn(long now) {
        if (turning) {
            return NEVER;
        }
        turning = true;
        try {
            expire(now);
            while (!elected.isEmpty() && elected.first().electedAt <= now) {
                beginElected(now, elected.pollFirst());
            }
            words.run(limits.perTurn(), deadlines::remove);
        } finally {
            turning = false;
        }
        if (!words.isEmpty()) {
            return now;
        }
        long next = deadlines.isEmpty() ? NEVER : deadlines.first().deadline;
        return elected.isEmpty() ? next : Math.min(next, elected.first().electedAt);
    }

    private void expire(long now) {
        while (!deadlines.isEmpty() && deadlines.first().deadline <= now) {
            Place<W> place = deadlines.first();
            leave(now, place);
            late++;
            actions.unserved(place.waiter, null, AS_LONG_AS_MAY_BE);
        }
    }

    /** Those that wait, or whose word has still to be given. */
    public int waiting() {
        return deadlines.size();
    }

    /** Fetches that may be joined. */
    public int open() {
        return flights.size();
    }

    /** What has been counted since the start. */
    public Counts counts() {
        return new Counts(fetches, joined, further, lone, refused, late);
    }
}
