package eiderscale.fleet;

import com.fasterxml.jackson.jr.ob.JSON;
import eiderscale.Api;
import eiderscale.config.ConfigException;
import eiderscale.config.Experiment;
import eiderscale.lab.Auditor;
import eiderscale.lab.Luck;
import eiderscale.standin.Relay;
import eiderscale.standin.StandInDiscovery;
import eiderscale.standin.StandInOrigin;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One run of an experiment on real processes: balancers by the deploy file, stand-in hosts (a way to each for every zone),
 * stand-in discovery for each balancer, an open load, and the experiment's injuries. Bounded in time; whatever ends it, no
 * child is left.
 */
public final class FleetRun {
    /** What can be played on processes. */
    private static final Set<String> PLAYED = Set.of("kill", "restart", "silence", "slow", "half", "fail", "drain", "flush",
            "discovery-down", "discovery-busy", "surge", "balancer-stall", "balancer-kill", "balancer-gone", "cut");
    private static final long START_LIMIT_MS = 60_000;
    private static final long STOP_LIMIT_MS = 15_000;
    private static final long SPARE_S = 60;
    /** Descriptors of each balancer, as on the days that are scored. */
    private static final int SOCKETS = 1024;

    /** A life of a balancer: all times in nanoseconds of the run, negative where it did not come so far. */
    record Life(int balancer, long execAt, long listensAt, long servesAt) {
    }

