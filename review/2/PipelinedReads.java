package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Clients send some dozens of reads of 60,000 bytes at once and read the answers as they come. All cache hosts are sound. Each read is
 * owed one final answer.
 */
public final class PipelinedReads extends Case {
    private static final int HOSTS = 6;
    private static final int CLIENTS = 12;
    /** Reads of a client in one round. */
    private static final int READS = 40;
    /** The protocol's values hold at most 64 KiB. */
    private static final int LENGTH = 60_000;
    private static final long WAIT_MS = 1_500;
    private static final int ROUNDS = 8;
    private static final long PAUSE_MS = 1_000;
    private static final int PATIENCE_MS = 10_000;

    private final Map<String, Integer> kinds = new TreeMap<>();

    /** Entry point. */
    public static void main(String[] args) {
        main(new PipelinedReads(), args[0]);
    }

    /** Has large values, each with one write. */
    private final class LargeHost extends Host {
        LargeHost(String uid) throws IOException {
            super(uid, record, 0, 0);
        }

        @Override
        protected void answer(Command command, Socket socket, OutputStream out) throws IOException, InterruptedException {
            Thread.sleep(10 + ThreadLocalRandom.current().nextInt(20));
            byte[] line = ("VA " + LENGTH + " O" + command.id() + " h1 Lutil=0.30\r\n").getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = Arrays.copyOf(line, line.length + LENGTH + 2);
            Arrays.fill(all, line.length, line.length + LENGTH, (byte) 'v');
            all[all.length - 2] = '\r';
            all[all.length - 1] = '\n';
            out.write(all);
            record.note(uid + " answered " + command.id());
        }
    }

    @Override
    protected int play() throws Exception {
        Discovery discovery = keep(new Discovery(record));
        for (int i = 0; i < HOSTS; i++) {
            Host host = keep(new LargeHost("s-" + i));
            discovery.put(host.uid, host.entry("Ready", 0));
        }
        Balancer.Config config = new Balancer.Config("n0", Balancer.freePort(), 0, discovery.endpoint(), discovery.list(),
                Settings.kochi().json(0));
        Balancer balancer = keep(new Balancer(config, folder, folder.resolve("tmp"), "n0")).awaitReady();
        warm(balancer);
        int lost = 0;
        for (int round = 0; round < ROUNDS; round++) {
            int[] answered = new int[CLIENTS];
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                clients.add(Host.daemon("client", () -> ask(balancer, number, answered)));
            }
            for (Thread client : clients) {
                client.join(2L * PATIENCE_MS);
            }
            for (int i = 0; i < CLIENTS; i++) {
                lost += READS - answered[i];
                if (answered[i] < READS) {
                    record.show("round " + round + ", client " + i + ": " + (READS - answered[i]) + " of " + READS + " reads have no answer");
                }
            }
            Thread.sleep(PAUSE_MS);
        }
        synchronized (kinds) {
            record.show("answers " + kinds);
        }
        record.show("reads with no answer: " + lost + " of " + ROUNDS * CLIENTS * READS);
        return lost > 0 ? BROKEN : HELD;
    }

    private void warm(Balancer balancer) throws IOException, InterruptedException {
        try (Client client = new Client(balancer.port, record)) {
            for (int i = 0; i < 60; i++) {
                need(client.ask(read(), 5_000) != null, "nothing is answered");
                Thread.sleep(10);
            }
        }
    }

    private static String read() {
        String key = String.format("%016x", ThreadLocalRandom.current().nextLong(1 << 20));
        return Client.read(key, Client.id(), "view-statement", WAIT_MS);
    }

    private void ask(Balancer balancer, int number, int[] answered) throws IOException {
        int atOnce = trouble ? READS : 1;
        try (Client client = new Client(balancer.port, record)) {
            client.socket.setSoTimeout(PATIENCE_MS);
            while (answered[number] < READS) {
                StringBuilder text = new StringBuilder();
                for (int k = 0; k < atOnce; k++) {
                    text.append(read());
                }
                client.send(text.toString());
                record.note("client " + number + " has sent " + atOnce + " reads: " + text.toString().replace("\r\n", " | "));
                for (int k = 0; k < atOnce; k++) {
                    String answer = client.answer();
                    record.note("client " + number + " is answered " + answer);
                    if (answer == null) {
                        return;
                    }
                    answered[number]++;
                    synchronized (kinds) {
                        kinds.merge(answer.split(" [0-9O]")[0], 1, Integer::sum);
                    }
                }
            }
        } catch (IOException e) {
            record.note("the connection of client " + number + " broke: " + e.getMessage());
        }
    }
}
