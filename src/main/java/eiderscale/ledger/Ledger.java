package eiderscale.ledger;

import eiderscale.Api;
import eiderscale.Api.Reason;
import eiderscale.Api.Server;
import eiderscale.Api.State;
import eiderscale.Learnt;
import eiderscale.maintenance.Maintenance;
import eiderscale.recovery.Recovery;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Stands between a driver (sockets, virtual time, a checker) and the decision module: open requests and their attempts, the
 * timers, the hosts as lists and operators have them. It chooses no host, repeats and refuses nothing of its own: that is the
 * module's word. What it holds to, whatever module and driver do: one final answer for each request, none after its time,
 * nothing sent behind it; nothing to a host whose drain has run out; a request that was taken ends under its own settings.
 *
 * <p>Time comes with each event and never falls. Events reach the module one at a time: an outcome that an action causes at
 * once is queued and handed over when the module has returned, as the module is not reentrant.
 *
 * <p>Not final so that tests of the checker can put wrong versions of a step in its place; nothing else extends it.
 */
public class Ledger<W extends Work, C, L, A> {
    private static final long MS = 1_000_000L;
    /**
     * A client counts its wait from when it sent, not from when the request was read here, and the answer
     * has its way to go as well: this much is taken off, so that a final answer is there before it is overdue.
     */
    private static final long WAYS = 6 * MS;
    /** Past its deadline by this, a request that the module has left open is answered here. */
    private static final long LAST_CALL = MS;
    /** How long a body that is not held may take to come. */
    private static final long UPLOAD = 20_000 * MS;
    /** Taken off the drain grace: a process may be held up for 150 ms behind its look at the clock, and bytes have their way. */
    private static final long GRACE_MARGIN = 200 * MS;
    private static final long NEVER = Long.MAX_VALUE;

    /** Makes the decision module, given where its actions go. */
    public interface Module {
        /** As the constructor of the module. */
        Api.Events create(Api.Settings settings, long seed, Api.Actions actions);
    }

    private record Event<W extends Work, C, L, A>(Exchange<W, C, L, A> exchange, Runnable action) {
    }

    /** A host that lists have named. */
    static final class Host {
        Server listed;
        boolean named;
        /** No send may start from then on. */
        long sendUntil = NEVER;
        /** Attempts that are out. */
        int pending;
    }

    final LedgerActions<W, C, L, A> actions;
    private final Module maker;
    final Counts counts;
    private final Budget budget;
    /** What operators say of hosts goes before what lists say. */
    private final Maintenance maintenance;
    /** Takes new requests. */
    private Generation<W, C, L, A> current;
    /** All that still have requests, and the current one. */
    private final List<Generation<W, C, L, A>> generations = new ArrayList<>();
    private final Map<Long, Host> hosts = new LinkedHashMap<>();
    private final Map<Long, Exchange<W, C, L, A>> exchanges = new HashMap<>();
    /** The ids of requests that are owed an answer, as far as they have any. */
    private final Set<String> openIds = new HashSet<>();
    private final SpentIds spentIds = new SpentIds();
    private int open;
    private final Queue<Event<W, C, L, A>> events = new ArrayDeque<>();
    /** For modules that are begun anew under settings that were in service before. */
    private final SplittableRandom seeds;
    private boolean inModule;
    long time;
    private long lastId;
    /** By then this process may be gone. */
    private long endAt = NEVER;
    private final Recovery recovery = new Recovery();
    /** Requests that have not begun, in the order in which they came, and attempts that have not gone out. */
    private final Queue<Exchange<W, C, L, A>> waiting = new ArrayDeque<>();
    private final Queue<Attempt<W, C, L, A>> unsent = new ArrayDeque<>();
    /** The end of what this waits for, whether or not it comes. */
    private final Due waitOver = new Due() {
        @Override
        public void due(long now) {
            enter(now);
            if (recovery.state() == Recovery.State.BLIND) {
                seeing();
            } else {
                recovery.settled();
                beginWaiting();
            }
        }
    };

