package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends some hundreds of reads at once and closes its connection. No attempt for it may begin more than 0.1 s (and 50 ms)
 * after the close.
 */
public final class LeaveBehindMany extends Case {
    private static final int HOSTS = 8;
    /** "Hundreds of commands at once". */
    private static final int COMMANDS = 600;
    private static final int CLIENTS = 5;
    private static final long PAUSE_MS = 2_000;
    /** As reads take that a cache host has to fetch from the origin. */
    private static final long WORK_MS = 200;
    private static final long SPREAD_MS = 60;
    private static final double MAY_BEGIN_S = 0.1;
    private static final double SLACK_S = 0.05;

    /** Entry point. */
    public static void main(String[] args) {
        main(new LeaveBehindMany(), args[0]);
    }

    @Override
    protected int play() throws Exception {
        Discovery discovery = keep(new Discovery(record));
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            Host host = keep(new Host("s-" + i, record, WORK_MS, SPREAD_MS));
            hosts.add(host);
            discovery.put(host.uid, host.entry("Ready", 0));
        }
        Balancer.Config config = new Balancer.Config("n0", Balancer.freePort(), 0, discovery.endpoint(), discovery.list(),
                Settings.kochi().json(0));
        Balancer balancer = keep(new Balancer(config, folder, folder.resolve("tmp"), "n0")).awaitReady();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < 4; i++) {
            Host.daemon("client", () -> load(balancer, served));
        }
        Thread.sleep(3_000);
        int late = 0;
        int begun = 0;
        for (int i = 0; i < CLIENTS; i++) {
            Set<String> ids = new HashSet<>();
            StringBuilder text = new StringBuilder();
            for (int k = 0; k < COMMANDS; k++) {
                String id = Client.id();
                ids.add(id);
                text.append(Client.read(key(), id, "view-statement", 1500));
            }
            Client client = new Client(balancer.port, record);
            client.send(text.toString());
            record.note("client " + i + " has sent " + COMMANDS + " reads at once, the last one " + text.substring(text.lastIndexOf("mg")).trim());
            if (!trouble) {
                client.socket.setSoTimeout(10_000);
                for (int k = 0; k < COMMANDS; k++) {
                    need(client.answer() != null, "a client that stays is not answered");
                }
            }
            client.close();
            long closedNs = System.nanoTime();
            record.show("client " + i + " has closed");
            Thread.sleep(PAUSE_MS);
            for (Host host : hosts) {
                for (Host.Command command : host.commands()) {
                    double after = (command.firstNs() - closedNs) / 1e9;
                    begun += ids.contains(command.id()) ? 1 : 0;
                    if (ids.contains(command.id()) && after > MAY_BEGIN_S + SLACK_S) {
                        late++;
                        record.note(command.firstNs(), String.format(Locale.ROOT, "LATE, %.3f s after the close of client %d: ", after, i)
                                + command.host() + " got " + command.line());
                    }
                }
            }
        }
        need(served.get() > 20, "hardly anything was served");
        record.show("attempts for clients that sent many: " + begun + ", begun more than 0.15 s after the close: " + late);
        return late > 0 ? BROKEN : HELD;
    }

    private static String key() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong(1 << 20));
    }

    private void load(Balancer balancer, AtomicInteger served) throws IOException, InterruptedException {
        while (true) {
            try (Client client = new Client(balancer.port, record)) {
                String answer = "";
                while (answer != null) {
                    answer = client.ask(Client.read(key(), Client.id(), "view-statement", 1500), 5000);
                    if (answer != null && answer.startsWith("VA ")) {
                        served.incrementAndGet();
                    }
                    Thread.sleep(100);
                }
            }
        }
    }
}
