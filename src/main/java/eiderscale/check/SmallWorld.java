package eiderscale.check;

import eiderscale.Api;
import eiderscale.Api.Effect;
import eiderscale.Api.Reason;
import eiderscale.Api.State;
import eiderscale.Learnt;
import eiderscale.check.Event.Kind;
import eiderscale.knowledge.Knowledge;
import eiderscale.knowledge.Origin;
import eiderscale.knowledge.Recalled;
import eiderscale.ledger.Attempt;
import eiderscale.ledger.Budget;
import eiderscale.ledger.Counts;
import eiderscale.ledger.Due;
import eiderscale.ledger.Exchange;
import eiderscale.ledger.Ledger;
import eiderscale.ledger.LedgerActions;
import eiderscale.ledger.Terms;
import eiderscale.ledger.Work;
import eiderscale.maintenance.Maintenance;
import eiderscale.recovery.Recovery;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * A few hosts and a few requests around one ledger and module. It knows what really happens at hosts, which these do not, and
 * holds that against the rules: one final answer in time and nothing sent after it; no effect twice; nothing new to a host
 * that leaves past its grace; no timer, attempt or request held that is over; counts that add up.
 */
public final class SmallWorld implements LedgerActions<SmallWorld.Asked, SmallWorld.Asked, SmallWorld.Carrier, Boolean> {
    private static final long MS = 1_000_000L;
    private static final long START = 1_000_000 * MS;
    /** What clients wait, the window of keyed writes, the grace of drains, when a copy goes out. */
    private static final long WAIT = 1_000 * MS;
    private static final long WINDOW = 500 * MS;
    private static final long GRACE = 400 * MS;
    /** A process may be held up so long between its look at the clock and the write. */
    private static final long HELD_UP = 150 * MS;
    private static final long COPY_AFTER = 100 * MS;
    private static final long WARM = 2_000 * MS;
    private static final int ATTEMPTS = 3;
    private static final float[] NO_REPORT = {};
    private static final long NEVER = Long.MAX_VALUE;

    /** Makes the parts that are checked; tests put wrong ones in their place. */
    public interface Parts {
        /** The module. */
        Api.Events module(Api.Settings settings, long seed, Api.Actions actions);

        /** What is believed of another instance's word. */
        default Recalled believe(Knowledge told, long now) {
            return Recalled.of(told, new Origin(told.balancer(), 0, "", now), Origin.Standing.MOVED, now, 0);
        }

        /** The ledger. */
        Ledger<Asked, Asked, Carrier, Boolean> ledger(Terms terms, Ledger.Module module,
                LedgerActions<Asked, Asked, Carrier, Boolean> actions, Counts counts, Maintenance maintenance);
    }

    /** The parts that serve. */
    public static final Parts TRUE = new Parts() {
        @Override
        public Api.Events module(Api.Settings settings, long seed, Api.Actions actions) {
            return new eiderscale.Router(settings, seed, actions);
        }

        @Override
        public Ledger<Asked, Asked, Carrier, Boolean> ledger(Terms terms, Ledger.Module module,
                LedgerActions<Asked, Asked, Carrier, Boolean> actions, Counts counts, Maintenance maintenance) {
            return new Ledger<>(terms, 7, module, actions, counts, new Budget(NEVER), maintenance);
        }
    };

    private record Rules(Api.Settings settings) implements Terms {
        @Override
        public int maxOpen() {
            return 100;
        }

        @Override
        public long stallTime() {
            return 300 * MS;
        }
    }

    /** A request, and what has become of it. */
    public final class Asked implements Work {
        final int number;
        /** Of its class at the start; its number is that of its class. */
        private final Effect named;
        /** The settings in service when its class was chosen; null before that. */
        private Rules terms;
        Exchange<Asked, Asked, Carrier, Boolean> exchange;
        long takenAt;
        boolean taken;
        boolean gone;
        int answers;
        int runs;

        Asked(int number, Effect named) {
            this.number = number;
            this.named = named;
        }

        /** By the settings that it came under. */
        Effect effect() {
            return terms.settings().classes().get(requestClass()).effect();
        }