    /** Begins with a module of its own; a list of hosts is to follow. */
    public Ledger(Terms terms, long seed, Module module, LedgerActions<W, C, L, A> actions, Counts counts, Budget budget,
                  Maintenance maintenance) {
        this.actions = actions;
        this.maker = module;
        this.counts = counts;
        this.budget = budget;
        this.maintenance = maintenance;
        this.seeds = new SplittableRandom(seed);
        current = new Generation<>(this, terms, maker, seed);
        generations.add(current);
    }

    private long enter(long now) {
        time = Math.max(time, now);
        return time;
    }

    // Requests, as their clients' side tells of them.

    /** Whether a request with this id is owed an answer. */
    public boolean isOpen(String id) {
        return openIds.contains(id);
    }

    /** Whether an unsafe request with this id may have run, whose client left without an answer: it must not run again. */
    public boolean isSpent(long now, String id) {
        return spentIds.contains(enter(now), id);
    }

    /** The ids of unsafe requests that are open, or may have run and were never answered. */
    public List<String> unsafeIds(long now) {
        List<String> ids = new ArrayList<>(spentIds.all(enter(now)));
        for (Exchange<W, C, L, A> exchange : exchanges.values()) {
            if (!exchange.over && exchange.work().id() != null && requestClass(exchange).effect() == Api.Effect.FRAGILE) {
                ids.add(exchange.work().id());
            }
        }
        return ids;
    }

    /** The number of requests that are owed an answer. */
    public int open() {
        return open;
    }

    /** Requests that are owed an answer, or of which attempts are out. */
    public int size() {
        return exchanges.size();
    }

    /** Requests that wait behind a standstill. */
    public int waiting() {
        return waiting.size();
    }

    /** How many settings have requests, counting those in service. */
    public int generations() {
        return generations.size();
    }

    /** The latest moment for the answer to a request that comes now and waits for so many nanoseconds. */
    public long deadline(long now, long wait) {
        return Math.min(endAt, now + wait) - WAYS;
    }

    /**
     * Takes a request, which is answered exactly once unless its client leaves first; perhaps before this returns. Hosts
     * know requests by their ids alone: a second one under an open id could get what was made for the first, and is an
     * {@link IllegalStateException}.
     */
    public Exchange<W, C, L, A> take(long now, W work, C client) {
        if (work.id() != null && isOpen(work.id())) {
            throw new IllegalStateException("id is in use: " + work.id());
        }
        long at = enter(now);
        long deadline = deadline(at, work.waitNs());
        long bodyDeadline = Math.min(endAt, deadline + (work.isBulk() ? UPLOAD : 0));
        Generation<W, C, L, A> generation = generationOf(work.terms());
        Exchange<W, C, L, A> exchange = new Exchange<>(++lastId, work, client, generation, deadline, bodyDeadline);
        counts.taken++;
        // Running out of room is told to the client: a refusal of what never went out does no harm.
        if (open() >= current.terms.maxOpen() || !budget.take(work.heldBytes())) {
            counts.localRefusals++;
            answerRefused(exchange, 0);
            dropIdle();
            return exchange;
        }
        exchanges.put(exchange.id, exchange);
        generation.exchanges++;
        open++;
        if (work.id() != null) {
            openIds.add(work.id());
        }
        actions.arm(exchange, deadline + LAST_CALL);
        if (generation.terms.isDurable(work.requestClass())) {
            exchange.recorded = true;
            exchange.unsure = true;
            actions.record(exchange);
        } else {
            beginInTurn(exchange);
        }
        return exchange;
    }

    /** A request is on record: it may begin. */
    public void recorded(long now, Exchange<W, C, L, A> exchange) {
        enter(now);
        exchange.unsure = false;
        if (exchange.over) {
            actions.unrecord(exchange, true);
        } else {
            beginInTurn(exchange);
        }
    }

    /** It cannot be put on record: it is refused, as nothing of it went out. */
    public void unrecorded(long now, Exchange<W, C, L, A> exchange) {
        enter(now);
        exchange.recorded = false;
        if (!exchange.over) {
            counts.localRefusals++;
            answerRefused(exchange, 0);
            forget(exchange);
        }
    }

