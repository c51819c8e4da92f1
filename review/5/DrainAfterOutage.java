package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Six balancers follow discovery, which is down for some seconds; right after its return two cache hosts begin to drain. A change
 * counts as told 6 s after discovery had it and could be reached at the latest, and 1 s (and 50 ms) later nothing new may go there.
 */
public final class DrainAfterOutage extends Case {
    private static final int BALANCERS = 6;
    private static final int HOSTS = 6;
    private static final int DRAINING = 2;
    /** Between two reads of one client, of which each balancer has a few. */
    private static final long PAUSE_MS = 60;
    private static final int CLIENTS = 3;
    /** "Some seconds"; the longest named by number is 8 s. */
    private static final long OUTAGE_MS = 5_300;
    private static final long DRAIN_AFTER_MS = 100;
    private static final double TOLD_S = 6.0;
    private static final double GRACE_S = 1.0;
    private static final double SLACK_S = 0.05;

    /** Entry point. */
    public static void main(String[] args) {
        main(new DrainAfterOutage(), args[0]);
    }

    @Override
    protected int play() throws Exception {
        Discovery discovery = keep(new Discovery(record));
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            Host host = keep(new Host("s-" + i, record, 20, 20));
            hosts.add(host);
            discovery.put(host.uid, host.entry("Ready", 0));
        }
        List<Balancer> balancers = new ArrayList<>();
        for (int rank = 0; rank < BALANCERS; rank++) {
            Balancer.Config config = new Balancer.Config("n" + rank, Balancer.freePort(), 0, discovery.endpoint(), discovery.list(),
                    Settings.kochi().instances(BALANCERS).json(rank));
            balancers.add(keep(new Balancer(config, folder, folder.resolve("tmp" + rank), "n" + rank)));
        }
        for (Balancer balancer : balancers) {
            balancer.awaitReady();
        }
        AtomicInteger served = new AtomicInteger();
        for (Balancer balancer : balancers) {
            for (int i = 0; i < CLIENTS; i++) {
                Host.daemon("client of " + balancer.name, () -> load(balancer, served));
            }
        }
        // All of them watch by then: the first call comes within half of the time that the settings give for asking.
        Thread.sleep(7_000);
        need(discovery.calls() >= BALANCERS, "not all balancers have asked discovery");
        long backNs = System.nanoTime();
        if (trouble) {
            discovery.down();
            Thread.sleep(OUTAGE_MS);
            backNs = discovery.up();
        }
        Thread.sleep(DRAIN_AFTER_MS);
        long drainNs = backNs;
        for (int i = 0; i < DRAINING; i++) {
            drainNs = discovery.put(hosts.get(i).uid, hosts.get(i).entry("Terminating", 0));
        }
        record.show("two cache hosts drain");
        Thread.sleep(12_000);
        need(served.get() > 100, "hardly anything was served");
        double told = record.seconds(Math.max(drainNs, backNs)) + TOLD_S;
        double limit = told + GRACE_S + SLACK_S;
        record.show(String.format(Locale.ROOT, "told at %.3f at the latest, nothing new from %.3f on", told, limit));
        int late = 0;
        for (int i = 0; i < DRAINING; i++) {
            for (Host.Command command : hosts.get(i).commands()) {
                double at = record.seconds(command.firstNs());
                if (at > limit) {
                    late++;
                    record.note(command.firstNs(), "LATE, by " + String.format(Locale.ROOT, "%.3f s: ", at - limit) + command.host()
                            + " got " + command.line());
                }
            }
        }
        record.show("served " + served + ", sent to draining cache hosts after the grace: " + late);
        return late > 0 ? BROKEN : HELD;
    }

    private void load(Balancer balancer, AtomicInteger served) throws IOException, InterruptedException {
        while (true) {
            try (Client client = new Client(balancer.port, record)) {
                while (true) {
                    String key = String.format("%016x", ThreadLocalRandom.current().nextLong(1 << 20));
                    String answer = client.ask(Client.read(key, Client.id(), "view-statement", 1000), 3000);
                    if (answer == null) {
                        break;
                    }
                    if (answer.startsWith("VA ")) {
                        served.incrementAndGet();
                    }
                    Thread.sleep(PAUSE_MS);
                }
            }
        }
    }

}
