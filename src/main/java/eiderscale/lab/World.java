package eiderscale.lab;

import eiderscale.Api;
import eiderscale.Router;
import eiderscale.config.Experiment;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One run of an experiment: a fleet, its load and its injuries in virtual time, the same to the byte for the same seed. One
 * thread.
 */
public final class World {
    /** Makes the decision module, given where its actions go. */
    public interface Module {
        /** As the constructor of {@link Router}. */
        Api.Events create(Api.Settings settings, long seed, Api.Actions actions);
    }

    /** One request of a recorded load: when, in nanoseconds, for which key and of which class by its number. */
    public record Traced(long at, long key, int requestClass) {
    }

    /** Chooses what is told of a run, line by line. */
    public record Story(Long key, String host, Long request, Consumer<String> lines) {
    }

    /** After the last arrival a run goes on until all is answered. */
    private static final long SETTLE_SPARE = 1_000_000_000L;

    final Experiment experiment;
    final Luck luck;
    final Events events = new Events();
    final List<LabHost> hosts = new ArrayList<>();
    final List<LabBalancer> balancers = new ArrayList<>();
    final Measures measures;
    final Auditor auditor;
    final Ledger ledger;
    final ListService discovery;
    final Clients clients;
    /** Whether joining hears of writes; off only where a test plants that fault. */
    boolean tellsWrites = true;
    private final Experiment.Settings settings;
    private final Module maker;
    private final List<String> zones;
    private final boolean[] cut;
    private final UniformRandomProvider clientLuck;
    private Story story;
    private List<Traced> trace = List.of();
    private List<Experiment.Injury> injuries;
    private long requests;
    private boolean full;
    private long digest = 0xcbf29ce484222325L;

    /** {@code settings}: the variant's; {@code factor}: its load beside the experiment's. */
    public World(Experiment experiment, Experiment.Settings settings, double factor, long seed, Module maker) {
        this.experiment = experiment;
        this.injuries = experiment.injuries();
        this.settings = settings;
        this.maker = maker;
        this.luck = new Luck(seed);
        this.zones = experiment.zones();
        this.cut = new boolean[zones.size()];
        this.measures = new Measures(experiment.settle(), experiment.length());
        this.auditor = new Auditor(events::now, Auditor.SLACK, settings.module(), experiment.balancers());
        this.ledger = new Ledger(this, experiment.ledger());
        this.clientLuck = luck.stream("clients' network");
        int at = 0;
        for (Experiment.Hosts kind : experiment.hosts()) {
            for (int i = 0; i < kind.count(); i++) {
                add(kind, kind.kind() + "-" + i, at++ % zones.size());
            }
        }
        for (int i = 0; i < experiment.balancers(); i++) {
            balancers.add(new LabBalancer(this, i, i % zones.size(), settings, maker));
        }
        this.discovery = new ListService(this, experiment.discovery(), experiment.balancers());
        this.clients = new Clients(this, experiment, settings.module(), factor, mix(settings), writes(settings));
    }

    /** With the product's own decisions. */
    public World(Experiment experiment, Experiment.Settings settings, double factor, long seed) {
        this(experiment, settings, factor, seed, Router::new);
    }

    /** A balancer's process dies; {@code back}: after how long another one starts under its name, which knows nothing. */
    void killed(LabBalancer balancer, long back) {
        balancer.die();
        auditor.forgets(balancer.number);
        if (back < 0) {
            return;
        }
        events.in(back + experiment.start(), () -> {
            if (balancers.get(balancer.number) == balancer) {
                LabBalancer fresh = new LabBalancer(this, balancer.number, balancer.zone, settings, maker);
                balancers.set(balancer.number, fresh);
                discovery.first(fresh);
            }
        });
    }

    private LabHost add(Experiment.Hosts kind, String name, int zone) {
        LabHost host = new LabHost(this, name, hosts.size(), kind, zone, Luck.mix(Luck.hash(name)));
        hosts.add(host);
        return host;
    }

    /** The parts of the requests up to each class, by its number. */
    private double[] mix(Experiment.Settings of) {
        double[] parts = new double[of.classes().size()];
        double sum = 0;
        for (int i = 0; i < parts.length; i++) {
            String name = of.classes().get(i);
            for (Experiment.Mix one : experiment.mix()) {
                sum += one.requestClass().equals(name) ? one.share() : 0;
            }
            parts[i] = experiment.mix().isEmpty() ? 1 : sum;
        }
        return parts;
    }

    private static boolean[] writes(Experiment.Settings of) {
        boolean[] writes = new boolean[of.classes().size()];
        for (int i = 0; i < writes.length; i++) {
            // What may not run twice, or only by key, changes something; a safe class here reads.
            writes[i] = of.module().classes().get(i).effect() != Api.Effect.RETRYABLE;
        }
        return writes;
    }

    /** Another script of injuries than the experiment's. */
    public World injured(List<Experiment.Injury> script) {
        injuries = List.copyOf(script);
        return this;
    }

    /** Tells the story of a key, a host or a request as it goes. */
    public World telling(Story what) {
        story = what;
        return this;
    }

    /** Asks what a recorded load asked, where the experiment's shape is that. */
    public World traced(List<Traced> recorded) {
        trace = recorded;
        return this;
    }