        @Override
        public Rules terms() {
            return terms;
        }

        boolean isOwed() {
            return taken && !gone && answers == 0;
        }

        @Override
        public String id() {
            return Integer.toString(number);
        }

        @Override
        public int requestClass() {
            return named.ordinal();
        }

        @Override
        public int tenant() {
            return 0;
        }

        @Override
        public long key() {
            return 1 + number;
        }

        @Override
        public long waitNs() {
            return WAIT;
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
            return effect() != Effect.RETRYABLE;
        }

        @Override
        public int heldBytes() {
            return 0;
        }
    }

    enum Phase { CONNECTING, WRITTEN, RUNNING, BEGUN, OVER }

    /** One attempt on its way. */
    public final class Carrier {
        final int number;
        final Attempt<Asked, Asked, Carrier, Boolean> attempt;
        final Asked asked;
        final int host;
        Phase phase = Phase.CONNECTING;
        long sentAt;
        /** Its last byte has left; its host may have it. */
        boolean written;
        /** Its connection has carried another before. */
        boolean onUsedConnection;
        /** Its host has said that it never ran. */
        boolean neverRan;
        /** The ledger waits for it no more; what has been written may run all the same. */
        boolean abandoned;

        Carrier(int number, Attempt<Asked, Asked, Carrier, Boolean> attempt, int host) {
            this.number = number;
            this.attempt = attempt;
            this.asked = attempt.exchange().work();
            this.host = host;
        }

        boolean mayRun() {
            return written && !neverRan;
        }
    }

    private final Bounds bounds;
    private final Counts counts = new Counts();
    private final Maintenance maintenance = new Maintenance();
    private final Ledger<Asked, Asked, Carrier, Boolean> ledger;
    private final Parts parts;
    private final List<Asked> requests = new ArrayList<>();
    private final List<Carrier> carriers = new ArrayList<>();
    private final State[] listed;
    private final long[] startedAt;
    private final long[] leavingAt;
    private final int[] idle;
    private final boolean[] out;
    private final Map<Due, Long> armed = new IdentityHashMap<>();
    private final List<Due> order = new ArrayList<>();
    private long now = START;
    private int faults;
    private int lists;
    private int calls;
    private int renewals;
    /** In service. */
    private Rules rules;
    private int stands;
    private int heard;
    private long stoodAt;
    /** The host that drains and whose word is not told yet. */
    private int untold;
    /** The list has been asked for behind a standstill. */
    private boolean asks;
    private boolean stopped;
    private long stoppedAt;
    private String broken;

    /** A world at its beginning. */
    public SmallWorld(Bounds bounds, Parts parts) {
        this.bounds = bounds;
        this.parts = parts;
        this.listed = new State[bounds.hosts()];
        this.startedAt = new long[bounds.hosts()];
        this.leavingAt = new long[bounds.hosts()];
        this.idle = new int[bounds.hosts()];
        this.out = new boolean[bounds.hosts()];
        for (int i = 0; i < bounds.effects().size(); i++) {
            requests.add(new Asked(i, bounds.effects().get(i)));
        }
        this.rules = new Rules(settings(ATTEMPTS, false));
        this.ledger = parts.ledger(rules, parts::module, this, counts, maintenance);
        List<Api.Server> all = new ArrayList<>();
        for (int i = 0; i < bounds.hosts(); i++) {
            listed[i] = State.READY;
            leavingAt[i] = NEVER;
            all.add(server(i));
        }
        ledger.onList(now, Api.ListMode.FULL, all);
        // As after some traffic: copies of slow reads go out.
        ledger.recall(now, new Learnt(now, List.of(), List.of(), new Learnt.Fleet(1, 0, 0, now, 0, 0),
                new Learnt.Pressure(1, 1, now, 0, 0, 0), new Learnt.Latency(List.of(), List.of(), now, COPY_AFTER), List.of(), 0, false));
    }

