package eiderscale.plan;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * A fleet under a load, as a fixed point: misses make fetches, fetches take time, time keeps slots and makes copies and failures,
 * and these make attempts and tries, which are load again. It may have two solutions; which one is found depends on where it
 * begins: {@link #calm} with nothing wrong, {@link #wrecked} with no copies kept and everybody trying again.
 */
final class Model {
    private static final int ROUNDS = 400;
    private static final double DAMPING = 0.35;
    private static final double NEAR = 1e-6;
    /** Of what full hosts could do, the balancers' shedding lets so much be done. */
    private static final double FULL = 0.97;
    /** Attempts beside the first that a read may have, its budget allowing. */
    private static final int REPEATS = 3;
    /** Balancers shed until half of what is out is answered within this part of the aim (the module's sign of overload). */
    private static final double SLOW = 0.45;

    /** The state that is iterated. {@code fetch}: seconds of one, its wait counted; {@code brought}: part of fetches that succeed. */
    private record State(double misses, double fetch, double brought, double attempts, double tries, double served) {
        private State towards(State other) {
            return new State(mix(misses, other.misses), mix(fetch, other.fetch), mix(brought, other.brought), mix(attempts, other.attempts),
                    mix(tries, other.tries), mix(served, other.served));
        }

        private static double mix(double one, double other) {
            return one + DAMPING * (other - one);
        }

        private boolean isNear(State other) {
            return Math.abs(misses - other.misses) < NEAR && Math.abs(fetch - other.fetch) < NEAR * 10 && Math.abs(brought - other.brought) < NEAR
                    && Math.abs(attempts - other.attempts) < NEAR && Math.abs(tries - other.tries) < NEAR;
        }
    }

    private final Fleet fleet;
    private final double weights;
    private final double step;
    /** Fetches that can wait: where hosts' slots or the balancers' patience end before the ledger's line does, the rest is shed. */
    private final int line;
    private final boolean sheds;

    Model(Fleet fleet) {
        this.fleet = fleet;
        this.weights = fleet.hosts().stream().mapToDouble(one -> one.count() * one.weight()).sum();
        this.step = fleet.deadline() / (Times.SIZE - 1);
        Fleet.Ledger ledger = fleet.ledger();
        double slots = fleet.hosts().stream().filter(one -> one.keeps() > 0).mapToDouble(one -> one.count() * one.slots()).sum();
        double room = Math.max(1, Math.min(slots - ledger.places(), ledger.places() * SLOW * fleet.aim() / ledger.work()));
        this.sheds = room < ledger.queue();
        this.line = (int) Math.min(room, ledger.queue());
    }

    /** What is to be expected of a fleet that has been well. */
    Forecast calm() {
        return calm(true);
    }

    /** {@code timed}: whether times are wanted, which cost most of the work; without, all that is served counts as in time. */
    Forecast calm(boolean timed) {
        return settle(new State(fleet.keepsCopies() ? 0.05 : 0, fleet.ledger().work(), 1, 1, 1, 1), timed);
    }

    /** And of one that has lost its copies, with all its clients trying again. */
    Forecast wrecked() {
        return wrecked(true);
    }

    Forecast wrecked(boolean timed) {
        Fleet.Ledger ledger = fleet.ledger();
        return settle(new State(fleet.keepsCopies() ? 1 : 0, ledger.work() * (1 + (double) line / ledger.places()), sheds ? 1 : 0.1, 1 + fleet.further(),
                1 + fleet.demand().retries(), 0.1), timed);
    }

    private Forecast settle(State from, boolean timed) {
        State state = from;
        boolean settled = false;
        for (int i = 0; i < ROUNDS && !settled; i++) {
            State next = next(state);
            settled = state.isNear(next);
            state = state.towards(next);
        }
        return forecast(state, settled, timed);
    }

    /** Requests a second that come to balancers. */
    private double calls(State state) {
        return fleet.demand().rate() * state.tries;
    }

    /** Attempts a second that hosts begin: what they cannot do is shed by the balancers. */
    private double done(State state) {
        return Math.min(calls(state) * state.attempts, FULL * capacity(state));
    }

    private double capacity(State state) {
        return capacity(state, state.fetch);
    }

    /** Attempts a second that all slots together can do, where a fetch takes so long. */
    private double capacity(State state, double fetch) {
        double sum = 0;
        for (Fleet.Hosts one : fleet.hosts()) {
            sum += one.count() * one.slots() / held(one, state, fetch);
        }
        return sum;
    }

    /** Seconds that an attempt keeps its slot: a host that has to ask the ledger keeps it meanwhile. */
    private double held(Fleet.Hosts one, State state) {
        return held(one, state, state.fetch);
    }

    private double held(Fleet.Hosts one, State state, double fetch) {
        return one.keeps() <= 0 ? one.work() : one.work() + asks(state) * fetch;
    }

    /** The part of attempts that a host which keeps copies has to ask the ledger for. */
    private double asks(State state) {
        return fleet.keepsCopies() ? fleet.reads() * state.misses + 1 - fleet.reads() : 0;
    }

    /** The part of a host's requests that go by what else is out at it: one balancer sees its own alone. */
    private double seen() {
        return fleet.candidates() < 2 ? 0 : 1.0 / Math.sqrt(fleet.balancers());
    }

    /**
     * The part of a key's requests that go to its second candidate: those before which this balancer had more out at the first one,
     * with numbers by Poisson, and copies of slow ones.
     */
    private double second(State state) {
        if (fleet.candidates() < 2 || fleet.count() < 2) {
            return 0;
        }
        double done = done(state);
        double out = 0;
        for (Fleet.Hosts one : fleet.hosts()) {
            out += done * one.count() * one.weight() / weights * (held(one, state) + 2 * fleet.way());
        }
        double each = out / fleet.count() / fleet.balancers();
        // P(X = Y) = exp(-2m) I0(2m); for large m the modified Bessel function is exp(2m) / sqrt(4 pi m).
        double same = 0;
        double term = Math.exp(-2 * Math.min(300, each));
        for (int k = 0; k < 400; k++) {
            same += term;
            term *= each * each / ((k + 1.0) * (k + 1.0));
        }
        double busier = Math.max(0, Math.min(0.5, (1 - same) / 2));
        return Math.min(0.5, busier + (1 - busier) * (state.attempts - 1) / state.attempts);
    }

    private State next(State state) {
        double done = done(state);
        double misses = 0;
        double fetches = 0;
        Waiting ledger = new Waiting(0, 0, 0);
        if (fleet.keepsCopies()) {
            double keeps = 0;
            for (Fleet.Hosts one : fleet.hosts()) {
                keeps += one.count() * one.keeps();
            }
            double reads = done * fleet.reads();
            double writes = done * (1 - fleet.reads());
            misses = Copies.misses(fleet.demand().popularity().classes(), reads, writes * state.brought, fleet.count(), second(state),
                    keeps / fleet.count(), Math.max(0.001, state.brought), state.fetch);
            fetches = reads * misses + writes;
            ledger = Waiting.central(fetches, fleet.ledger().work(), fleet.ledger().cv(), fleet.ledger().places(), line);
        }
        double fetch = fleet.ledger().work() + ledger.mean();
        double share = fleet.keepsCopies() ? fleet.reads() * misses + 1 - fleet.reads() : 0;
        double failed = failed(share, ledger);
        double overload = Math.min(1, FULL * capacity(state) / Math.max(1e-9, calls(state) * state.attempts))
                * (sheds ? 1 - ledger.refused() : 1);
        // Copies and repeats are drawn from one budget; in overload there are none but what it leaves free.
        double copies = fleet.hedgeAt() < 1 ? (1 - fleet.hedgeAt()) * fleet.reads() : 0;
        double repeats = fleet.reads() * (failed + failed * failed + failed * failed * failed);
        double attempts = 1 + Math.min(fleet.further(), overload < 0.999 ? repeats : copies + repeats);
        double again = Math.min(1, fleet.further() / Math.max(1e-9, copies + repeats));
        // A read that failed is sent again, by its balancer and then by its client; an unsafe request only if it was refused.
        double lost = failed;
        for (int i = 0; i < REPEATS; i++) {
            lost = failed * (1 - again + again * lost);
        }
        double read = overload * (1 - lost);
        double tries = 0;
        double served = 0;
        double readsLeft = fleet.reads();
        double writesLeft = 1 - fleet.reads();
        for (int i = 0; i <= fleet.demand().retries(); i++) {
            tries += readsLeft + writesLeft;
            served += readsLeft * read + writesLeft * overload * (1 - failed);
            readsLeft *= 1 - read;
            writesLeft *= 1 - overload;
        }
        return new State(misses, fetch, sheds ? 1 : Math.max(0.001, 1 - ledger.refused()), attempts, tries, served);
    }

    /** The part of attempts that end in an error. */
    private double failed(double asks, Waiting ledger) {
        double failing = 0;
        for (Fleet.Hosts one : fleet.hosts()) {
            failing += one.count() * one.weight() / weights * one.fails();
        }
        return 1 - (1 - failing) * (1 - (sheds ? 0 : asks * ledger.refused()));
    }

    private Forecast forecast(State state, boolean settled, boolean timed) {
        double calls = calls(state);
        double done = done(state);
        double offered = calls * state.attempts;
        double fetches = done * asks(state);
        Fleet.Ledger ledger = fleet.ledger();
        Waiting line = Waiting.central(fetches, ledger.work(), ledger.cv(), ledger.places(), this.line);
        double sojourn = 0;
        for (Fleet.Hosts one : fleet.hosts()) {
            Waiting wait = Waiting.chosen(done * one.weight() / weights, held(one, state), cv(one, state, line), one.slots(), one.queue(), seen());
            sojourn += one.count() * one.weight() / weights * (held(one, state) + wait.mean() + 2 * fleet.way());
        }
        double hot = hotKey(state, offered);
        boolean full = offered > done * 1.001 || hot > 1 || line.refused() > 0.01;
        double clients = 2 * fleet.clientWay();
        Times seen = timed ? times(state, done, line, full) : null;
        double inTime = timed ? seen.within(fleet.deadline() - clients) : 1;
        double inAim = timed ? seen.within(fleet.aim() - clients) : 1;
        double mean = timed ? seen.mean() : sojourn;
        // What of the hottest key its hosts cannot do.
        double lost = hot > 1 ? fleet.demand().popularity().top() * (1 - FULL / hot) : 0;
        double served = Math.max(0, Math.min(state.served, 1 - lost));
        Map<Limit, Double> use = new EnumMap<>(Limit.class);
        // Where slots are kept by a line before the ledger, it is the ledger that is used up.
        use.put(Limit.HOSTS, offered / capacity(state, ledger.work()));
        if (fleet.keepsCopies()) {
            use.put(Limit.LEDGER, offered * asks(state) * ledger.work() / ledger.places());
        }
        use.put(Limit.HOT_KEY, hot);
        use.put(Limit.CLIENTS, calls / fleet.balancers() * (mean + clients) / fleet.clients());
        use.put(Limit.LINKS, done / fleet.balancers() * sojourn / fleet.links());
        use.put(Limit.ACCEPTS, accepts(done, sojourn));
        if (fleet.balancerRate() > 0) {
            use.put(Limit.BALANCERS, offered / fleet.balancers() / fleet.balancerRate());
        }
        // How long those take that get through where not all do depends on what the balancers shed, moment by moment: no number is given.
        return new Forecast(fleet.demand().rate(), served * inTime, served * inAim, full || !timed ? Double.NaN : seen.quantile(0.5) + clients,
                full || !timed ? Double.NaN : seen.quantile(0.99) + clients, done / calls, state.tries, 1 - state.misses, fetches, use, sure(settled, full));
    }

    /** Until a balancer has an answer, over all hosts, with copies of slow reads and repeats of failed ones. */
    private Times times(State state, double done, Waiting line, boolean full) {
        Times answer = null;
        double before = 0;
        Map<String, Times> kinds = new HashMap<>();
        for (Fleet.Hosts one : fleet.hosts()) {
            double part = one.count() * one.weight() / weights;
            Times mine = kinds.computeIfAbsent(one.kind(), kind -> times(one, state, Waiting.chosen(done * one.weight() / weights,
                    held(one, state), cv(one, state, line), one.slots(), one.queue(), seen()), line));
            before += part;
            answer = answer == null ? mine : answer.or(part / before, mine);
        }
        Times seen = fleet.hedgeAt() < 1 && !full ? answer.orCopy(answer.quantile(fleet.hedgeAt()), fleet.reads()) : answer;
        double failed = failed(asks(state), line) * fleet.reads();
        return failed > 1e-4 ? seen.or(failed, seen.then(seen)) : seen;
    }

    private String sure(boolean settled, boolean full) {
        if (!settled) {
            return "no steady state was found: the figures are of one moment of a swing";
        }
        return full ? "more is asked than can be done: who is refused depends on tenants and worth, and times are not told" : "";
    }

    /** How much the time in a slot varies, with fetches in it. */
    private double cv(Fleet.Hosts one, State state, Waiting line) {
        double held = held(one, state);
        double asks = one.keeps() > 0 ? asks(state) : 0;
        double fetch = fleet.ledger().work() + line.mean();
        double own = one.work() * one.work() * (1 + one.cv() * one.cv());
        double second = own + asks * (2 * one.work() * fetch + fetch * fetch * (1 + fleet.ledger().cv() * fleet.ledger().cv()));
        return Math.sqrt(Math.max(0, second / (held * held) - 1));
    }

    private Times times(Fleet.Hosts one, State state, Waiting wait, Waiting line) {
        Times own = Times.lognormal(step, one.work(), one.cv()).then(Times.wait(step, wait.all(), wait.mean()));
        if (one.keeps() > 0) {
            Times fetch = Times.lognormal(step, fleet.ledger().work(), fleet.ledger().cv()).then(Times.wait(step, line.all(), line.mean()));
            own = own.or(asks(state), own.then(fetch));
        }
        return own.then(Times.lognormal(step, 2 * fleet.way(), 0));
    }

    /** The most wanted key has as many candidates as the module gives it: three hosts of capacity for each host's worth of traffic. */
    private double hotKey(State state, double offered) {
        double part = fleet.demand().popularity().top();
        double candidates = fleet.candidates() < 2 ? 1
                : Math.min(fleet.count(), Math.max(fleet.candidates(), Math.min(32, Math.ceil(part * fleet.count() * 3))));
        double slots = 0;
        double held = 0;
        for (Fleet.Hosts one : fleet.hosts()) {
            slots += one.count() * one.slots();
            // It is always there: a host that keeps copies answers it from one.
            held += one.count() * (one.keeps() > 0 ? one.work() + (1 - fleet.reads()) * state.fetch : one.work());
        }
        return offered * part * (held / fleet.count()) / (candidates * slots / fleet.count());
    }

    private double accepts(double done, double sojourn) {
        double most = 0;
        for (Fleet.Hosts one : fleet.hosts()) {
            most = Math.max(most, done * one.weight() / weights * sojourn / one.connections());
        }
        return most;
    }
}