    /** Runs it to its end. Throws {@link IllegalStateException} with the place where it does not come to one. */
    public RunResult run() {
        warmUp();
        for (LabBalancer balancer : balancers) {
            discovery.first(balancer);
        }
        new Injuries(this).plan(injuries);
        clients.start(balancers, experiment.length());
        for (int i = 0; i < trace.size(); i++) {
            Traced one = trace.get(i);
            LabBalancer balancer = balancers.get(i % balancers.size());
            events.at(one.at(), () -> clients.traced(balancer, one.key(), one.requestClass()));
        }
        long longest = settings.module().classes().stream().mapToLong(Api.RequestClass::deadline).max().orElse(0);
        String stuck = null;
        try {
            events.run(experiment.length() + longest + SETTLE_SPARE);
        } catch (Events.Stuck e) {
            stuck = e.getMessage();
        }
        return RunResult.of(this, auditor.close(), digest, stuck, full);
    }

    /** Hosts that run when a day begins hold what they were asked for lately: the module itself says which keys live where. */
    private void warmUp() {
        long room = hosts.stream().mapToLong(host -> host.kind.keeps()).sum();
        if (room == 0) {
            return;
        }
        Placement placement = new Placement(settings.module(), hosts);
        long most = Math.min(room, experiment.load().keys());
        // The least wanted first, so that these go first.
        for (long key = most; key >= (experiment.load().hot() > 0 ? 0 : 1); key--) {
            LabHost home = placement.of(Luck.mix(key + 1));
            if (home != null) {
                home.fill(key);
            }
        }
    }

    /** Where the module sends the first read of a key while nothing is under way. */
    private static final class Placement implements Api.Actions {
        private final Api.Events module;
        private final Map<Long, LabHost> byId = new java.util.HashMap<>();
        private LabHost found;
        private long number;

        Placement(Api.Settings settings, List<LabHost> hosts) {
            module = new Router(settings, 1, this);
            List<Api.Server> servers = new ArrayList<>();
            for (LabHost host : hosts) {
                byId.put(host.id, host);
                servers.add(new Api.Server(host.id, host.zone, 0, 0, Api.State.READY, host.kind.weight(), 0));
            }
            module.onList(0, Api.ListMode.FULL, servers);
        }

        LabHost of(long key) {
            found = null;
            long now = ++number * 1_000_000_000L;
            module.onRequest(now, new Api.Request(number, 0, 0, key, now + 1_000_000_000L, 0, false, false));
            module.onOutcome(now + 1, new Api.Outcome(number, 0, Api.Reason.OK, 1, true, new float[0]));
            return found;
        }

        @Override
        public void send(long request, long server, long cutAt) {
            found = found == null ? byId.get(server) : found;
        }

        @Override
        public void cancel(long request, int attempt) {
            // Nothing is out.
        }

        @Override
        public void refuse(long request, long retryAfter) {
            // Placed nowhere.
        }

        @Override
        public void fail(long request) {
            // Placed nowhere.
        }

        @Override
        public void wakeAt(long moment, int token) {
            // No time passes.
        }

        @Override
        public void closeIdle(long server) {
            // There are no connections.
        }

        @Override
        public void subscribe() {
            // The list is here.
        }
    }

    /** More hosts of the first kind, cold, told as any change. */
    void grow(int count, int number) {
        for (int i = 0; i < count; i++) {
            LabHost host = add(experiment.hosts().get(0), "grown" + number + "-" + i, hosts.size() % zones.size());
            host.startedAt = now();
            discovery.ready(host);
        }
    }

    long now() {
        return events.now();
    }

    String zoneName(int zone) {
        return zones.get(zone);
    }

    void cut(String zone, boolean is) {
        cut[zones.indexOf(zone)] = is;
    }

    /** Whether anything goes between a balancer's zone and a host. */
    boolean reaches(int zone, LabHost host) {
        return !host.silent && (zone == host.zone || !cut[host.zone] && !cut[zone]);
    }

    long way(UniformRandomProvider draws, boolean near) {
        Experiment.Network network = experiment.network();
        return (long) ((near ? network.near() : network.far()) * (1 + network.jitter() * draws.nextDouble()));
    }

    long clientWay() {
        Experiment.Network network = experiment.network();
        return (long) (network.client() * (1 + network.jitter() * clientLuck.nextDouble()));
    }

    void count() {
        full |= ++requests >= experiment.mostRequests();
    }

    boolean isFull() {
        return full;
    }

    long requests() {
        return requests;
    }

    /** One event on the wires: the run's digest is made of all of them. */
    void digest(int kind, long one, long other) {
        long value = now() * 31 + kind;
        digest = (digest ^ value) * 0x100000001b3L;
        digest = (digest ^ (one * 0x9E3779B97F4A7C15L + other)) * 0x100000001b3L;
    }

    void trace(Call call, LabHost host, String what) {
        if (story == null) {
            return;
        }
        boolean fits = story.request != null && story.request == call.id || story.key != null && story.key == call.key
                || story.host != null && host != null && host.name.equals(story.host);
        if (fits) {
            story.lines.accept(line("request " + call.id + " key " + call.key + (host == null ? " " : " host " + host.name + " ") + what));
        }
    }

    void traceAll(String what) {
        if (story != null) {
            story.lines.accept(line(what));
        }
    }

    private String line(String what) {
        return String.format(java.util.Locale.ROOT, "%12.3f ms  %s", now() / 1e6, what);
    }
}
