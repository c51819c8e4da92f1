package eiderscale;

import eiderscale.Api.*;
import eiderscale.HostHealth.Host;
import java.util.*;

/** The decision module: the life of each request and the rules. Its interface is Api.java. */
public final class Router implements Api.Events {
    /** UpTo: attempts of one request, the first included. */
    private static final int UP_TO = 6;
    private static final long NEVER = Flight.NEVER;
    private static final int TIMER_ALARM = 1;
    private static final int TIMER_LIST = 2;
    /** Part of the ask-within time over which first subscriptions are spread, and of each back-off step. */
    private static final double SUBSCRIBE_SPREAD = 0.5;
    /** Behind a failed call: changes count as told 6 s after they could be, of which a call may wait two. */
    private static final long LONGEST_ASK_AGAIN = 4_000_000_000L;
    /** Part of the aim within which the origin answers while it has room. */
    private static final double QUICK = 0.5;
    /** A host less busy than this that turns work away does so for another cause than load. */
    private static final double IDLE = 0.5;
    /** Part of the wait for an answer by which timers may be late. */
    private static final double LATE = 0.125;
    /** Safety taken off the window within which servers drop repeats. */
    private static final double WINDOW_SAFETY = 0.9;

    /** Something to look at in a flight; void if the flight has set another since. */
    private record Alarm(long at, Flight flight) {
        boolean isVoid() {
            return flight.ended || flight.alarmAt != at;
        }
    }

    private final Settings settings;
    private final Actions actions;
    private final HostHealth health;
    private final Candidates candidates;
    private final Hedging hedging;
    private final Admission admission;
    private final Memory memory;
    private final Map<Long, Flight> flights = new HashMap<>();
    private final KeyOrder<Flight> order;
    private final PriorityQueue<Alarm> alarms = new PriorityQueue<>(
            Comparator.comparingLong(Alarm::at).thenComparingLong(alarm -> alarm.flight.request.id()));
    private final int mostAttempts;
    private long timer;
    private int listFailures;
    /** Some answer brought a load report. */
    private boolean reportsCome;
    /** Before that a missing answer tells nothing: it may have come while this balancer did not look. */
    private long awareAt;
    /** A timer that is later than this is a sign of own lateness. */
    private final long mostLate;

    /** Starts an instance; its first list follows as an event. */
    public Router(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.health = new HostHealth(settings, seed);
        this.candidates = new Candidates(health, settings.candidates());
        this.admission = new Admission(settings);
        this.hedging = new Hedging(settings.budget(), settings.hedgeQuantile());
        this.memory = new Memory(health, candidates, hedging, admission);
        this.order = new KeyOrder<>(settings.keyQuiet());
        this.mostLate = (long) (LATE * settings.classes().stream()
                .mapToLong(requestClass -> admission.slowAfter(requestClass, false)).min().orElse(0));
        this.mostAttempts = Math.max(1, Math.min(UP_TO, settings.maxAttempts()));
    }

    @Override
    public void onList(long now, ListMode mode, List<Server> servers) {
        health.onList(now, mode, servers);
        listFailures = mode == ListMode.FAILED ? listFailures + 1 : 0;
        if (settings.subscribe() && (mode == ListMode.CACHED || mode == ListMode.FAILED)) {
            askLater(now);
        }
    }

    /** Subscribes in this instance's turn: its rank and chance keep the instances out of step. */
    private void askLater(long now) {
        double turn = (settings.rank() + health.nextUnit()) / Math.max(1, settings.instances());
        double spread = settings.askWithin() * SUBSCRIBE_SPREAD;
        if (listFailures > 0) {
            spread = Math.min(LONGEST_ASK_AGAIN, spread * Math.min(4, 1 + listFailures / 2));
        }
        actions.wakeAt(now + 1 + (long) (spread * turn), TIMER_LIST);
    }