    private void beginInTurn(Exchange<W, C, L, A> exchange) {
        if (waiting.isEmpty() && recovery.mayBegin()) {
            begin(exchange);
        } else {
            counts.held++;
            waiting.add(exchange);
        }
    }

    private void begin(Exchange<W, C, L, A> exchange) {
        exchange.begun = true;
        recovery.began();
        W work = exchange.work();
        Api.Request asked = new Api.Request(exchange.id, work.requestClass(), work.tenant(), work.key(),
                exchange.bodyDeadline, work.work(), work.repeat(), work.write(), work.isBulk());
        post(exchange, () -> exchange.generation.module.onRequest(time, asked));
    }

    // Behind a standstill.

    /**
     * The driver's process stood still: lists are as old as that, and what comes now has waited. Requests and attempts wait
     * until the list is told, and begin by and by: see {@link Recovery}.
     */
    public void stoodStill(long now) {
        enter(now);
        counts.standstills++;
        boolean asks = actions.recheck();
        recovery.stoodStill(asks);
        actions.arm(waitOver, time + (asks ? Recovery.MOST_BLIND : Recovery.MOST_SETTLING));
    }

    /** The call that {@link LedgerActions#recheck} has begun is over, and what it told has been passed on. */
    public void rechecked(long now) {
        enter(now);
        if (recovery.state() == Recovery.State.BLIND) {
            seeing();
        }
    }

    /** The list is as new as it will be: attempts go out as far as their hosts still want them, and requests begin. */
    private void seeing() {
        recovery.told();
        actions.arm(waitOver, time + Recovery.MOST_SETTLING);
        for (Attempt<W, C, L, A> attempt = unsent.poll(); attempt != null; attempt = unsent.poll()) {
            if (!attempt.over) {
                goOut(attempt);
            }
        }
        beginWaiting();
    }

    private void beginWaiting() {
        while (!waiting.isEmpty() && recovery.mayBegin()) {
            Exchange<W, C, L, A> exchange = waiting.poll();
            if (!exchange.over) {
                begin(exchange);
            }
        }
        if (waiting.isEmpty() && recovery.state() == Recovery.State.SETTLING) {
            recovery.settled();
            actions.disarm(waitOver);
        }
    }

    /** A request of a tenant waits for the answer to another one, and is not taken itself; {@code terms}: its settings. */
    public void joined(long now, Terms terms, int tenant) {
        enter(now);
        Generation<W, C, L, A> generation = liveGeneration(terms);
        if (generation != null) {
            post(null, () -> generation.module.onJoined(time, tenant));
        }
    }

    /**
     * More has come of a body that is not held, or no more of it is read for now. A client's wait begins with the last byte
     * that it sends, which may stand unread while its host takes nothing: from the first moment on in which it can.
     */
    void bodyCame(long now, Exchange<W, C, L, A> exchange, boolean isAwaited) {
        long at = enter(now);
        if (exchange.over || exchange.isBodyAwaited == isAwaited) {
            return;
        }
        exchange.isBodyAwaited = isAwaited;
        moveDeadline(exchange, isAwaited ? exchange.bodyDeadline
                : Math.min(exchange.bodyDeadline, deadline(at, exchange.work().waitNs())));
    }

    /** All of a body has come that is not held: its client waits by now. */
    void bodyEnded(long now, Exchange<W, C, L, A> exchange) {
        bodyCame(now, exchange, false);
        for (Attempt<W, C, L, A> attempt : exchange.attempts) {
            if (!attempt.over) {
                attempt.sentAt = time;
            }
        }
    }

    private void moveDeadline(Exchange<W, C, L, A> exchange, long deadline) {
        exchange.deadline = deadline;
        actions.arm(exchange, deadline + LAST_CALL);
        for (Attempt<W, C, L, A> attempt : exchange.attempts) {
            if (!attempt.over && attempt.begunAt == 0) {
                attempt.cutAt = Math.min(attempt.mostCutAt, deadline);
                actions.arm(attempt, attempt.cutAt);
            }
        }
    }

