package eiderscale.cli;

import eiderscale.net.LibraryLog;
import eiderscale.net.Totals;
import eiderscale.sidecar.Sidecar;
import eiderscale.standin.Load;
import eiderscale.standin.StandInDiscovery;
import eiderscale.standin.StandInHost;
import eiderscale.standin.StandInOrigin;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** A whole fleet in one process, so that the rules can be seen at work. */
@Command(name = "demo", mixinStandardHelpOptions = true,
        description = "Runs stand-in hosts, their origin, discovery, a sidecar and a small load on loopback, kills "
        + "one host half way and starts it again, and sums up. Exits 1 if a rule was broken.")
final class DemoCommand implements Callable<Integer> {
    private static final int HOSTS = 4;
    private static final int CLIENTS = 24;
    private static final int KEYS = 500;
    private static final long PAUSE_MS = 40;
    private static final long ORIGIN_MS = 25;
    private static final long WORK_MS = 4;
    private static final long STALL_MS = 120;
    private static final long DEADLINE_MS = 1500;
    private static final long SPARE_MS = 1000;
    private static final long LOOK_MS = 500;
    private static final long SETTLE_MS = 2500;
    private static final int FOREVER = 24 * 3600;
    private static final String FILE = """
            application = "demo"
            listen = ["127.0.0.1:0"]
            [pool]
            source = "discovery"
            discovery = "%s"
            [[classes]]
            name = "view-statement"
            operation = "read"
            effect = "safe"
            aim = "750ms"
            deadline = "1500ms"
            [[classes]]
            name = "request-copy"
            operation = "write"
            effect = "unsafe"
            aim = "750ms"
            deadline = "1500ms"
            [[classes]]
            name = "update-nominee"
            operation = "write"
            effect = "keyed"
            window = "5s"
            aim = "750ms"
            deadline = "1500ms"
            # end
            """;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seconds", paramLabel = "N", description = "Ends after so long; without it, at Ctrl-C.")
    private int seconds = FOREVER;

    private final StandInOrigin origin = new StandInOrigin(ORIGIN_MS);
    private final List<StandInHost> hosts = new ArrayList<>();
    private final long seed = System.nanoTime();

    @Override
    public Integer call() throws Exception {
        LibraryLog.install();
        NioEventLoopGroup world = new NioEventLoopGroup(1, new DefaultThreadFactory("stand-ins", true));
        NioEventLoopGroup own = new NioEventLoopGroup(1, new DefaultThreadFactory("loop", true));
        Path file = Files.createTempFile("stairshelf-demo", ".toml");
        try (StandInDiscovery discovery = new StandInDiscovery(world.next())) {
            SplittableRandom stalls = new SplittableRandom(seed);
            for (int i = 0; i < HOSTS; i++) {
                StandInHost host = new StandInHost(world.next(), origin);
                // One command in a hundred stalls: that is what copies are for.
                host.script(command -> new StandInHost.Turn(eiderscale.standin.Injury.NONE,
                        stalls.nextInt(100) == 0 ? STALL_MS : WORK_MS));
                hosts.add(host);
                discovery.put("host-" + i, host.endpoint(), "Ready", 0);
            }
            Files.writeString(file, String.format(Locale.ROOT, FILE, discovery.endpoint()));
            Sidecar sidecar = Sidecar.start(file, own.next(), line -> { });
            return run(sidecar, discovery, world.next());
        } finally {
            Files.deleteIfExists(file);
        }
    }