    /** {@code areSwapped}: the number of the safe class is that of the unsafe one, and the other way round. */
    private static Api.Settings settings(int attempts, boolean areSwapped) {
        List<Api.RequestClass> classes = new ArrayList<>();
        for (Effect effect : Effect.values()) {
            Effect other = effect == Effect.RETRYABLE ? Effect.FRAGILE : Effect.RETRYABLE;
            Effect its = areSwapped && effect != Effect.DEDUP ? other : effect;
            classes.add(new Api.RequestClass(WAIT / 2, 0, WAIT, 1, 0.5, its, Api.Group.ALL, WINDOW, false, false));
        }
        return new Api.Settings(classes, List.of(), 0, 0, 1, false, -1, false, attempts, true, true, true, WAIT, GRACE, 10_000 * MS,
                0.2, WARM, 4, 200 * MS, 1, WAIT, null, new Api.ReportLayout(-1, -1, -1));
    }

    private Api.Server server(int host) {
        return new Api.Server(host + 1, 0, 0, 0, listed[host], 1, startedAt[host]);
    }

    /** The rule that is broken; null while none is. */
    public String broken() {
        return broken;
    }

    private void breaks(String rule) {
        if (broken == null) {
            broken = rule;
        }
    }

    // What may happen next.

    /** All events that are possible now, in an order that depends on nothing but the state. */
    public List<Event> next() {
        List<Event> next = new ArrayList<>();
        boolean mayFail = faults < bounds.faults();
        for (Asked asked : requests) {
            // Requests come in their order: they differ in nothing else but their effects.
            if (!asked.taken && (asked.number == 0 || requests.get(asked.number - 1).taken)) {
                next.add(new Event(Kind.TAKE, asked.number));
                if (asked.terms == null && renewals < bounds.renewals()) {
                    next.add(new Event(Kind.HEAD, asked.number));
                }
            } else if (asked.isOwed() && mayFail) {
                next.add(new Event(Kind.LEAVE, asked.number));
            }
        }
        for (Carrier carrier : carriers) {
            carrierEvents(carrier, mayFail, next);
        }
        long due = earliest();
        if (due <= now) {
            next.add(new Event(Kind.FIRE, 0));
        } else if (moment() != NEVER && (!requests.stream().allMatch(asked -> asked.taken && !asked.isOwed()) || hasOpen())) {
            next.add(new Event(Kind.TIME, 0));
        }
        for (int i = 0; i < bounds.hosts(); i++) {
            hostEvents(i, next);
        }
        if (asks) {
            next.add(new Event(Kind.CONFIRM, untold));
            if (mayFail) {
                next.add(new Event(Kind.UNHEARD, untold));
            }
        } else if (stands < bounds.stands()) {
            for (int i = 0; i < bounds.hosts(); i++) {
                if (listed[i] == State.READY) {
                    next.add(new Event(Kind.STAND, i));
                }
            }
        }
        for (int i = 0; i < bounds.hosts() && heard < bounds.hearsay(); i++) {
            next.add(new Event(Kind.HEAR, i));
        }
        if (renewals < bounds.renewals()) {
            next.add(new Event(Kind.RENEW, 0));
        }
        if (bounds.stops() && !stopped) {
            next.add(new Event(Kind.STOP, 0));
        }
        return next;
    }

    private boolean hasOpen() {
        return carriers.stream().anyMatch(carrier -> carrier.phase != Phase.OVER && !carrier.abandoned);
    }

    private void carrierEvents(Carrier carrier, boolean mayFail, List<Event> next) {
        int at = carrier.number;
        switch (carrier.phase) {
            case CONNECTING -> {
                next.add(new Event(Kind.UP, at));
                if (mayFail && !carrier.abandoned) {
                    next.add(new Event(Kind.REFUSED, at));
                }
            }
            case WRITTEN -> {
                next.add(new Event(Kind.RUN, at));
                if (mayFail && !carrier.abandoned) {
                    next.add(new Event(Kind.BUSY, at));
                    next.add(new Event(Kind.LOST, at));
                    lateBusy(carrier, next);
                }
            }
            case RUNNING -> {
                if (!carrier.abandoned) {
                    next.add(new Event(Kind.ANSWER, at));
                    if (bounds.streams()) {
                        next.add(new Event(Kind.BEGIN, at));
                    }
                    if (mayFail) {
                        next.add(new Event(Kind.FAILED, at));
                        next.add(new Event(Kind.LOST, at));
                        lateBusy(carrier, next);
                    }
                }
            }
            case BEGUN -> {
                if (!carrier.abandoned) {
                    next.add(new Event(Kind.END, at));
                    if (mayFail) {
                        next.add(new Event(Kind.LOST, at));
                    }
                }
            }
            default -> { }
        }
    }