    /** The client of an open request has closed its connection: nothing is owed any more. */
    void clientGone(long now, Exchange<W, C, L, A> exchange) {
        enter(now);
        boolean mayHaveRun = mayHaveRun(exchange);
        if (close(exchange, false)) {
            counts.clientsGone++;
            if (mayHaveRun && exchange.work().id() != null && requestClass(exchange).effect() == Api.Effect.FRAGILE) {
                spentIds.add(time, exchange.work().id());
            }
            leftModule(exchange);
        } else if (exchange.streaming != null) {
            // Answered: what still comes of it is for nobody.
            drop(exchange.streaming, Reason.CANCELLED);
        }
    }

    /** Nothing may stay open past a moment, neither what is open by now nor what comes from here on. */
    public void endBy(long now, long moment) {
        enter(now);
        endAt = moment;
        exchanges.values().forEach(this::endInTime);
    }

    void endInTime(Exchange<W, C, L, A> exchange) {
        exchange.bodyDeadline = Math.min(exchange.bodyDeadline, endAt);
        long latest = exchange.isBodyAwaited ? endAt : endAt - WAYS;
        if (!exchange.over && latest < exchange.deadline) {
            moveDeadline(exchange, latest);
        }
    }

    /** The longest deadline of the classes in service, in nanoseconds. */
    public long longestDeadline() {
        return current.terms.settings().classes().stream().mapToLong(Api.RequestClass::deadline).max().orElse(0);
    }

    // Hosts, as lists and operators have them.

    /** A list came, or a call for it failed. What no list has named can be sent nothing. */
    public void onList(long now, Api.ListMode mode, List<Server> told) {
        enter(now);
        if (mode == Api.ListMode.FULL || mode == Api.ListMode.CACHED) {
            Set<Long> unnamed = new HashSet<>(hosts.keySet());
            told.forEach(server -> unnamed.remove(server.id()));
            unnamed.forEach(id -> gone(id, hosts.get(id)));
        }
        if (mode != Api.ListMode.FAILED) {
            for (Server server : told) {
                Host host = hosts.computeIfAbsent(server.id(), id -> new Host());
                host.listed = server;
                if (server.state() == State.GONE) {
                    gone(server.id(), host);
                } else {
                    host.named = true;
                }
            }
        }
        tell(mode, told);
    }

    private void gone(long id, Host host) {
        if (host.named) {
            host.named = false;
            maintenance.dropped(time, id);
        }
        leave(id, host);
    }

    void leave(long id, Host host) {
        long grace = Math.max(0, current.terms.drainGrace() - GRACE_MARGIN);
        host.sendUntil = Math.min(host.sendUntil, time + grace);
        actions.closeIdle(id);
    }

    private void tell(Api.ListMode mode, List<Server> told) {
        List<Server> seen = seen(told);
        for (Server server : seen) {
            Host host = hosts.get(server.id());
            if (host != null && server.state() == State.READY) {
                host.sendUntil = NEVER;
            } else if (host != null) {
                leave(server.id(), host);
            }
        }
        for (Generation<W, C, L, A> generation : List.copyOf(generations)) {
            post(null, () -> generation.module.onList(time, mode, seen));
        }
        hosts.values().removeIf(host -> !host.named && host.pending == 0);
    }

    private List<Server> seen(Collection<Server> told) {
        List<Server> seen = new ArrayList<>(told.size());
        for (Server server : told) {
            seen.add(maintenance.seen(server));
        }
        return seen;
    }

    /** Whether lists name a host at present. */
    public boolean lists(long id) {
        Host host = hosts.get(id);
        return host != null && host.named;
    }

    /** What operators say of a host has changed. */
    public void retell(long now, long id) {
        enter(now);
        if (lists(id)) {
            tell(Api.ListMode.DELTA, List.of(hosts.get(id).listed));
        }
    }

