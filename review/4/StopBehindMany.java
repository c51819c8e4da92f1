package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Clients send many reads at once on one connection each, and read their answers as these come. While they wait the balancer gets
 * SIGTERM, as at a planned restart, and no SIGKILL. Each of these reads is owed one final answer.
 */
public final class StopBehindMany extends Case {
    private static final int HOSTS = 8;
    private static final int CLIENTS = 3;
    /** "Many commands at once", "hundreds". */
    private static final int COMMANDS = 200;
    private static final long WORK_MS = 250;
    private static final long SPREAD_MS = 100;
    private static final long WAIT_MS = 1_500;
    /** From the commands to the signal. */
    private static final long STOP_AFTER_MS = 200;
    /** The longest deadline of the settings and 0.7 s: no SIGKILL comes before that. */
    private static final long GRANTED_MS = 2_500 + 700;

    /** Entry point. */
    public static void main(String[] args) {
        main(new StopBehindMany(), args[0]);
    }

    @Override
    protected int play() throws Exception {
        Discovery discovery = keep(new Discovery(record));
        for (int i = 0; i < HOSTS; i++) {
            Host host = keep(new Host("s-" + i, record, WORK_MS, SPREAD_MS));
            discovery.put(host.uid, host.entry("Ready", 0));
        }
        Balancer.Config config = new Balancer.Config("n0", Balancer.freePort(), 0, discovery.endpoint(), discovery.list(),
                Settings.kochi().json(0));
        Balancer balancer = keep(new Balancer(config, folder, folder.resolve("tmp"), "n0")).awaitReady();
        Thread.sleep(1_500);
        List<Client> clients = new ArrayList<>();
        List<Thread> readers = new ArrayList<>();
        int[] answered = new int[CLIENTS];
        Map<String, Integer> kinds = new TreeMap<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = keep(new Client(balancer.port, record));
            // In use before, as connections are that clients keep.
            need(client.ask(Client.read(key(), Client.id(), "view-statement", WAIT_MS), 5_000).startsWith("VA "), "nothing is served");
            clients.add(client);
        }
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            StringBuilder text = new StringBuilder();
            for (int k = 0; k < COMMANDS; k++) {
                text.append(Client.read(key(), Client.id(), "view-statement", WAIT_MS));
            }
            clients.get(i).socket.setSoTimeout(20_000);
            clients.get(i).send(text.toString());
            record.show("client " + i + " has sent " + COMMANDS + " reads at once");
            readers.add(Host.daemon("reader", () -> {
                while (answered[number] < COMMANDS) {
                    String answer;
                    try {
                        answer = clients.get(number).answer();
                    } catch (IOException e) {
                        record.show("the connection of client " + number + " broke: " + e.getMessage());
                        return;
                    }
                    if (answer == null) {
                        record.show("the connection of client " + number + " was ended");
                        return;
                    }
                    answered[number]++;
                    record.note("client " + number + " is answered " + answer);
                    synchronized (kinds) {
                        kinds.merge(answer.split(" [0-9O]")[0], 1, Integer::sum);
                    }
                }
            }));
        }
        Thread.sleep(STOP_AFTER_MS);
        if (trouble) {
            balancer.signal("TERM");
            record.show("SIGTERM to the balancer");
        }
        long end = System.nanoTime() + (trouble ? GRANTED_MS : 12_000) * 1_000_000;
        for (Thread reader : readers) {
            reader.join(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        record.show("the balancer " + (balancer.isAlive() ? "runs" : "has ended with " + balancer.exitCode()));
        int lost = 0;
        for (int i = 0; i < CLIENTS; i++) {
            lost += COMMANDS - answered[i];
            record.show("client " + i + ": of " + COMMANDS + " reads " + (COMMANDS - answered[i]) + " have no answer");
        }
        synchronized (kinds) {
            record.show("answers " + kinds);
        }
        return lost > 0 ? BROKEN : HELD;
    }

    private static String key() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong(1 << 20));
    }
}