    private static void lateBusy(Carrier carrier, List<Event> next) {
        if (carrier.onUsedConnection) {
            next.add(new Event(Kind.LATE_BUSY, carrier.number));
        }
    }

    private void hostEvents(int host, List<Event> next) {
        if (lists < bounds.lists()) {
            if (listed[host] == State.READY) {
                next.add(new Event(Kind.DRAINS, host));
                next.add(new Event(Kind.GONE, host));
            }
            if (listed[host] != State.READY || startedAt[host] == 0) {
                next.add(new Event(Kind.STARTED, host));
            }
        }
        if (calls < bounds.calls()) {
            next.add(new Event(out[host] ? Kind.IN : Kind.OUT, host));
        }
    }

    private long earliest() {
        long earliest = NEVER;
        for (long at : armed.values()) {
            earliest = Math.min(earliest, at);
        }
        return earliest;
    }

    /** When something is due next: a timer, or the end of a client's wait. */
    private long moment() {
        long moment = earliest();
        for (Asked asked : requests) {
            if (asked.isOwed() && asked.takenAt + WAIT > now) {
                moment = Math.min(moment, asked.takenAt + WAIT);
            }
        }
        return moment;
    }

    // What happens.

    /** Lets an event happen that {@link #next} has named. */
    public void play(Event event) {
        faults += event.kind().fault ? 1 : 0;
        int at = event.at();
        switch (event.kind()) {
            case HEAD -> requests.get(at).terms = rules;
            case TAKE -> {
                Asked asked = requests.get(at);
                asked.terms = asked.terms == null ? rules : asked.terms;
                asked.taken = true;
                asked.takenAt = now;
                asked.exchange = ledger.take(now, asked, asked);
            }
            case LEAVE -> {
                requests.get(at).gone = true;
                requests.get(at).exchange.clientGone(now);
            }
            case UP -> up(carriers.get(at));
            case REFUSED -> end(carriers.get(at), Reason.CONNECT_FAILED, false);
            case RUN -> run(carriers.get(at));
            case ANSWER -> end(carriers.get(at), Reason.OK, true);
            case BEGIN -> {
                carriers.get(at).phase = Phase.BEGUN;
                ledger.begun(now, carriers.get(at).attempt, true);
            }
            case END -> end(carriers.get(at), Reason.OK, true);
            case BUSY -> {
                carriers.get(at).neverRan = true;
                end(carriers.get(at), Reason.REJECTED, true);
            }
            case LATE_BUSY -> end(carriers.get(at), Reason.REJECTED, true);
            case FAILED -> end(carriers.get(at), Reason.ERROR, true);
            case LOST -> end(carriers.get(at), Reason.RESET, false);
            case TIME -> now = moment();
            case FIRE -> fire();
            case DRAINS -> list(at, State.DRAINING);
            case GONE -> list(at, State.GONE);
            case STARTED -> {
                startedAt[at] = now;
                list(at, State.READY);
            }
            case OUT, IN -> operate(at, event.kind() == Kind.OUT);
            case STAND -> {
                stands++;
                stoodAt = now;
                untold = at;
                ledger.stoodStill(now);
            }
            case HEAR -> hear(at);
            case CONFIRM -> confirm();
            case UNHEARD -> {
                asks = false;
                ledger.onList(now, Api.ListMode.FAILED, List.of());
                ledger.rechecked(now);
            }
            case RENEW -> {
                renewals++;
                rules = new Rules(settings(1, true));
                ledger.renew(now, rules, 11);
            }
            case STOP -> {
                stopped = true;
                stoppedAt = now;
                ledger.endBy(now, now + WAIT / 2);
            }
            default -> throw new IllegalStateException(event.text());
        }
        look();
    }