    @Override
    public void onRequest(long now, Request request) {
        hedging.taken(now);
        RequestClass requestClass = settings.classes().get(request.requestClass());
        Flight flight = new Flight(request, requestClass, now, mostAttempts);
        boolean over = admission.overShare(now, request.tenant());
        boolean worthless = flight.usefulUntil <= now;
        Cause cause = turnedAway(worthless, over, request.write());
        if (cause != null) {
            actions.because(request.id(), cause);
            actions.refuse(request.id(), over || worthless ? settings.maxRetryAfter()
                    : admission.retryAfter(requestClass, health.nextUnit()));
            return;
        }
        admission.take(request.tenant());
        flights.put(request.id(), flight);
        candidates.count(now, request.key());
        if (!flight.ordered()) {
            begin(now, flight);
            return;
        }
        // What would wait past its use is refused at once: guards against lines that grow without bound.
        flight.held = true;
        if (now + order.enter(now, request.key(), flight) * admission.writeTime < flight.usefulUntil) {
            takeTurn(now, flight);
        } else {
            finish(now, flight, Cause.KEY_QUEUE);
        }
    }

    /** Why a new request is refused before a host is looked for; null if it is taken. */
    private Cause turnedAway(boolean worthless, boolean over, boolean write) {
        if (worthless) {
            return Cause.NO_TIME_LEFT;
        }
        if (write && !admission.fill(true, health.nextUnit())) {
            return Cause.ORIGIN_FULL;
        }
        if (admission.shed(over, write, health.nextUnit())) {
            return over ? Cause.OVER_SHARE : Cause.OVERLOADED;
        }
        return null;
    }

    @Override
    public void onJoined(long now, int tenant) {
        admission.overShare(now, tenant);
        admission.take(tenant);
    }

    /** The fifth rule: starts a held request if its turn has come, ends it if it waited in vain. */
    private void takeTurn(long now, Flight flight) {
        long turn = order.turn(flight.request.key(), flight);
        if (now >= flight.usefulUntil) {
            finish(now, flight, Cause.NO_TIME_LEFT);
        } else if (now >= turn) {
            flight.held = false;
            begin(now, flight);
        } else {
            wake(now, flight, Math.min(turn, flight.usefulUntil));
        }
    }

    @Override
    public Learnt learnt(long now) {
        return memory.tell(now, reportsCome);
    }

    @Override
    public void recall(long now, Learnt learnt) {
        reportsCome |= memory.recall(learnt);
    }

    private void begin(long now, Flight flight) {
        Host host = null;
        if (!settings.aside() || !flight.request.write()) {
            health.wanted(now);
            search(now, flight);
            host = candidates.leastInFlight();
        }
        host = host == null && settings.aside() ? origin() : host;
        if (host == null) {
            finish(now, flight, Cause.NO_HOST);
            return;
        }
        send(now, flight, host);
        long delay = hedging.delay();
        if (delay >= 0 && now + delay < flight.usefulUntil && !flight.request.write() && !flight.missed
                && flight.requestClass.hedge()) {
            flight.hedgeAt = now + Math.max(1, delay);
        }
        // Until it is answered nobody knows whether it was a miss.
        flight.slowAt = flight.request.bulk() ? NEVER
                : now + admission.slowAfter(flight.requestClass, !flight.request.write());
        wake(now, flight, Math.min(flight.hedgeAt, flight.slowAt));
    }

    private void search(long now, Flight flight) {
        // Requests without a key spread over all hosts.
        long key = flight.request.key() != 0 ? flight.request.key() : Candidates.mix(flight.request.id());
        candidates.count = 0;
        for (int i = 0; i < 2 && candidates.count == 0; i++) {
            health.panic = i > 0;
            candidates.find(now, key, originQuick(flight) ? health.crowd : 1);
        }
    }

    private Host origin() {
        return health.origins.stream().min(Comparator.comparingInt(host -> host.inFlight)).orElse(null);
    }

    private boolean originQuick(Flight flight) {
        Host origin = settings.aside() ? origin() : null;
        return origin != null && origin.latency < flight.requestClass.aim() * QUICK;
    }

    private void send(long now, Flight flight, Host host) {
        flight.missed |= health.isOrigin(host);
        flight.attempts[flight.sent++] = new Flight.Attempt(host, now);
        flight.pending++;
        health.onSend(now, host);
        actions.send(flight.request.id(), host.id, flight.usefulUntil);
    }