    /** Whether a host takes no more than it has: it drains, is gone, or is out; so does one that nobody has named. */
    public boolean isLeaving(long id) {
        Host host = hosts.get(id);
        return host == null || host.sendUntil != NEVER;
    }

    /** The same of the host that an attempt went to. */
    public boolean isLeaving(Attempt<W, C, L, A> attempt) {
        return attempt.target == null || attempt.target.sendUntil != NEVER;
    }

    /**
     * How an attempt ends whose connection is up and that may not be written any more; null if it may. To be asked right
     * before its first byte leaves: while it waited its host's drain may have run out, the window within which hosts drop its
     * repeats may have ended, or an earlier attempt of it may have come to run.
     */
    public Reason hindrance(long now, Attempt<W, C, L, A> attempt) {
        Host host = attempt.target;
        long at = enter(now);
        if (recovery.state() == Recovery.State.BLIND && !attempt.over) {
            // Its connection came up behind a standstill: whether its host still wants it is not known, and nothing has left.
            return Reason.CONNECT_FAILED;
        }
        if (attempt.over || !attempt.exchange().work().maySend() || isSpent(at, attempt)) {
            return Reason.MOOT;
        }
        return host == null || at >= host.sendUntil ? Reason.CONNECT_FAILED : null;
    }

    /** Whether a further effect cannot be ruled out if it goes out now. */
    boolean isSpent(long now, Attempt<W, C, L, A> attempt) {
        Exchange<W, C, L, A> exchange = attempt.exchange();
        Api.RequestClass requestClass = requestClass(exchange);
        if (requestClass.effect() == Api.Effect.RETRYABLE) {
            return false;
        }
        long window = requestClass.effect() == Api.Effect.DEDUP ? requestClass.window() : -1;
        for (Attempt<W, C, L, A> other : exchange.attempts) {
            boolean mayHaveRun = other != attempt && (other.over ? other.mayHaveRun : actions.isWritten(other));
            if (mayHaveRun && now - other.sentAt > window) {
                return true;
            }
        }
        return false;
    }

    // Settings and knowledge.

    /**
     * Serves by other settings from here on. What is open goes on under the old ones until it is answered; what the old
     * module has learnt of the hosts (breakers, latencies, slow starts' budgets) is told to the new one.
     */
    public void renew(long now, Terms terms, long seed) {
        enter(now);
        current = begin(terms, seed);
        dropIdle();
    }

    /**
     * What a request belongs to that came under some settings: those in service, such as have requests still, or a module begun
     * anew where a reload came between the choice of its class and the moment in which it is taken.
     */
    Generation<W, C, L, A> generationOf(Terms terms) {
        Generation<W, C, L, A> live = liveGeneration(terms);
        return live != null ? live : begin(terms, seeds.nextLong());
    }

    private Generation<W, C, L, A> liveGeneration(Terms terms) {
        for (Generation<W, C, L, A> generation : generations) {
            if (generation.terms == terms) {
                return generation;
            }
        }
        return null;
    }

    /** Starts a module with what is known of the hosts, by lists and by the module in service. */
    private Generation<W, C, L, A> begin(Terms terms, long seed) {
        Api.Events before = current.module;
        Generation<W, C, L, A> made = new Generation<>(this, terms, maker, seed);
        generations.add(made);
        List<Server> listed = new ArrayList<>();
        for (Host host : hosts.values()) {
            if (host.named) {
                listed.add(host.listed);
            }
        }
        List<Server> servers = seen(listed);
        post(null, () -> {
            made.module.onList(time, Api.ListMode.CACHED, servers);
            Learnt learnt = before.learnt(time);
            if (learnt != null) {
                made.module.recall(time, learnt);
            }
        });
        return made;
    }

    private void dropIdle() {
        generations.removeIf(generation -> generation != current && generation.exchanges == 0);
    }

    /** What the module has learnt; null if it says nothing. */
    public Learnt learnt(long now) {
        return current.module.learnt(enter(now));
    }

    /** Takes over what another module has learnt. */
    public void recall(long now, Learnt learnt) {
        enter(now);
        post(null, () -> current.module.recall(time, learnt));
    }