    private void fire() {
        long earliest = earliest();
        // Of those due at one moment the one that was armed first.
        for (Due timer : order) {
            if (armed.get(timer) == earliest) {
                disarm(timer);
                timer.due(now);
                return;
            }
        }
    }

    private void up(Carrier carrier) {
        if (carrier.abandoned) {
            // Nobody waits for it: the connection is kept.
            carrier.phase = Phase.OVER;
            idle[carrier.host]++;
        } else {
            writeUnlessHindered(carrier, false);
        }
    }

    private void writeUnlessHindered(Carrier carrier, boolean kept) {
        Reason hindrance = ledger.hindrance(now, carrier.attempt);
        if (hindrance != null) {
            end(carrier, hindrance, kept);
        } else {
            write(carrier);
        }
    }

    private void write(Carrier carrier) {
        Asked asked = carrier.asked;
        carrier.phase = Phase.WRITTEN;
        if (leavingAt[carrier.host] != NEVER && now + HELD_UP > leavingAt[carrier.host] + GRACE) {
            breaks("something new goes to host " + carrier.host + " past its grace");
        }
        if (asks && now < stoodAt + Recovery.MOST_BLIND) {
            breaks("something goes out by a list from before a standstill");
        }
        for (Carrier other : carriers) {
            if (other != carrier && other.asked == asked && other.mayRun()) {
                if (asked.effect() == Effect.FRAGILE) {
                    breaks("unsafe request " + asked.number + " goes out again though it may have run");
                } else if (asked.effect() == Effect.DEDUP && now > other.sentAt + WINDOW) {
                    breaks("keyed request " + asked.number + " goes out again behind its window");
                }
            }
        }
        carrier.written = true;
    }

    private void run(Carrier carrier) {
        carrier.phase = carrier.abandoned ? Phase.OVER : Phase.RUNNING;
        if (++carrier.asked.runs > 1 && carrier.asked.effect() == Effect.FRAGILE) {
            breaks("unsafe request " + carrier.asked.number + " runs twice");
        }
    }

    private void end(Carrier carrier, Reason reason, boolean kept) {
        carrier.phase = Phase.OVER;
        if (kept && ledger.attributed(carrier.attempt, reason) != Reason.UNATTRIBUTED && !ledger.isLeaving(carrier.host + 1)) {
            idle[carrier.host]++;
        }
        ledger.ended(now, carrier.attempt, reason, reason == Reason.OK, NO_REPORT, Api.Lookup.UNTOLD);
    }

    private void list(int host, State state) {
        lists++;
        listed[host] = state;
        see(host);
        ledger.onList(now, Api.ListMode.DELTA, List.of(server(host)));
    }

    /** The worst that can be said, with calls from later than now; what is believed of it is told to the ledger. */
    private void hear(int praised) {
        heard++;
        List<Learnt.HostWord> words = new ArrayList<>();
        List<Maintenance.Call> said = new ArrayList<>();
        for (int i = 0; i < bounds.hosts(); i++) {
            words.add(new Learnt.HostWord(i + 1, startedAt[i], 0, 1_000, now, 1, i == praised ? 0 : 100, i == praised ? 0 : now + 100 * WAIT));
            said.add(new Maintenance.Call(i + 1, false, now + WAIT));
        }
        Learnt lie = new Learnt(now, words, List.of(), new Learnt.Fleet(1, 0, 1e9, now, 0, 0), new Learnt.Pressure(1, 1, now, 0, 0, 0),
                new Learnt.Latency(List.of(1.0), List.of(1000), now, 1), List.of(), 0, true);
        Recalled believed = parts.believe(new Knowledge("a", said, null, lie), now);
        ledger.recall(now, believed.learnt());
        maintenance.merge(believed.calls()).forEach(host -> ledger.retell(now, host));
    }