    private void wake(long now, Flight flight, long at) {
        flight.alarmAt = at;
        if (at != NEVER) {
            alarms.add(new Alarm(at, flight));
        }
        setTimer(now);
    }

    private void setTimer(long now) {
        while (!alarms.isEmpty() && alarms.peek().isVoid()) {
            alarms.poll();
        }
        if (!alarms.isEmpty() && (timer <= now || alarms.peek().at < timer)) {
            timer = Math.max(now + 1, alarms.peek().at);
            actions.wakeAt(timer, TIMER_ALARM);
        }
    }

    @Override
    public void onTimer(long now, int token) {
        if (token == TIMER_LIST) {
            actions.subscribe();
            return;
        }
        noticeLateness(now);
        while (!alarms.isEmpty() && alarms.peek().at <= now) {
            Alarm alarm = alarms.poll();
            if (!alarm.isVoid() && alarm.flight.held) {
                takeTurn(now, alarm.flight);
            } else if (!alarm.isVoid()) {
                lookAgain(now, alarm.flight);
            }
        }
        setTimer(now);
    }

    /**
     * A timer that comes late shows that nothing else was looked at meanwhile either: answers may wait
     * unread, so this balancer allows them as long again as it was away. Guards against taking own lateness
     * (a cold start, a share of a core that is used up, a long collection, a suspended machine) for slow
     * hosts: one stall had all that was out count as overload and be copied. Harm: while this balancer is
     * late all the time, a slow fleet shows in rejections alone, and copies come later.
     */
    private void noticeLateness(long now) {
        long late = alarms.isEmpty() ? 0 : now - alarms.peek().at;
        if (late > mostLate) {
            awareAt = Math.max(awareAt, now + late);
        }
    }

    /** A flight is still out: its copy may be due, and an answer that is late already tells of overload. */
    private void lookAgain(long now, Flight flight) {
        if (now < awareAt) {
            flight.slowAt = flight.slowAt == NEVER ? NEVER : Math.max(flight.slowAt, awareAt);
            flight.hedgeAt = flight.hedgeAt == NEVER ? NEVER : Math.max(flight.hedgeAt, awareAt);
        }
        if (now >= flight.slowAt) {
            flight.slowAt = NEVER;
            admission.load(now, flight.missed ? 0 : Admission.SLOWNESS);
        }
        if (now >= flight.hedgeAt) {
            flight.hedgeAt = NEVER;
            hedge(now, flight);
        }
        wake(now, flight, Math.min(flight.hedgeAt, flight.slowAt));
    }

    private void hedge(long now, Flight flight) {
        if (flight.streaming || flight.missed || flight.pending != 1
                || flight.sent >= mostAttempts) {
            return;
        }
        search(now, flight);
        Host host = untried(flight, candidates.width);
        if (host != null && maySend(now, flight, host)
                && !admission.overloaded() && hedging.spend(now)) {
            send(now, flight, host);
        }
    }

    private Host untried(Flight flight, int width) {
        for (int i = 0; i < candidates.count && i < width; i++) {
            Host host = candidates.top[i];
            if (Arrays.stream(flight.attempts, 0, flight.sent).noneMatch(a -> a.host == host)) {
                return host;
            }
        }
        return null;
    }

    @Override
    public void onFirstByte(long now, long request, int attempt) {
        Flight flight = flights.get(request);
        if (flight != null && !flight.ended) {
            flight.streaming = true;
            // From here on it lasts as long as its body and its client make it last: that tells of no host.
            flight.slowAt = NEVER;
            flight.hedgeAt = NEVER;
            learnLatency(now, flight, flight.attempts[attempt].host);
            cancelPending(flight, attempt);
        }
    }

    @Override
    public void onClientGone(long now, long request) {
        Flight flight = flights.get(request);
        if (flight != null && !flight.ended) {
            cancelPending(flight, -1);
            end(now, flight);
        }
    }