    // Attempts, as they go.

    /** A good answer has begun to come: its client has its final answer from here on, whatever becomes of the rest. */
    public void begun(long now, Attempt<W, C, L, A> attempt, A answer) {
        long at = enter(now);
        if (attempt.over) {
            return;
        }
        Exchange<W, C, L, A> exchange = attempt.exchange();
        attempt.begunAt = at;
        attempt.partAt = at;
        actions.arm(attempt, at + exchange.generation.terms.stallTime());
        post(exchange, () -> {
            if (exchange.over) {
                drop(attempt, Reason.CANCELLED);
                return;
            }
            counts.served++;
            close(exchange, true);
            exchange.streaming = attempt;
            exchange.answered = true;
            actions.served(exchange, answer);
            exchange.generation.module.onFirstByte(time, exchange.id, attempt.number);
        });
    }

    /**
     * The one outcome of an attempt; a second one is passed over. {@code told}: as its driver saw it; see {@link #attributed}.
     * {@code answer}: what its host said, null if nothing; {@code report}, {@code lookup}: as far as that tells them.
     */
    public void ended(long now, Attempt<W, C, L, A> attempt, Reason told, A answer, float[] report, Api.Lookup lookup) {
        enter(now);
        if (attempt.over) {
            return;
        }
        Reason reason = attributed(attempt, told);
        attempt.over = true;
        attempt.outcome = reason;
        actions.disarm(attempt);
        actions.over(attempt, reason);
        counts.outcome(reason);
        if (attempt.target != null) {
            attempt.target.pending--;
        }
        Exchange<W, C, L, A> exchange = attempt.exchange();
        attempt.mayHaveRun = !reason.neverRan;
        exchange.mayHaveRun |= !reason.neverRan;
        post(exchange, () -> {
            exchange.pending--;
            if (reason == Reason.OK && !exchange.over) {
                counts.served++;
                close(exchange, true);
                exchange.answered = true;
                actions.served(exchange, answer);
            }
            exchange.last(reason == Reason.OK ? null : answer);
            try {
                exchange.generation.module.onOutcome(time, new Api.Outcome(exchange.id, attempt.number, reason,
                        attempt.took(time), exchange.isClosed(), report, lookup));
            } finally {
                exchange.last(null);
            }
        });
    }

    /**
     * What an outcome that a driver saw proves. A rejection names no request: on a connection that has carried requests before
     * it may answer one of those, late or for a second time, and does not prove that this one never ran. It needs no proof
     * where repeats do no harm.
     */
    public Reason attributed(Attempt<W, C, L, A> attempt, Reason told) {
        boolean proves = told != Reason.REJECTED || !attempt.isOnUsedConnection()
                || requestClass(attempt.exchange()).effect() == Api.Effect.RETRYABLE;
        return proves ? told : Reason.UNATTRIBUTED;
    }

    private Api.RequestClass requestClass(Exchange<W, C, L, A> exchange) {
        return exchange.terms().settings().classes().get(exchange.work().requestClass());
    }

    private static final float[] NO_REPORT = {};

    void drop(Attempt<W, C, L, A> attempt, Reason reason) {
        if (!attempt.over) {
            if (!attempt.waits) {
                actions.abandon(attempt);
            }
            ended(time, attempt, reason, null, NO_REPORT, Api.Lookup.UNTOLD);
        }
    }

    /** The wait for an attempt is over. */
    void cut(long now, Attempt<W, C, L, A> attempt) {
        long at = enter(now);
        if (attempt.over) {
            return;
        }
        if (attempt.begunAt != 0) {
            stalled(attempt);
            return;
        }
        counts.timer(at - attempt.cutAt);
        // What never left cannot have run: its connection did not come up in time.
        drop(attempt, actions.isWritten(attempt) ? Reason.TIMEOUT : Reason.CONNECT_FAILED);
    }