    private final Experiment experiment;
    private final Experiment.Settings settings;
    private final double factor;
    private final Machine.Program program;
    private final Path folder;
    private final Luck luck;
    private final NioEventLoopGroup loops = new NioEventLoopGroup(3, new DefaultThreadFactory("stand-ins", true));
    private final ScheduledExecutorService script = Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("script", true));
    private final EventLoop clients = loops.next();
    private final List<Machine> machines = new ArrayList<>();
    private final List<StandInDiscovery> lists = new ArrayList<>();
    private final List<FleetHost> hosts = new ArrayList<>();
    private final Map<FleetHost, String> states = new LinkedHashMap<>();
    /** The way from each zone to each host. */
    private final Map<FleetHost, List<Relay>> ways = new LinkedHashMap<>();
    private final List<Life> lives = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final List<Throwable> faults = new ArrayList<>();
    private long origin;
    private long bootOrigin;
    private Auditor auditor;
    private Tally tally;
    private FleetLoad load;

    /**
     * {@code settings}: the variant's; {@code factor}: its load beside the experiment's; {@code folder}: where machines have
     * theirs; what is in it may be lost. Throws {@link ConfigException} that names what cannot be played on processes.
     */
    public FleetRun(Experiment experiment, Experiment.Settings settings, double factor, Machine.Program program, Path folder, long seed) {
        for (Experiment.Injury injury : experiment.injuries()) {
            if (!PLAYED.contains(injury.what())) {
                throw new ConfigException("injury '" + injury.what() + "' is not played on processes, only " + String.join(", ",
                        PLAYED.stream().sorted().toList()));
            }
        }
        if (experiment.load().shape() != Experiment.Shape.STEADY) {
            throw new ConfigException("load.shape: processes are asked at a steady rate alone");
        }
        this.experiment = experiment;
        this.factor = factor;
        this.settings = settings;
        this.program = program;
        this.folder = folder;
        this.luck = new Luck(seed);
    }

    private long now() {
        return System.nanoTime() - origin;
    }

    /** Plays it to its end. */
    public FleetResult run() throws IOException, InterruptedException {
        try (Keeper keeper = new Keeper()) {
            return play(keeper);
        } finally {
            script.shutdownNow();
            hosts.forEach(FleetHost::close);
            ways.values().forEach(all -> all.forEach(Relay::close));
            lists.forEach(StandInDiscovery::close);
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private FleetResult play(Keeper keeper) throws IOException, InterruptedException {
        origin = System.nanoTime();
        bootOrigin = System.currentTimeMillis();
        tally = new Tally(experiment.length());
        auditor = new Auditor(this::now, FleetLoad.GRACE, settings.module(), experiment.balancers());
        standIns();
        for (int i = 0; i < experiment.balancers(); i++) {
            machine(i, keeper);
        }
        for (Machine machine : machines) {
            machine.start();
        }
        for (Machine machine : machines) {
            machine.awaitListening(START_LIMIT_MS);
        }
        // The run's time begins when all are ready; what came before does not count.
        origin = System.nanoTime();
        bootOrigin = System.currentTimeMillis();
        load = new FleetLoad(experiment, settings, factor, clients, auditor, tally, origin, luck);
        machines.forEach(machine -> load.door(machine.port()));
        CountDownLatch done = new CountDownLatch(1);
        clients.execute(() -> load.start(done::countDown));
        for (Experiment.Injury injury : experiment.injuries()) {
            script.schedule(() -> guarded(() -> begin(injury)), injury.at(), TimeUnit.NANOSECONDS);
        }
        long[] before = new long[3];
        script.scheduleAtFixedRate(() -> sample(before), 0, Tally.WINDOW, TimeUnit.NANOSECONDS);
        boolean ended = done.await(experiment.length() / 1_000_000_000L + SPARE_S, TimeUnit.SECONDS);
        script.shutdownNow();
        script.awaitTermination(START_LIMIT_MS, TimeUnit.MILLISECONDS);
        return result(ended);
    }

    private FleetResult result(boolean ended) throws InterruptedException {
        // All answers are here, or their time is over by more than the grace.
        Thread.sleep(FleetLoad.GRACE / 1_000_000 + 100);
        Auditor.Findings[] findings = new Auditor.Findings[1];
        clients.submit(() -> findings[0] = auditor.close()).syncUninterruptibly();
        List<String> wrong = new ArrayList<>();
        for (int i = 0; i < machines.size(); i++) {
            Child child = machines.get(i).child();
            if (child.isAlive()) {
                try {
                    int code = child.stop(STOP_LIMIT_MS);
                    if (code != 0) {
                        wrong.add("balancer " + i + " ended with " + code + ": " + tail(child));
                    }
                } catch (IllegalStateException e) {
                    wrong.add("balancer " + i + " did not end within " + STOP_LIMIT_MS + " ms: " + tail(child));
                    child.kill();
                }
            } else if (!goneOnPurpose(i)) {
                wrong.add("balancer " + i + " has crashed: " + tail(child));
            }
        }
        faults.forEach(fault -> wrong.add("script: " + fault));
        if (!ended) {
            wrong.add("clients were not done in time");
        }
        long operations = load.operations();
        return new FleetResult(experiment, operations, load.served(), findings[0], tally, List.copyOf(lives), List.copyOf(events), wrong);
    }

    /** What each balancer's last process said, as far as it is kept: a file for each. */
    public void writeLogs(Path to) throws IOException {
        Files.createDirectories(to);
        for (int i = 0; i < machines.size(); i++) {
            Files.write(to.resolve("n" + i + ".log"), machines.get(i).child().log());
        }
    }

    private static String tail(Child child) {
        List<String> log = child.log();
        return String.join(" / ", log.subList(Math.max(0, log.size() - 5), log.size()));
    }

    // What stands round the balancers.

    private void standIns() throws InterruptedException {
        long ledgerMs = 0;
        int places = 0;
        if (experiment.hosts().stream().anyMatch(kind -> kind.keeps() > 0)) {
            ledgerMs = Math.max(1, experiment.ledger().work() / 1_000_000);
            places = experiment.ledger().places();
        }
        // The origin belongs to one loop, and so do all hosts behind which it stands.
        EventLoop hostLoop = loops.next();
        StandInOrigin ledger = new StandInOrigin(ledgerMs, places);
        List<String> zones = experiment.zones();
        for (Experiment.Hosts kind : experiment.hosts()) {
            for (int i = 0; i < kind.count(); i++) {
                FleetHost host = new FleetHost(hosts.size(), kind.kind() + "-" + i, zones.get(hosts.size() % zones.size()), kind, hostLoop,
                        ledger, luck, this::now, (one, command, runs) -> {
                            if (load != null) {
                                load.heard(command.id(), one, runs);
                            }
                        });
                hosts.add(host);
                states.put(host, "Ready");
                List<Relay> all = new ArrayList<>();
                for (int z = 0; z < zones.size(); z++) {
                    all.add(new Relay(hostLoop, host.server::address));
                }
                ways.put(host, all);
            }
        }
        UniformRandomProvider chance = luck.stream("discovery");
        for (int i = 0; i < experiment.balancers(); i++) {
            int number = i;
            StandInDiscovery list = new StandInDiscovery(loops.next());
            list.onTold((uid, state) -> clients.execute(() -> auditor.told(number, host(uid), state.equals("Ready") ? Api.State.READY
                    : Api.State.DRAINING)));
            list.takes(experiment.discovery().call());
            lists.add(list);
            for (FleetHost host : hosts) {
                list.put(host.name(), endpoint(host, i), host.zone, "Ready", 0);
            }
        }
        answering(1, chance);
    }

    private void answering(double oneIn, UniformRandomProvider chance) {
        for (StandInDiscovery list : lists) {
            // Each on a loop of its own thread.
            list.answers(() -> {
                synchronized (chance) {
                    return oneIn <= 1 || chance.nextDouble() * oneIn < 1;
                }
            });
        }
    }

    private FleetHost host(String name) {
        return hosts.stream().filter(host -> host.name().equals(name)).findFirst().orElseThrow();
    }

    private String endpoint(FleetHost host, int balancer) {
        return ways.get(host).get(balancer % experiment.zones().size()).endpoint();
    }

    // Balancers.

    private void machine(int number, Keeper keeper) throws IOException {
        Path own = Files.createDirectories(folder.resolve("machine" + number));
        machines.add(new Machine(program, own, port -> json(number, port), keeper));
    }

    private String json(int number, int port) {
        Api.Settings s = settings.module();
        List<Map<String, Object>> categories = new ArrayList<>();
        for (int i = 0; i < settings.classes().size(); i++) {
            Api.RequestClass c = s.classes().get(i);
            categories.add(map("name", settings.classes().get(i), "effect", c.effect() == Api.Effect.RETRYABLE ? "retryable"
                    : c.effect() == Api.Effect.DEDUP ? "dedup" : "fragile", "group", c.group().name().toLowerCase(java.util.Locale.ROOT),
                    "goal-time-ns", c.aim(), "deadline-ns", c.deadline(), "window-ns", c.window(), "worth", c.worth()));
        }
        List<Map<String, Object>> tenants = new ArrayList<>();
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenants.add(map("name", settings.tenants().get(i), "allowance-per-s", 1e9, "fraction", s.tenants().get(i).fraction()));
        }
        List<Map<String, Object>> targets = new ArrayList<>();
        synchronized (states) {
            states.forEach((host, state) -> {
                if (!state.equals("Gone")) {
                    targets.add(map("uid", host.name(), "endpoint", endpoint(host, number), "az", host.zone, "model", "m", "pod_group", 0,
                            "state", "Ready", "capacity_hint", 1.0, "boot_ms", 0));
                }
            });
        }
        Map<String, Object> site = map("categories", categories, "tenants", tenants, "zones", experiment.zones(), "kinds", List.of("m"),
                "my-zone", number % experiment.zones().size(), "rank", number, "n-instances", experiment.balancers(),
                "discovery", "subscribe", "load-report", map("fields", List.of("util")),
                "guarantees", map("ask-within-ns", s.askWithin(), "stop-sending-within-ns", s.drainGrace(), "warm-within-ns", s.warmWithin(),
                        "cold-from", s.coldFrom(), "tip-multiple", s.tipMultiple(), "fall-ns", s.fallTime()),
                "ceilings", map("max-attempts", s.maxAttempts(), "may-duplicate", s.mayDuplicate(), "cancelling", s.mayCancel(),
                        "retry-after", s.retryAfter(), "max-retry-after-ns", s.maxRetryAfter()));
        Map<String, Object> all = map("name", "n" + number, "listen", "127.0.0.1:" + port, "control", "127.0.0.1:0",
                "discovery", lists.get(number).endpoint(), "seed", Long.toHexString(luck.seedOf("balancer " + number + " life "
                        + (machines.size() > number ? machines.get(number).starts() : 0))),
                "limits", map("cores", 1.0, "memory_mb", 192, "sockets", SOCKETS),
                "known", map("rev", 0, "all", true, "targets", targets), "settings", site);
        try {
            return JSON.std.asString(all);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> made = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            made.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return made;
    }

    private boolean goneOnPurpose(int number) {
        int gone = 0;
        for (Experiment.Injury injury : experiment.injuries()) {
            gone = injury.what().equals("balancer-gone") ? Math.max(gone, some(injury).size()) : gone;
        }
        return number < gone;
    }

    // What goes wrong, on the script's thread.

    private interface Step {
        void take() throws IOException, InterruptedException;
    }

    private void guarded(Step step) {
        try {
            step.take();
        } catch (IOException | RuntimeException e) {
            faults.add(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void later(long length, Step step) {
        if (length > 0) {
            script.schedule(() -> guarded(step), length, TimeUnit.NANOSECONDS);
        }
    }

    private List<FleetHost> targets(Experiment.Injury injury) {
        List<FleetHost> found = new ArrayList<>(hosts);
        found.removeIf(host -> !injury.names(host.name(), host.zone));
        return List.copyOf(found.subList(0, injury.meets(found.size())));
    }

    private List<Integer> some(Experiment.Injury injury) {
        return IntStream.range(0, injury.meets(machines.size())).boxed().toList();
    }

    private void begin(Experiment.Injury injury) throws IOException, InterruptedException {
        events.add(String.format(java.util.Locale.ROOT, "%.2f s: %s", now() / 1e9, injury.text()));
        List<FleetHost> chosen = targets(injury);
        double factor = injury.factor();
        switch (injury.what()) {
            case "kill" -> {
                for (FleetHost host : chosen) {
                    host.server.kill();
                    gone(host);
                }
                later(injury.length(), () -> back(chosen));
            }
            case "restart" -> {
                for (FleetHost host : chosen) {
                    host.server.kill();
                }
                back(chosen);
            }
            case "silence" -> {
                ways(chosen, true);
                later(injury.length(), () -> ways(chosen, false));
            }
            case "slow" -> {
                chosen.forEach(host -> host.slow(factor));
                later(injury.length(), () -> chosen.forEach(host -> host.slow(1)));
            }
            case "half" -> {
                chosen.forEach(host -> host.half(true));
                later(injury.length(), () -> chosen.forEach(host -> host.half(false)));
            }
            case "fail" -> {
                chosen.forEach(host -> host.failing(Math.min(1, factor)));
                later(injury.length(), () -> chosen.forEach(host -> host.failing(0)));
            }
            case "drain" -> {
                for (FleetHost host : chosen) {
                    list(host, "Terminating", 0);
                }
                later(injury.length(), () -> {
                    for (FleetHost host : chosen) {
                        list(host, "Ready", 0);
                    }
                });
            }
            case "flush" -> chosen.forEach(host -> host.server.flush(Math.min(1, factor)));
            case "discovery-down" -> {
                for (StandInDiscovery list : lists) {
                    list.silent(true);
                }
                later(injury.length(), () -> {
                    for (StandInDiscovery list : lists) {
                        list.silent(false);
                    }
                });
            }
            case "discovery-busy" -> {
                UniformRandomProvider chance = luck.stream("discovery's refusals");
                answering(factor, chance);
                later(injury.length(), () -> answering(1, chance));
            }
            case "surge" -> {
                clients.execute(() -> load.surge(factor));
                later(injury.length(), () -> clients.execute(() -> load.surge(1)));
            }
            case "balancer-stall" -> stall(some(injury), injury.length());
            case "balancer-kill" -> kill(some(injury), injury.length());
            case "balancer-gone" -> kill(some(injury), -1);
            case "cut" -> {
                cut(injury.zone(), true);
                later(injury.length(), () -> cut(injury.zone(), false));
            }
            default -> throw new IllegalArgumentException(injury.what());
        }
    }

    private void ways(List<FleetHost> chosen, boolean cut) {
        chosen.forEach(host -> ways.get(host).forEach(way -> way.cut(cut, cut)));
    }

    /** Between a zone's hosts and balancers of other zones nothing goes, nor the other way round. */
    private void cut(String zone, boolean is) {
        int own = experiment.zones().indexOf(zone);
        ways.forEach((host, all) -> {
            for (int z = 0; z < all.size(); z++) {
                if (host.zone.equals(zone) != (z == own)) {
                    all.get(z).cut(is, is);
                }
            }
        });
    }

    private void list(FleetHost host, String state, long bootMs) throws InterruptedException {
        synchronized (states) {
            states.put(host, state);
        }
        host.drains(state.equals("Terminating"));
        for (int i = 0; i < lists.size(); i++) {
            lists.get(i).put(host.name(), endpoint(host, i), host.zone, state, bootMs);
        }
    }

    private void gone(FleetHost host) {
        long life = host.server.accepted();
        later(experiment.discovery().notices() + experiment.discovery().lag(), () -> {
            if (host.server.accepted() == life) {
                list(host, "Gone", 0);
            }
        });
    }

    private void back(List<FleetHost> chosen) throws InterruptedException {
        for (FleetHost host : chosen) {
            host.start();
            long boot = bootOrigin + now() / 1_000_000;
            later(Math.max(1, experiment.discovery().lag()), () -> list(host, "Ready", boot));
        }
    }

    private void stall(List<Integer> numbers, long length) throws IOException, InterruptedException {
        excuse(numbers, true);
        Child.signal("STOP", children(numbers));
        later(Math.max(1, length), () -> {
            Child.signal("CONT", children(numbers));
            // What came while it stood still is answered late, and that is not its doing.
            excuse(numbers, false);
        });
    }

    private List<Child> children(List<Integer> numbers) {
        return numbers.stream().map(number -> machines.get(number).child()).toList();
    }

    private void excuse(List<Integer> numbers, boolean begins) {
        clients.submit(() -> numbers.forEach(number -> load.excuse(number, begins))).syncUninterruptibly();
    }

    private void kill(List<Integer> numbers, long back) throws IOException, InterruptedException {
        excuse(numbers, true);
        Child.signal("KILL", children(numbers));
        clients.execute(() -> numbers.forEach(load::forgets));
        for (int number : numbers) {
            machines.get(number).crash();
        }
        if (back >= 0) {
            later(Math.max(1, back), () -> restart(numbers));
        }
    }

    private void restart(List<Integer> numbers) throws IOException {
        for (int number : numbers) {
            Machine machine = machines.get(number);
            Child child = machine.start();
            long execAt = child.startedAt() - origin;
            Thread waits = new Thread(() -> guarded(() -> ready(number, machine, child, execAt)), "start of " + number);
            waits.setDaemon(true);
            waits.start();
        }
    }

    private void ready(int number, Machine machine, Child child, long execAt) throws InterruptedException {
        try {
            machine.awaitListening(START_LIMIT_MS);
        } catch (IllegalStateException e) {
            if (!child.isKilled()) {
                throw e;
            }
            // It was killed once more before it listened.
            return;
        }
        long listensAt = now();
        excuse(List.of(number), false);
        long end = listensAt + TimeUnit.SECONDS.toNanos(SPARE_S);
        long servesAt = -1;
        while (servesAt < 0 && now() < end && machine.child() == child && child.isAlive()) {
            Thread.sleep(5);
            long[] told = new long[1];
            clients.submit(() -> told[0] = load.servedAt(number)).syncUninterruptibly();
            servesAt = told[0];
        }
        synchronized (lives) {
            lives.add(new Life(number, execAt, listensAt, servesAt));
        }
    }

    private void sample(long[] before) {
        long at = now();
        long opened = hosts.stream().mapToLong(host -> host.server.accepted()).sum();
        long calls = lists.stream().mapToLong(StandInDiscovery::calls).sum();
        long cpu = machines.stream().mapToLong(Machine::cpuMs).sum();
        double room = hosts.stream().filter(host -> host.isCold(at)).mapToDouble(host -> host.canDo(at, Tally.WINDOW)).sum();
        clients.execute(() -> {
            tally.add(Tally.Of.OPENED, at, opened - before[0]);
            tally.add(Tally.Of.CALLS, at, calls - before[1]);
            // A process that dies takes its count with it.
            tally.add(Tally.Of.CPU_MS, at, Math.max(0, cpu - before[2]));
            tally.add(Tally.Of.COLD_ROOM, at, room);
            before[0] = opened;
            before[1] = calls;
            before[2] = cpu;
        });
    }
}
