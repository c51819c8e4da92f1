package eiderscale.lab;

import eiderscale.Api;
import eiderscale.Api.Reason;
import eiderscale.config.Experiment;
import eiderscale.config.JoinRules;
import eiderscale.connections.HostLinks;
import eiderscale.joining.Flight;
import eiderscale.joining.JoinActions;
import eiderscale.joining.JoinLimits;
import eiderscale.joining.Joining;
import eiderscale.joining.Place;
import eiderscale.ledger.Attempt;
import eiderscale.ledger.Budget;
import eiderscale.ledger.Counts;
import eiderscale.ledger.Due;
import eiderscale.ledger.Exchange;
import eiderscale.ledger.Ledger;
import eiderscale.ledger.LedgerActions;
import eiderscale.ledger.Taken;
import eiderscale.ledger.Terms;
import eiderscale.ledger.Work;
import eiderscale.maintenance.Maintenance;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A balancer in virtual time: the same ledger, module and joining as on sockets, driven by the world's events. What stands
 * here are the connections, as {@code eiderscale.net} has them on sockets; it decides nothing.
 */
final class LabBalancer implements LedgerActions<LabBalancer.Asked, LabBalancer.Asked, LabBalancer.Carrier, LabBalancer.Good>,
        JoinActions<Long, LabBalancer.Asked, LabBalancer.Good> {
    /** Taken off a client's wait, for the ways. */
    private static final long WAYS = 6_000_000L;
    private static final long CONNECT_TIMEOUT = 250_000_000L;
    private static final float[] NO_REPORT = {};

    /** A good answer. */
    record Good(long version, boolean hit) {
    }

    /** What a balancer has out at a host. */
    private static final class Link {
        final LabHost host;
        final Set<Carrier> open = new LinkedHashSet<>();

        Link(LabHost host) {
            this.host = host;
        }
    }

    /** One connection, to a host in one of its lives. */
    private static final class Wire {
        final LabHost host;
        final int life;

        Wire(LabHost host) {
            this.host = host;
            this.life = host.life();
        }

        boolean isUp() {
            return life == host.life() && !host.dead;
        }

        void close() {
            if (life == host.life()) {
                host.disconnect();
            }
        }
    }

    /** What carries one attempt. */
    final class Carrier {
        final Attempt<Asked, Asked, Carrier, Good> attempt;
        final Link link;
        HostLinks.Entry<Wire> wire;
        boolean written;
        LabHost.Visit visit;

        Carrier(Attempt<Asked, Asked, Carrier, Good> attempt, Link link) {
            this.attempt = attempt;
            this.link = link;
        }
    }

    /** A request of a client, or a fetch on behalf of several. */
    final class Asked implements Work {
        /** Null for a fetch. */
        final Call call;
        final Call cause;
        final long deadline;
        /** The version that an answer must have at the least. */
        long wanted;
        boolean over;
        Taken taken;
        Place<Asked> place;
        Flight<Long, Asked, Good> flight;

        /** The settings that it came under. */
        private final LabTerms terms;

        Asked(Call call, Call cause, long deadline, LabTerms terms) {
            this.call = call;
            this.cause = cause;
            this.deadline = deadline;
            this.terms = terms;
        }

        @Override
        public LabTerms terms() {
            return terms;
        }

        @Override
        public String id() {
            return null;
        }

        @Override
        public int requestClass() {
            return cause.requestClass;
        }

        @Override
        public int tenant() {
            return cause.tenant;
        }

        @Override
        public long key() {
            return Luck.mix(cause.key + 1);
        }

        @Override
        public long waitNs() {
            return deadline + WAYS - world.now();
        }

        @Override
        public long work() {
            return 0;
        }

        @Override
        public boolean repeat() {
            return false;
        }

        @Override
        public boolean write() {
            return cause.write;
        }

        @Override
        public int heldBytes() {
            return 0;
        }
    }

    /** The settings, with what only tests loosen. */
    private record LabTerms(Api.Settings settings, long drainGrace) implements Terms {
        @Override
        public int maxOpen() {
            return Integer.MAX_VALUE;
        }

        @Override
        public long stallTime() {
            return Long.MAX_VALUE;
        }
    }

    final int number;
    final int zone;
    private final World world;
    private final Api.Settings settings;
    /** In service. */
    private LabTerms terms;
    private final JoinRules rules;
    private final Maintenance maintenance = new Maintenance();
    private final Ledger<Asked, Asked, Carrier, Good> ledger;
    private final Joining<Long, Asked, Good> joining;
    private final UniformRandomProvider luck;
    private final Map<Long, Link> links = new HashMap<>();
    private final HostLinks<Wire> wires;
    private boolean guards = true;
    private final Map<Flight<Long, Asked, Good>, Asked> fetches = new IdentityHashMap<>();
    private long joiningAt = Joining.NEVER;
    private long stalledUntil;
    /** When it last went on after a standstill. */
    private long wokeAt = Long.MIN_VALUE;
    private boolean dead;
    /** Requests that clients are owed an answer to. */
    private final Set<Call> inside = new LinkedHashSet<>();
    private final Door door;

    LabBalancer(World world, int number, int zone, Experiment.Settings given, World.Module maker) {
        this.world = world;
        this.number = number;
        this.zone = zone;
        this.rules = given.joining();
        this.settings = ranked(given.module(), number, zone, world.experiment.balancers());
        this.luck = world.luck.stream("network of balancer " + number);
        this.terms = new LabTerms(settings, settings.drainGrace());
        this.ledger = new Ledger<>(terms, world.luck.seedOf("module " + number), maker::create,
                this, new Counts(), new Budget(Long.MAX_VALUE), maintenance);
        this.wires = new HostLinks<>(given.plan().links(), Wire::close);
        this.joining = new Joining<>(new JoinLimits(rules.perKey(), rules.all(), rules.beyondAlone(), rules.longest(),
                rules.failedFor(), rules.further(), rules.spread(), rules.least(), rules.perTurn(), rules.bytes(),
                rules.budget().free(), rules.budget().share(), rules.budget().span(), rules.remembered()),
                new SplittableRandom(world.luck.seedOf("joining " + number)), this);
        this.door = world.experiment.load().connections() > 0 ? new Door(world, this, given.plan(), given.clients()) : null;
    }

    private static Api.Settings ranked(Api.Settings s, int rank, int zone, int instances) {
        return with(s, rank, zone, instances, s.maxAttempts());
    }

    private static Api.Settings with(Api.Settings s, int rank, int zone, int instances, int attempts) {
        return new Api.Settings(s.classes(), s.tenants(), zone, rank, instances, s.aside(), s.originKind(), s.subscribe(),
                attempts, s.mayDuplicate(), s.mayCancel(), s.retryAfter(), s.maxRetryAfter(), s.drainGrace(), s.askWithin(),
                s.coldFrom(), s.warmWithin(), s.tipMultiple(), s.fallTime(), s.overShareWorth(), s.keyQuiet(), s.budget(), s.report(),
                s.hedgeQuantile(), s.candidates());
    }

    /** Only what a module must not do is caught by the ledger too; without that an audit sees it. */
    void withoutGuards() {
        guards = false;
        terms = new LabTerms(settings, Long.MAX_VALUE / 4);
        ledger.renew(world.now(), terms, world.luck.seedOf("module " + number));
    }

    /** New settings come, which differ in the attempts that they allow. */
    void renew(int attempts) {
        terms = new LabTerms(with(settings, number, zone, settings.instances(), attempts), settings.drainGrace());
        ledger.renew(world.now(), terms, world.luck.seedOf("module " + number + " at " + world.now()));
    }

    /** Does nothing until then: what comes waits. */
    void stall(long until) {
        stalledUntil = until;
        // Before all that waits for that moment.
        world.events.at(until, () -> {
            if (!dead && stalledUntil == until) {
                wokeAt = until;
                ledger.stoodStill(until);
            }
        });
    }

    /** Its process ends: its connections are reset, and whoever waits at it sees that. */
    void die() {
        dead = true;
        for (Call call : List.copyOf(inside)) {
            world.auditor.left(call);
            call.asked.over = true;
            call.asked = null;
            world.events.in(world.clientWay(), () -> world.clients.came(call, Clients.End.FAILED, 0));
        }
        inside.clear();
        for (Link link : links.values()) {
            wires.closeIdle(link.host.id);
            for (Carrier carrier : List.copyOf(link.open)) {
                if (carrier.written) {
                    abandon(carrier.attempt);
                }
            }
        }
    }

    /** Whether it does nothing at present, or ever; the event comes again when it does. */
    boolean waits(Runnable event) {
        if (dead) {
            return true;
        }
        if (world.now() < stalledUntil) {
            world.events.at(stalledUntil, event);
            return true;
        }
        return false;
    }

    // The list.

    void onList(Api.ListMode mode, List<Api.Server> told, Map<Long, LabHost> hosts) {
        // A process that is gone never hears of it.
        if (waits(() -> onList(mode, told, hosts))) {
            return;
        }
        for (Api.Server server : told) {
            LabHost host = hosts.get(server.id());
            Link link = links.get(server.id());
            if (link == null || link.host != host) {
                links.put(server.id(), new Link(host));
            }
            world.auditor.told(number, host, maintenance.seen(server).state());
        }
        ledger.onList(world.now(), mode, told);
    }

    /** An operator takes a host out here, or puts it back. */
    void operate(LabHost host, boolean out) {
        if (out) {
            maintenance.takeOut(world.now(), host.id);
        } else {
            maintenance.putBack(world.now(), host.id);
        }
        world.auditor.told(number, host, out ? Api.State.DRAINING : host.listed);
        ledger.retell(world.now(), host.id);
    }

    // Clients.

    /** A client wants this of it. */
    void asked(Call call) {
        if (door != null) {
            door.ask(call);
        } else {
            world.events.in(world.clientWay(), () -> knock(call));
        }
    }

    /** Where nobody listens a connection is refused, and nothing has been taken. */
    private void knock(Call call) {
        if (dead) {
            world.measures.turnedAway(world.now());
            world.events.in(world.clientWay(), () -> world.clients.came(call, Clients.End.REFUSED, 0));
        } else {
            take(call);
        }
    }

    /** A client waits no longer. */
    void left(Call call) {
        if (door != null) {
            door.left(call);
        } else {
            gone(call);
        }
    }

    /** Null where connections are not played. */
    Door door() {
        return door;
    }

    /** The last byte of a request is here. */
    void take(Call call) {
        if (waits(() -> take(call))) {
            return;
        }
        world.digest(1, call.id, number);
        world.trace(call, null, "comes to balancer " + number);
        Asked asked = new Asked(call, call, call.deadline - WAYS, terms);
        asked.wanted = world.auditor.accepted(call);
        world.measures.call(world.now());
        call.asked = asked;
        inside.add(call);
        if (!call.write && rules.joins(call.requestClass)) {
            asked.place = joining.ask(world.now(), call.key, "", asked, asked.deadline);
            lookAtJoining();
        } else {
            if (call.write && world.tellsWrites) {
                joining.written(call.key);
            }
            begin(asked);
        }
    }

    private void begin(Asked asked) {
        Taken taken = ledger.take(world.now(), asked, asked);
        asked.taken = taken;
    }

    /** The client has gone away. */
    void gone(Call call) {
        Asked asked = call.asked;
        if (asked == null) {
            return;
        }
        call.asked = null;
        inside.remove(call);
        world.auditor.left(call);
        if (asked.place != null && !asked.over) {
            asked.over = true;
            joining.leave(world.now(), asked.place);
            lookAtJoining();
        } else if (!asked.over) {
            giveUp(asked);
        }
    }

    private void giveUp(Asked asked) {
        asked.over = true;
        if (asked.taken != null) {
            asked.taken.clientGone(world.now());
        }
    }

    /** The one answer, to a client or to joining. */
    private void answer(Asked asked, Clients.End end, long wait, long version) {
        if (asked.over) {
            return;
        }
        asked.over = true;
        if (asked.flight != null) {
            endOfFetch(asked, end, wait, version);
            return;
        }
        Call call = asked.call;
        call.answered = true;
        call.asked = null;
        inside.remove(call);
        world.digest(2, call.id, end.ordinal());
        world.trace(call, null, "is answered: " + end);
        if (call.deadline() <= wokeAt) {
            // Its time ended while the machine stood still: nobody's fault, as on real processes.
            world.auditor.left(call);
        } else {
            world.auditor.answered(call);
        }
        if (end == Clients.End.SERVED && call.write) {
            world.auditor.writeAnswered(call, version);
        } else if (end == Clients.End.SERVED) {
            world.auditor.readAnswered(call, asked.wanted, version);
        }
        if (call.write && world.tellsWrites) {
            joining.written(call.key);
        }
        if (door != null) {
            door.answered(call, end, wait);
        } else {
            world.events.in(world.clientWay(), () -> world.clients.came(call, end, wait));
        }
    }

    // What the ledger asks for.

    @Override
    public void served(Exchange<Asked, Asked, Carrier, Good> exchange, Good answer) {
        answer(exchange.client(), Clients.End.SERVED, 0, answer.version);
    }

    @Override
    public void refused(Exchange<Asked, Asked, Carrier, Good> exchange, long wait) {
        answer(exchange.client(), Clients.End.REFUSED, wait, 0);
    }

    @Override
    public void failed(Exchange<Asked, Asked, Carrier, Good> exchange) {
        answer(exchange.client(), Clients.End.FAILED, 0, 0);
    }

    @Override
    public void arm(Due timer, long at) {
        disarm(timer);
        timer.handle(world.events.at(at, () -> fire(timer)));
    }

    @Override
    public void disarm(Due timer) {
        if (timer.handle() != null) {
            world.events.cancel((Events.Event) timer.handle());
            timer.handle(null);
        }
    }

    private void fire(Due timer) {
        if (dead) {
            return;
        }
        if (world.now() < stalledUntil) {
            timer.handle(world.events.at(stalledUntil, () -> fire(timer)));
            return;
        }
        timer.handle(null);
        timer.due(world.now());
    }

    @Override
    public void send(Attempt<Asked, Asked, Carrier, Good> attempt, long host) {
        Link link = links.get(host);
        Carrier carrier = new Carrier(attempt, link);
        attempt.link(carrier);
        world.measures.attempt(world.now());
        link.open.add(carrier);
        go(carrier);
    }

    /** Ends the wait for an attempt; what was written costs its connection. */
    @Override
    public void abandon(Attempt<Asked, Asked, Carrier, Good> attempt) {
        Carrier carrier = attempt.link();
        if (carrier != null && carrier.written) {
            LabHost host = carrier.link.host;
            wires.ended(carrier.wire);
            world.events.in(way(host), () -> {
                carrier.wire.link().close();
                if (carrier.visit != null) {
                    carrier.visit.drop();
                }
            });
        }
    }

    @Override
    public boolean isWritten(Attempt<Asked, Asked, Carrier, Good> attempt) {
        return attempt.link() != null && attempt.link().written;
    }

    @Override
    public boolean isHeldBack(Attempt<Asked, Asked, Carrier, Good> attempt) {
        return false;
    }

    @Override
    public void over(Attempt<Asked, Asked, Carrier, Good> attempt, Reason reason) {
        Carrier carrier = attempt.link();
        if (carrier != null) {
            carrier.link.open.remove(carrier);
        } else {
            world.measures.attempt(world.now());
        }
        Call cause = attempt.exchange().work().cause;
        world.digest(4, cause.id, reason.ordinal());
        world.trace(cause, carrier == null ? null : carrier.link.host, "attempt " + attempt.number() + " ends: " + reason);
    }

    @Override
    public void closeIdle(long server) {
        wires.closeIdle(server);
    }

    /** What it asked behind a standstill has been told. */
    void rechecked() {
        if (!waits(this::rechecked)) {
            ledger.rechecked(world.now());
        }
    }

    @Override
    public boolean recheck() {
        world.discovery.confirm(this);
        return true;
    }

    @Override
    public void subscribe() {
        if (dead) {
            return;
        }
        world.discovery.ask(this);
    }

    @Override
    public void unexpected(RuntimeException thrown) {
        throw thrown;
    }

    // Connections.

    private void go(Carrier carrier) {
        LabHost host = carrier.link.host;
        long to = carrier.attempt.host();
        boolean unsafe = settings.classes().get(carrier.attempt.exchange().work().requestClass()).effect() == Api.Effect.FRAGILE;
        carrier.wire = wires.take(world.now(), to, unsafe, Wire::isUp);
        if (carrier.wire != null) {
            carrier.attempt.onUsedConnection(true);
            writeUnlessHindered(carrier);
            return;
        }
        if (!wires.mayOpen()) {
            end(carrier, Reason.MOOT, null);
            return;
        }
        carrier.wire = wires.opened(to, new Wire(host));
        long there = way(host);
        if (!world.reaches(zone, host)) {
            world.events.in(CONNECT_TIMEOUT, () -> refused(carrier));
            return;
        }
        world.events.in(2 * there, () -> up(carrier));
    }

    private void up(Carrier carrier) {
        if (waits(() -> up(carrier))) {
            return;
        }
        Wire wire = carrier.wire.link();
        if (wire.life != wire.host.life() || !wire.host.connect()) {
            refused(carrier);
        } else if (carrier.attempt.isOver()) {
            wires.rest(world.now(), carrier.wire);
        } else {
            writeUnlessHindered(carrier);
        }
    }

    private void refused(Carrier carrier) {
        wires.ended(carrier.wire);
        end(carrier, Reason.CONNECT_FAILED, null);
    }

    private void writeUnlessHindered(Carrier carrier) {
        Reason hindrance = guards ? ledger.hindrance(world.now(), carrier.attempt) : null;
        if (hindrance != null) {
            wires.ended(carrier.wire);
            carrier.wire.link().close();
            end(carrier, hindrance, null);
        } else {
            write(carrier);
        }
    }

    private long way(LabHost host) {
        return world.way(luck, zone == host.zone);
    }

    private void write(Carrier carrier) {
        LabHost host = carrier.link.host;
        Asked asked = carrier.attempt.exchange().work();
        Call call = asked.cause;
        carrier.written = true;
        world.digest(3, call.id, host.number);
        world.trace(call, host, "goes out from balancer " + number + ", attempt " + carrier.attempt.number());
        world.auditor.sent(number, asked.flight == null ? call : null, host);
        double resets = world.experiment.network().resets();
        if (resets > 0 && luck.nextDouble() < resets) {
            boolean before = luck.nextBoolean();
            carrier.written = !before;
            world.events.in(way(host), () -> {
                if (!before && !host.dead && !host.silent) {
                    host.take(call, (reason, version, hit) -> { });
                }
                broken(carrier, before ? Reason.CONNECT_FAILED : Reason.RESET);
            });
            return;
        }
        int life = host.life();
        world.events.in(way(host), () -> {
            if (host.life() != life || host.dead) {
                world.events.in(way(host), () -> broken(carrier, Reason.RESET));
            } else if (world.reaches(zone, host)) {
                carrier.visit = host.take(call, (reason, version, hit) -> answerLeaves(carrier, reason, new Good(version, hit)));
            }
        });
    }

    private void answerLeaves(Carrier carrier, Reason reason, Good answer) {
        LabHost host = carrier.link.host;
        if (world.reaches(zone, host)) {
            world.events.in(way(host), () -> answered(carrier, reason, answer));
        }
    }

    private void answered(Carrier carrier, Reason reason, Good answer) {
        if (carrier.attempt.isOver() || waits(() -> answered(carrier, reason, answer))) {
            return;
        }
        if (reason == Reason.REJECTED) {
            wires.rejected(world.now(), carrier.wire);
        }
        boolean unattributed = ledger.attributed(carrier.attempt, reason) == Reason.UNATTRIBUTED;
        if (!unattributed && !ledger.isLeaving(carrier.attempt) && carrier.wire.link().isUp()) {
            wires.rest(world.now(), carrier.wire);
        } else {
            wires.ended(carrier.wire);
            carrier.wire.link().close();
        }
        if (reason == Reason.OK && !carrier.attempt.exchange().work().cause.write) {
            world.measures.read(world.now(), answer.hit);
        }
        end(carrier, reason, answer);
    }

    /** Its connection has broken. */
    private void broken(Carrier carrier, Reason reason) {
        wires.ended(carrier.wire);
        end(carrier, reason, null);
    }

    /** Tells the one outcome of an attempt, if it has none yet. */
    private void end(Carrier carrier, Reason reason, Good answer) {
        if (!carrier.attempt.isOver() && !waits(() -> end(carrier, reason, answer))) {
            ledger.ended(world.now(), carrier.attempt, reason, answer, NO_REPORT, Api.Lookup.UNTOLD);
        }
    }

    /** All connections to a host that has died are reset. */
    void died(LabHost host) {
        links.forEach((id, link) -> {
            if (link.host == host) {
                wires.closeIdle(id);
                for (Carrier carrier : List.copyOf(link.open)) {
                    if (carrier.written) {
                        world.events.in(way(host), () -> broken(carrier, Reason.RESET));
                    }
                }
            }
        });
    }

    // Joining.

    private void lookAtJoining() {
        long next = joining.turn(world.now());
        if (next != Joining.NEVER && (next < joiningAt || joiningAt <= world.now())) {
            joiningAt = Math.max(next, world.now() + 1);
            long mine = joiningAt;
            world.events.at(mine, () -> {
                if (joiningAt == mine && !waits(this::lookAtJoining)) {
                    joiningAt = Joining.NEVER;
                    lookAtJoining();
                }
            });
        }
    }

    @Override
    public void fetch(Flight<Long, Asked, Good> flight, Asked cause, long deadline) {
        long most = world.now() + settings.classes().get(cause.cause.requestClass).deadline() - WAYS;
        Asked fetch = new Asked(null, cause.cause, Math.min(deadline, most), cause.terms());
        fetch.flight = flight;
        fetches.put(flight, fetch);
        begin(fetch);
    }

    private void endOfFetch(Asked fetch, Clients.End end, long wait, long version) {
        fetches.remove(fetch.flight);
        if (end == Clients.End.SERVED) {
            joining.answered(world.now(), fetch.flight, new Good(version, true), 100);
        } else if (fetch.taken == null || !fetch.taken.isTried()) {
            joining.refused(world.now(), fetch.flight, wait);
        } else {
            joining.ended(world.now(), fetch.flight, null, wait);
        }
        lookAtJoining();
    }

    @Override
    public void cancel(Flight<Long, Asked, Good> flight) {
        Asked fetch = fetches.remove(flight);
        if (fetch != null && !fetch.over) {
            giveUp(fetch);
        }
    }

    @Override
    public void joined(Asked waiter) {
        ledger.joined(world.now(), waiter.terms(), waiter.call.tenant);
    }

    @Override
    public void serve(Asked waiter, Good answer) {
        answer(waiter, Clients.End.SERVED, 0, answer.version);
    }

    @Override
    public void unserved(Asked waiter, Good last, long wait) {
        long told = settings.retryAfter() ? Math.min(wait, settings.maxRetryAfter()) : 0;
        answer(waiter, Clients.End.REFUSED, told, 0);
    }

    @Override
    public void alone(Asked waiter) {
        waiter.place = null;
        begin(waiter);
    }
}