    /** Of an answer that has begun nothing came for a while; where its client takes nothing, that is not the host's. */
    private void stalled(Attempt<W, C, L, A> attempt) {
        long stallTime = attempt.exchange().generation.terms.stallTime();
        if (actions.isHeldBack(attempt)) {
            attempt.partAt = time;
        }
        if (time < attempt.partAt + stallTime) {
            actions.arm(attempt, attempt.partAt + stallTime);
        } else {
            drop(attempt, Reason.TIMEOUT);
        }
    }

    /** The module has not answered in time; whatever the reason, the client must not be left without. */
    void lastCall(long now, Exchange<W, C, L, A> exchange) {
        enter(now);
        if (!exchange.over) {
            counts.lastCalls++;
            settle(exchange);
        }
    }

    /** Answers by the rules without the module: a refusal only where nothing can have run. */
    void settle(Exchange<W, C, L, A> exchange) {
        boolean mayRun = mayHaveRun(exchange);
        for (Attempt<W, C, L, A> attempt : List.copyOf(exchange.attempts)) {
            drop(attempt, Reason.CANCELLED);
        }
        if (!exchange.over) {
            if (mayRun) {
                answerFailed(exchange);
            } else {
                answerRefused(exchange, 0);
            }
            leftModule(exchange);
        }
    }

    /** The module need no longer care for it, if it ever heard of it. */
    private void leftModule(Exchange<W, C, L, A> exchange) {
        if (exchange.begun) {
            post(exchange, () -> exchange.generation.module.onClientGone(time, exchange.id));
        } else {
            forget(exchange);
        }
    }

    // Events for the module, one at a time.

    private void post(Exchange<W, C, L, A> exchange, Runnable action) {
        events.add(new Event<>(exchange, action));
        if (inModule) {
            return;
        }
        inModule = true;
        try {
            for (Event<W, C, L, A> event = events.poll(); event != null; event = events.poll()) {
                deliver(event);
            }
        } finally {
            inModule = false;
        }
    }

    private void deliver(Event<W, C, L, A> event) {
        try {
            event.action.run();
        } catch (RuntimeException e) {
            // A fault in the module must not take the other requests with it, nor leave this one open.
            actions.unexpected(e);
            if (event.exchange != null) {
                settle(event.exchange);
            }
        }
        if (event.exchange != null) {
            forget(event.exchange);
        }
    }

    void forget(Exchange<W, C, L, A> exchange) {
        if (exchange.over && exchange.pending == 0 && exchanges.remove(exchange.id) != null) {
            if (exchange.recorded && !exchange.unsure) {
                actions.unrecord(exchange, exchange.answered || !exchange.mayHaveRun);
            }
            budget.giveBack(exchange.work().heldBytes());
            if (--exchange.generation.exchanges == 0) {
                dropIdle();
            }
        }
    }

    void answerRefused(Exchange<W, C, L, A> exchange, long wait) {
        counts.refused++;
        if (close(exchange, false)) {
            Api.Settings settings = exchange.generation.terms.settings();
            exchange.answered = true;
            actions.refused(exchange, settings.retryAfter() ? Math.min(wait, settings.maxRetryAfter()) : 0);
        }
    }

    private void answerFailed(Exchange<W, C, L, A> exchange) {
        counts.failed++;
        if (close(exchange, false)) {
            exchange.answered = true;
            actions.failed(exchange);
        }
    }

    /**
     * True the first time; a request that found no room was never in the ledger, and its id is its own. {@code served}: by a
     * host, which lets others begin that wait.
     */
    boolean close(Exchange<W, C, L, A> exchange, boolean served) {
        if (!exchange.close()) {
            return false;
        }
        actions.disarm(exchange);
        if (exchange.begun && recovery.state() != Recovery.State.SETTLED) {
            recovery.ended(served);
            // Behind what this is part of.
            post(null, this::beginWaiting);
        }
        if (exchanges.containsKey(exchange.id)) {
            open--;
            if (exchange.work().id() != null) {
                openIds.remove(exchange.work().id());
            }
        }
        return true;
    }

    // What the module asks for, carried out in its order.