    private int run(Sidecar sidecar, StandInDiscovery discovery, EventLoop world) throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        out.println("a sidecar on 127.0.0.1:" + sidecar.addresses().get(0).getPort() + ", " + HOSTS
                + " stand-in hosts behind it, " + CLIENTS + " clients before it");
        Load load = new Load(world, sidecar.addresses().get(0), DemoCommand::ask, PAUSE_MS, DEADLINE_MS + SPARE_MS,
                seed);
        Thread main = Thread.currentThread();
        boolean[] summed = new boolean[1];
        // Ctrl-C wants its summary too: the hook wakes the main thread and waits until it has been printed.
        Thread hook = new Thread(() -> {
            main.interrupt();
            awaitSummary(summed);
        }, "interrupt");
        Runtime.getRuntime().addShutdownHook(hook);
        for (int waited = 0; sidecar.hosts() < HOSTS && waited < SETTLE_MS; waited += 20) {
            Thread.sleep(20);
        }
        load.start(CLIENTS);
        watch(sidecar, load, discovery, out);
        Thread.interrupted();
        load.stop();
        Load.Counts counts = settle(load);
        boolean kept = summary(counts, sidecar.totals(), out);
        sidecar.stop().await(SETTLE_MS);
        synchronized (summed) {
            summed[0] = true;
            summed.notifyAll();
        }
        return kept ? Stairshelf.GOOD : Stairshelf.CANNOT_RUN;
    }

    private static void awaitSummary(boolean[] summed) {
        synchronized (summed) {
            long until = System.currentTimeMillis() + 2 * SETTLE_MS;
            while (!summed[0] && System.currentTimeMillis() < until) {
                try {
                    summed.wait(LOOK_MS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private void watch(Sidecar sidecar, Load load, StandInDiscovery discovery, PrintWriter out) {
        boolean live = System.console() != null;
        long begun = System.nanoTime();
        int half = seconds == FOREVER ? 5 : Math.max(1, seconds / 2);
        int downFor = Math.max(1, Math.min(3, seconds / 4));
        int stage = 0;
        try {
            double passed = 0;
            while (passed < seconds) {
                Thread.sleep(LOOK_MS);
                passed = (System.nanoTime() - begun) / 1e9;
                if (stage == 0 && passed >= half) {
                    stage = 1;
                    hosts.get(0).kill();
                    out.println((live ? "\n" : "") + "-- host 0 is killed; discovery does not know yet");
                } else if (stage == 1 && passed >= half + downFor) {
                    stage = 2;
                    hosts.get(0).start();
                    discovery.put("host-0", hosts.get(0).endpoint(), "Ready", System.currentTimeMillis());
                    out.println((live ? "\n" : "") + "-- host 0 is back, cold: it gets part of its work at first");
                }
                line(passed, load.counts(), sidecar.totals(), live, out);
            }
        } catch (InterruptedException e) {
            out.println();
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
        out.println();
    }

    private static void line(double at, Load.Counts counts, Totals totals, boolean live, PrintWriter out) {
        String text = String.format(Locale.ROOT, "%5.1f s  requests %d  served %d  refused %d  failed %d  hedged %d"
                + "  p50 %.1f ms  p99 %.1f ms", at, counts.asked(), counts.served(), counts.refused(),
                counts.failed() + counts.lost(), totals.copies(), counts.p50(), counts.p99());
        out.print(live ? "\r" + text + "   " : text + System.lineSeparator());
        out.flush();
    }

    private static Load.Counts settle(Load load) throws Exception {
        Load.Counts counts = load.counts();
        for (long waited = 0; counts.open() > 0 && waited < SETTLE_MS; waited += 50) {
            Thread.sleep(50);
            counts = load.counts();
        }
        return counts;
    }

    private boolean summary(Load.Counts counts, Totals totals, PrintWriter out) {
        Map<String, Integer> runs = new HashMap<>();
        hosts.forEach(host -> host.runs().forEach((id, times) -> {
            if (id.startsWith("u")) {
                runs.merge(id, times, Integer::sum);
            }
        }));
        long twice = runs.values().stream().filter(times -> times > 1).count();
        out.printf(Locale.ROOT, "%nclients:   asked %d = served %d + refused %d + failed %d + lost %d + open %d: %s%n",
                counts.asked(), counts.served(), counts.refused(), counts.failed(), counts.lost(), counts.open(),
                counts.addUp() ? "adds up" : "DOES NOT ADD UP");
        long ended = totals.served() + totals.refused() + totals.failed() + totals.gone();
        out.printf(Locale.ROOT, "balancer:  took %d = served %d + refused %d + failed %d + gone %d: %s%n",
                totals.taken(), totals.served(), totals.refused(), totals.failed(), totals.gone(),
                totals.taken() == ended ? "adds up" : "DOES NOT ADD UP");
        out.printf(Locale.ROOT, "hosts:     %d unsafe writes ran, %d of them more than once; %d reads were copied; "
                + "the origin was asked %d times%n", runs.size(), twice, totals.copies(), origin.fetches());
        boolean kept = counts.addUp() && counts.lost() == 0 && twice == 0 && counts.open() == 0
                && totals.taken() == ended && totals.taken() == counts.asked();
        out.println(kept ? "all rules kept" : "A RULE WAS BROKEN");
        out.flush();
        return kept;
    }

    /** Shares as in service: mostly reads of few keys, some writes that must not run twice, some keyed. */
    private static Load.Ask ask(SplittableRandom random, long number) {
        double dice = random.nextDouble();
        int key = (int) (KEYS * Math.pow(random.nextDouble(), 3));
        if (dice < 0.91) {
            return new Load.Ask("r" + number, "mg stmt:" + key + " v Or" + number + " Pc=view-statement,d="
                    + DEADLINE_MS, null);
        }
        boolean unsafe = dice < 0.97;
        String id = (unsafe ? "u" : "k") + number;
        String list = unsafe ? "c=request-copy" : "c=update-nominee,k=" + id;
        return new Load.Ask(id, "ms stmt:" + key + " 4 O" + id + " P" + list + ",d=" + DEADLINE_MS, "data");
    }
}