    private void confirm() {
        asks = false;
        listed[untold] = State.DRAINING;
        see(untold);
        List<Api.Server> all = new ArrayList<>();
        for (int i = 0; i < bounds.hosts(); i++) {
            if (listed[i] != State.GONE) {
                all.add(server(i));
            }
        }
        ledger.onList(now, Api.ListMode.FULL, all);
        ledger.rechecked(now);
    }

    private void operate(int host, boolean takesOut) {
        calls++;
        out[host] = takesOut;
        if (takesOut) {
            maintenance.takeOut(now, host + 1);
        } else {
            maintenance.putBack(now, host + 1);
        }
        see(host);
        ledger.retell(now, host + 1);
    }

    private void see(int host) {
        boolean leaves = out[host] || listed[host] != State.READY;
        leavingAt[host] = !leaves ? NEVER : Math.min(leavingAt[host], now);
    }

    // What must always hold.

    private void look() {
        for (Asked asked : requests) {
            if (asked.isOwed() && now >= asked.takenAt + WAIT && earliest() > now) {
                breaks("request " + asked.number + " is not answered in time");
            }
        }
        for (Due timer : order) {
            if (armed.containsKey(timer) && (timer instanceof Attempt<?, ?, ?, ?> attempt && attempt.isOver()
                    || timer instanceof Exchange<?, ?, ?, ?> exchange && exchange.isOver())) {
                breaks("a timer is kept of what is over");
            }
        }
        for (Carrier carrier : carriers) {
            if (carrier.attempt.isOver() && carrier.phase != Phase.OVER && !carrier.abandoned) {
                breaks("an attempt is over and its connection is not let go");
            }
        }
        for (Asked asked : requests) {
            if (stopped && asked.isOwed() && now >= stoppedAt + WAIT / 2 && earliest() > now) {
                breaks("request " + asked.number + " is open past the end of the process");
            }
        }
        long owed = requests.stream().filter(Asked::isOwed).count();
        if (ledger.open() != owed) {
            breaks(ledger.open() + " requests are open, " + owed + " are owed an answer");
        }
        if (counts.taken() != counts.served() + counts.refused() + counts.failed() + counts.clientsGone() + ledger.open()) {
            breaks("the counts do not add up");
        }
        if (owed == 0 && !hasOpen() && ledger.size() != 0) {
            breaks("the ledger holds " + ledger.size() + " requests that are over");
        }
    }

    // What the ledger asks for.

    @Override
    public void send(Attempt<Asked, Asked, Carrier, Boolean> attempt, long host) {
        Carrier carrier = new Carrier(carriers.size(), attempt, (int) host - 1);
        carriers.add(carrier);
        carrier.sentAt = now;
        attempt.link(carrier);
        if (!carrier.asked.isOwed()) {
            breaks("request " + carrier.asked.number + " is sent after its end");
        }
        if (idle[carrier.host] > 0) {
            idle[carrier.host]--;
            carrier.onUsedConnection = true;
            attempt.onUsedConnection(true);
            writeUnlessHindered(carrier, true);
        }
    }

    @Override
    public void abandon(Attempt<Asked, Asked, Carrier, Boolean> attempt) {
        attempt.link().abandoned = true;
        if (attempt.link().phase == Phase.RUNNING || attempt.link().phase == Phase.BEGUN) {
            attempt.link().phase = Phase.OVER;
        }
    }

    @Override
    public boolean isWritten(Attempt<Asked, Asked, Carrier, Boolean> attempt) {
        return attempt.link() != null && attempt.link().written;
    }

    @Override
    public boolean isHeldBack(Attempt<Asked, Asked, Carrier, Boolean> attempt) {
        return false;
    }

    private void answered(Asked asked) {
        asked.answers++;
        if (asked.answers > 1) {
            breaks("request " + asked.number + " is answered twice");
        } else if (asked.gone) {
            breaks("request " + asked.number + " is answered though its client has left");
        }
        if (now > asked.takenAt + WAIT) {
            breaks("request " + asked.number + " is answered too late");
        }
    }