    @Override
    public void onOutcome(long now, Outcome outcome) {
        Flight flight = flights.get(outcome.request());
        if (flight == null || outcome.attempt() >= flight.sent
                || !flight.attempts[outcome.attempt()].pending) {
            return;
        }
        Flight.Attempt attempt = flight.attempts[outcome.attempt()];
        attempt.pending = false;
        attempt.neverRan = outcome.reason().neverRan;
        flight.pending--;
        if (flight.ordered() && outcome.reason().mayRunOn()) {
            order.rest(now, flight.request.key());
        }
        boolean broken = outcome.reason().turnedAway() && isIdle(outcome.report());
        boolean suspect = broken || attempt.overtaken && outcome.reason() == Reason.CANCELLED;
        long took = flight.streaming || flight.request.bulk() ? outcome.took() : now - attempt.sentAt;
        health.onEnd(now, attempt.host, outcome.reason(), took, suspect);
        double busy = busy(outcome.report());
        if (outcome.reason().answered() && busy >= 0) {
            health.heardLoad(now, attempt.host, Math.min(1, busy));
        }
        learn(now, took, flight, attempt, outcome, broken, isUnexplained(outcome.report()));
        if (health.connectFailures > HostHealth.CROWDED) {
            actions.closeIdle(attempt.host.id);
        }
        if (flight.ended) {
            end(now, flight);
        } else if (outcome.closed()) {
            if (outcome.reason() == Reason.OK && !flight.streaming) {
                learnLatency(now, flight, attempt.host);
            }
            for (int i = 0; i < outcome.attempt(); i++) {
                flight.attempts[i].overtaken = flight.attempts[i].pending;
            }
            cancelPending(flight, outcome.attempt());
            end(now, flight);
        } else {
            goOn(now, flight, outcome.reason(), broken);
        }
    }

    /**
     * Whether a host says that it has time to spare. Guards against a few hosts that turn work away for
     * reasons of their own: taken for a sign of load, that has most requests shed while others stand idle.
     */
    private boolean isIdle(float[] report) {
        return busy(report) < IDLE;
    }

    /** How busy a host says that it is; no number where it does not say. */
    private double busy(float[] report) {
        int at = settings.report().busy();
        return at >= 0 && at < report.length ? report[at] : Double.NaN;
    }

    /**
     * Whether an answer lacks the load report that others bring: a rejection then has another cause than a
     * full queue. Hosts turn away what its client has given up meanwhile; taken for load, that has a balancer
     * which is late itself shed nearly all, for as long as refused clients keep it late. Also guards against
     * hosts that drain and full tables of connections. Harm: where hosts report only while they have time,
     * their overload shows in slow answers alone.
     */
    private boolean isUnexplained(float[] report) {
        reportsCome |= report.length > 0;
        return reportsCome && report.length == 0;
    }

    private void learnLatency(long now, Flight flight, Host host) {
        if (!flight.request.write() && !health.isOrigin(host)) {
            hedging.served(now, now - flight.attempts[0].sentAt);
        }
    }

    private void learn(long now, long took, Flight flight, Flight.Attempt attempt, Outcome outcome,
                       boolean broken, boolean unexplained) {
        Reason reason = outcome.reason();
        if (flight.ordered() && !reason.neverRan) {
            admission.writeTook(took);
        }
        if (reason == Reason.OK && outcome.lookup() != Lookup.UNTOLD) {
            admission.readTook(outcome.lookup() == Lookup.HIT, took);
        }
        boolean quick = took < admission.slowAfter(flight.requestClass, outcome.lookup() == Lookup.MISS);
        if (!settings.aside() && reason == Reason.ERROR
                && outcome.report().length > 0 && !flight.request.write()) {
            // A host that is well enough to report failed: most often its fetch found no room at the origin.
            admission.load(now, Admission.SLOWNESS);
        }
        boolean full = reason.turnedAway() && !broken && !unexplained;
        if (!health.isOrigin(attempt.host) && (full || quick && reason.answered())) {
            // A full cache while the origin has room tells of a hot key, not of a full fleet.
            double sign = originQuick(flight) ? Admission.SLOWNESS : Admission.REJECTION;
            admission.load(now, reason.answered() ? 1 : sign);
        }
        if (health.isOrigin(attempt.host) && reason != Reason.CANCELLED) {
            // Late counts as failed: guards against a queue that makes every fetch late.
            admission.fillResult(reason != Reason.OK || took > flight.requestClass.aim());
        } else if (!settings.aside() && settings.candidates() > 1 && flight.request.write()
                && (reason == Reason.ERROR || reason == Reason.OK)) {
            // A time-out tells nothing, nor does a host that has no origin behind it.
            admission.fillResult(reason != Reason.OK);
        }
    }

