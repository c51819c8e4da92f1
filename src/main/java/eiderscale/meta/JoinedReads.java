package eiderscale.meta;

import eiderscale.config.JoinRules;
import eiderscale.joining.Flight;
import eiderscale.joining.JoinActions;
import eiderscale.joining.Place;
import eiderscale.net.Answer;
import eiderscale.net.Client;
import eiderscale.net.Clock;
import eiderscale.net.Core;
import eiderscale.net.Joins;
import eiderscale.ledger.Taken;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Reads of the meta protocol that wait for one another's fetches: one command goes to a host under an id of this
 * balancer's own, and each client gets the answer under the id that it gave. Who waits for what is decided by
 * {@link eiderscale.joining.Joining}. For one event loop.
 */
final class JoinedReads implements JoinActions<String, JoinedReads.Waiter, JoinedReads.Shared> {
    /** How long after an answer that cannot be shared its key is read by each alone. */
    private static final long APART = 10 * Clock.SECOND;

    /** One that waits. */
    interface Waiter {
        MetaCommand command();

        /** What was made for another request. {@code data}: the value, held once for all; null for none. */
        void shared(MetaFrame answer, byte[] data);

        void refused(long retryAfterMs, Answer last);

        /** All answers of a turn have been shared: those of one connection leave together. */
        void given();

        /** Has to go by itself. */
        void alone();
    }

    /** An answer for many. */
    record Shared(MetaFrame frame) {
        long bytes() {
            return frame.length();
        }
    }

    private final Core core;
    private final Joins<String, Waiter, Shared> joins;
    private final Map<Flight<String, Waiter, Shared>, Fetch> open = new IdentityHashMap<>();
    /** Those that had an answer in this turn. */
    private final List<Waiter> served = new ArrayList<>();

    /** {@code limits}: those in service. */
    JoinedReads(Core core, Supplier<JoinRules> limits, EventLoop loop) {
        this.core = core;
        this.joins = new Joins<>(limits, loop, this, this::given);
    }

    /** Whether a command waits for others' fetches, by its own settings. */
    static boolean joins(MetaCommand command) {
        return !command.write && command.snapshot().site().joining.joins(command.requestClass());
    }

    /** Takes a read in. Null if its word has been given; otherwise by this it leaves. */
    Place<Waiter> ask(MetaCommand command, Waiter waiter) {
        // By the name of its class, as its number is another's under other settings.
        String variant = command.extra + ' ' + command.snapshot().site().className(command.requestClass());
        return joins.joining().ask(Clock.now(), command.key, variant, waiter, core.deadline(command.waitMs()));
    }

    /** Gives what is due; behind {@link #ask}, once the waiter knows its place. */
    void look() {
        joins.look();
    }

    void leave(Place<Waiter> place) {
        joins.joining().leave(Clock.now(), place);
        joins.look();
    }

    /** A write was taken, or has ended. */
    void written(MetaCommand command) {
        joins.joining().written(command.key);
    }

    String gauges() {
        return joins.gauges();
    }

    @Override
    public void fetch(Flight<String, Waiter, Shared> flight, Waiter cause, long deadline) {
        MetaCommand command = cause.command();
        // Not longer than the class lets any of its clients wait.
        long wait = Math.min(deadline - Clock.now(), command.classSettings().deadline()) / Clock.MILLISECOND;
        Fetch fetch = new Fetch(flight);
        open.put(flight, fetch);
        Taken taken = core.take(command.forAll(core.ownId(), wait), fetch);
        fetch.taken = taken;
    }

    @Override
    public void cancel(Flight<String, Waiter, Shared> flight) {
        Fetch fetch = open.remove(flight);
        if (fetch != null && fetch.taken != null) {
            fetch.taken.clientGone(Clock.now());
        }
    }

    @Override
    public void joined(Waiter waiter) {
        core.joined(waiter.command().snapshot(), waiter.command().tenant());
    }

    @Override
    public void serve(Waiter waiter, Shared answer) {
        waiter.shared(answer.frame(), answer.frame().data());
        served.add(waiter);
    }

    private void given() {
        served.forEach(Waiter::given);
        served.clear();
    }

    @Override
    public void told(Shared answer) {
        // Nothing to let go of: what is held of it goes with the last who waits.
    }

    @Override
    public void unserved(Waiter waiter, Shared last, long wait) {
        waiter.refused(waiter.command().snapshot().retryAfterMs(wait), null);
    }

    @Override
    public void alone(Waiter waiter) {
        waiter.alone();
    }

    /** One command to the hosts. */
    private final class Fetch implements Client {
        private final Flight<String, Waiter, Shared> flight;
        /** Null while it is being taken. */
        private Taken taken;

        Fetch(Flight<String, Waiter, Shared> flight) {
            this.flight = flight;
        }

        @Override
        public void served(Answer answer) {
            open.remove(flight, this);
            if (answer instanceof MetaValue value) {
                // Too long to be held for all.
                value.discard();
                if (taken != null) {
                    taken.clientGone(Clock.now());
                }
                joins.joining().apart(Clock.now(), flight, Clock.now() + APART);
                joins.look();
                return;
            }
            MetaFrame frame = (MetaFrame) answer;
            if (frame.unheld()) {
                joins.joining().refused(Clock.now(), flight, 0);
                joins.look();
                return;
            }
            Shared shared = new Shared(frame);
            joins.joining().answered(Clock.now(), flight, shared, shared.bytes());
            joins.look();
        }

        /** What never went out was refused for want of room: asking again for the others would only add to that. */
        @Override
        public void refused(long retryAfterMs, Answer last) {
            open.remove(flight, this);
            long wait = retryAfterMs * Clock.MILLISECOND;
            if (taken == null || !taken.isTried()) {
                joins.joining().refused(Clock.now(), flight, wait);
            } else {
                joins.joining().ended(Clock.now(), flight, null, wait);
            }
            joins.look();
        }

        @Override
        public void failed(Answer last) {
            open.remove(flight, this);
            joins.joining().ended(Clock.now(), flight, null, 0);
            joins.look();
        }
    }
}