    @Override
    public void served(Exchange<Asked, Asked, Carrier, Boolean> exchange, Boolean answer) {
        answered(exchange.client());
        if (exchange.client().runs == 0) {
            breaks("request " + exchange.client().number + " is served by nobody");
        }
    }

    @Override
    public void refused(Exchange<Asked, Asked, Carrier, Boolean> exchange, long wait) {
        Asked asked = exchange.client();
        answered(asked);
        boolean unsafe = asked.effect() == Effect.FRAGILE;
        if (unsafe && carriers.stream().anyMatch(carrier -> carrier.asked == asked && carrier.mayRun())) {
            breaks("unsafe request " + asked.number + " is refused though it may have run");
        }
    }

    @Override
    public void failed(Exchange<Asked, Asked, Carrier, Boolean> exchange) {
        answered(exchange.client());
    }

    @Override
    public void arm(Due timer, long at) {
        disarm(timer);
        armed.put(timer, at);
        order.add(timer);
    }

    @Override
    public void disarm(Due timer) {
        if (armed.remove(timer) != null) {
            order.removeIf(other -> other == timer);
        }
    }

    @Override
    public void closeIdle(long host) {
        idle[(int) host - 1] = 0;
    }

    @Override
    public void subscribe() {
        // Lists come when they come.
    }

    @Override
    public boolean recheck() {
        asks = true;
        return true;
    }

    @Override
    public void unexpected(RuntimeException thrown) {
        breaks("unexpected " + thrown);
    }

    // What a state is.

    /** Whether they are none, those in service, or earlier ones. */
    private int settingsOf(Terms terms) {
        if (terms == null) {
            return 0;
        }
        return terms == rules ? 1 : 2;
    }

    /** Two worlds with one fingerprint go on alike, but for what a module draws by chance. */
    public long fingerprint() {
        Fingerprint print = new Fingerprint();
        print.add(now).add(faults).add(lists).add(calls).add(renewals).add(stoppedAt).add(ledger.size())
                .add(stands).add(heard).add(asks ? 1 : 0).add(untold).add(stoodAt).add(ledger.waiting());
        for (Asked asked : requests) {
            print.add(asked.taken ? asked.takenAt : 0).add(asked.answers).add(asked.gone ? 1 : 0).add(settingsOf(asked.terms))
                    .add(asked.exchange == null ? 0 : settingsOf(asked.exchange.terms())).add(Math.min(2, asked.runs));
        }
        // Which number an attempt has makes no difference to what becomes of it.
        List<Long> each = new ArrayList<>();
        for (Carrier carrier : carriers) {
            if (carrier.phase != Phase.OVER || carrier.mayRun()) {
                each.add(new Fingerprint().add(carrier.asked.number).add(carrier.attempt.number()).add(carrier.host).add(carrier.phase.ordinal())
                        .add(carrier.sentAt).add((carrier.written ? 1 : 0) + (carrier.neverRan ? 2 : 0) + (carrier.abandoned ? 4 : 0)
                        + (carrier.onUsedConnection ? 8 : 0)).value());
            }
        }
        addSorted(print, each);
        for (int i = 0; i < listed.length; i++) {
            print.add(listed[i].ordinal()).add(startedAt[i]).add(leavingAt[i]).add(idle[i]).add(out[i] ? 1 : 0);
        }
        List<Long> timers = new ArrayList<>();
        for (Due timer : order) {
            long what = timer instanceof Attempt<?, ?, ?, ?> attempt ? 100 + attempt.number() + 10L * attempt.exchange().work().requestClass()
                    : timer instanceof Exchange<?, ?, ?, ?> ? 2 : 3;
            timers.add(new Fingerprint().add(what).add(armed.get(timer)).value());
        }
        addSorted(print, timers);
        Learnt learnt = ledger.learnt(now);
        return print.add(learnt == null ? 0 : learnt.hashCode()).value();
    }

    private static void addSorted(Fingerprint print, List<Long> values) {
        Collections.sort(values);
        values.forEach(print::add);
        print.add(-values.size());
    }
}