    /** An attempt ended without an answer: wait for another one, try again, or give the final answer. */
    private void goOn(long now, Flight flight, Reason reason, boolean broken) {
        flight.missed |= reason == Reason.MISS;
        if (flight.pending > 0) {
            return;
        }
        Cause hindrance = hindrance(now, flight, reason);
        if (hindrance != null) {
            finish(now, flight, hindrance);
            return;
        }
        Host host = next(now, flight, reason);
        if (host == null) {
            finish(now, flight, Cause.NO_HOST);
        } else if (!maySend(now, flight, host)) {
            finish(now, flight, Cause.MAY_HAVE_RUN);
        } else if (reason == Reason.MISS || broken && settings.budget() == null || hedging.spend(now)) {
            send(now, flight, host);
        } else {
            finish(now, flight, Cause.RETRY_BUDGET);
        }
    }

    /** What keeps a request from a further attempt, whichever host would get it; null if nothing does. */
    private Cause hindrance(long now, Flight flight, Reason reason) {
        if (now >= flight.usefulUntil) {
            return Cause.NO_TIME_LEFT;
        }
        if (flight.sent >= mostAttempts) {
            return Cause.ATTEMPTS_SPENT;
        }
        return reason == Reason.MOOT ? Cause.NOT_SENT : null;
    }

    private Host next(long now, Flight flight, Reason reason) {
        // Guards against a hot key's hosts passing it round among them, full, while the origin has room.
        boolean full = reason == Reason.REJECTED && originQuick(flight);
        if (settings.aside() && (flight.missed || flight.request.write() || full)) {
            return flight.request.write() || admission.fill(false, health.nextUnit()) ? origin() : null;
        }
        search(now, flight);
        Host host = untried(flight, candidates.count);
        return host == null && settings.aside() ? origin() : host;
    }

    /** The second rule: whether a further send can cause no second effect. */
    private boolean maySend(long now, Flight flight, Host host) {
        if (flight.pending > 0 && !settings.mayDuplicate()) {
            return false;
        }
        RequestClass c = flight.requestClass;
        Flight.Attempt first = flight.mayHaveRun();
        if (first != null && !(flight.pending > 0 ? c.hedge() : c.retry())) {
            return false;
        }
        return first == null || c.effect() == Effect.RETRYABLE
                || c.effect() == Effect.DEDUP && now - first.sentAt <= c.window() * WINDOW_SAFETY
                && (c.group() != Group.ZONE || first.host.zone == host.zone)
                && (c.group() != Group.CELL || first.host.cell == host.cell);
    }

    private void finish(long now, Flight flight, Cause cause) {
        actions.because(flight.request.id(), cause);
        if (flight.mayRefuse()) {
            actions.refuse(flight.request.id(), now >= flight.usefulUntil ? settings.maxRetryAfter() : 0);
        } else {
            actions.fail(flight.request.id());
        }
        cancelPending(flight, -1);
        end(now, flight);
    }

    private void cancelPending(Flight flight, int except) {
        for (int i = 0; i < flight.sent && settings.mayCancel(); i++) {
            if (flight.attempts[i].pending && i != except) {
                actions.cancel(flight.request.id(), i);
            }
        }
    }

    /** Forgets a request once its last attempt has been reported. */
    private void end(long now, Flight flight) {
        flight.ended = true;
        if (flight.pending > 0) {
            return;
        }
        flights.remove(flight.request.id());
        Flight next = flight.ordered() ? order.leave(flight.request.key(), flight) : null;
        if (next != null && next.held) {
            takeTurn(now, next);
        }
    }
}