    void send(long request, long server, long cutAt) {
        Exchange<W, C, L, A> exchange = exchanges.get(request);
        if (exchange == null) {
            actions.unexpected(new IllegalStateException("send for a request that is over: " + request));
            return;
        }
        long mostCut = cutAt <= 0 ? NEVER : cutAt;
        long cut = Math.min(mostCut, exchange.deadline);
        Host host = hosts.get(server);
        Attempt<W, C, L, A> attempt = new Attempt<>(exchange, exchange.attempts.size(), server, host, time, cut, mostCut);
        exchange.attempts.add(attempt);
        counts.copies += exchange.pending > 0 ? 1 : 0;
        exchange.pending++;
        if (host != null) {
            host.pending++;
        }
        boolean tooMany = exchange.attempts.size() > exchange.generation.terms.settings().maxAttempts();
        if (exchange.over || tooMany || time >= exchange.deadline || !exchange.work().maySend() || host == null
                || time >= host.sendUntil) {
            ended(time, attempt, Reason.MOOT, null, NO_REPORT, Api.Lookup.UNTOLD);
        } else if (time >= cut) {
            ended(time, attempt, Reason.TIMEOUT, null, NO_REPORT, Api.Lookup.UNTOLD);
        } else {
            actions.arm(attempt, cut);
            if (recovery.state() == Recovery.State.BLIND) {
                unsent.add(attempt);
                attempt.waits = true;
            } else {
                actions.send(attempt, server);
            }
        }
    }

    /** An attempt has waited for the list: whether it may still go is asked anew. */
    private void goOut(Attempt<W, C, L, A> attempt) {
        attempt.waits = false;
        Host host = attempt.target;
        if (!host.named || host.sendUntil != NEVER) {
            ended(time, attempt, Reason.CONNECT_FAILED, null, NO_REPORT, Api.Lookup.UNTOLD);
        } else {
            actions.send(attempt, attempt.host());
        }
    }

    void cancel(long request, int attempt) {
        Exchange<W, C, L, A> exchange = exchanges.get(request);
        if (exchange != null && attempt < exchange.attempts.size()) {
            drop(exchange.attempts.get(attempt), Reason.CANCELLED);
        }
    }

    void because(long request, Api.Cause cause) {
        Exchange<W, C, L, A> exchange = exchanges.get(request);
        if (exchange != null && !exchange.over) {
            exchange.cause = cause;
            counts.cause(cause);
        }
    }

    void refuse(long request, long retryAfter) {
        Exchange<W, C, L, A> exchange = exchanges.get(request);
        if (exchange != null && !exchange.over) {
            if (mayRefuse(exchange)) {
                answerRefused(exchange, retryAfter);
            } else {
                answerFailed(exchange);
            }
        }
    }

    /** Whether a client may be told that asking again does no harm: where repeats do none, or nothing can have run. */
    boolean mayRefuse(Exchange<W, C, L, A> exchange) {
        Api.RequestClass requestClass = requestClass(exchange);
        return requestClass.effect() == Api.Effect.RETRYABLE
                || requestClass.effect() == Api.Effect.DEDUP && requestClass.group() == Api.Group.ALL || !mayHaveRun(exchange);
    }

    /** Whether some attempt may have run, or may yet. */
    private boolean mayHaveRun(Exchange<W, C, L, A> exchange) {
        boolean mayHave = exchange.mayHaveRun;
        for (Attempt<W, C, L, A> attempt : exchange.attempts) {
            mayHave |= !attempt.over && actions.isWritten(attempt);
        }
        return mayHave;
    }

    void fail(long request) {
        Exchange<W, C, L, A> exchange = exchanges.get(request);
        if (exchange != null && !exchange.over) {
            answerFailed(exchange);
        }
    }

    void wakeAt(Generation<W, C, L, A> generation, long moment, int token) {
        actions.arm(new Due() {
            @Override
            public void due(long now) {
                counts.timer(enter(now) - moment);
                post(null, () -> generation.module.onTimer(time, token));
            }
        }, moment);
    }

    void closeIdle(long server) {
        actions.closeIdle(server);
    }

    void subscribe() {
        actions.subscribe();
    }
}
