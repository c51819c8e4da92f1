package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients send a write and eight reads of 64,000 bytes at once. Writes are slow, as the origin is, but answered within their
 * deadline; the answers to the reads wait for them. Other clients ask for short values one after another; each of these reads is
 * owed one final answer in its time.
 */
public final class ReadsBehindSlowWrites extends Case {
    private static final int HOSTS = 6;
    private static final int PIPELINING_CLIENTS = 100;
    private static final long ONE_AFTER_ANOTHER_MS = 10;
    /** Reads that such a client sends behind its write, at once. */
    private static final int READS = 8;
    /** The protocol's values hold at most 64 KiB. */
    private static final int LENGTH = 64_000;
    private static final long SLOW_WRITE_MS = 2_200;
    private static final long QUICK_WRITE_MS = 20;
    private static final long WRITE_WAIT_MS = 2_500;
    private static final long READ_WAIT_MS = 1_500;
    /** Up to half a second after its time a final answer earns nothing; later it is lost; each limit is 50 ms longer. */
    private static final int LOST_MS = (int) READ_WAIT_MS + 500 + 50;
    private static final int USUAL_CLIENTS = 10;
    private static final long BEFORE_MS = 2_000;
    private static final long LOOK_MS = 2_000;
    private static final int LOOKS = 6;
    private static final long AFTER_MS = 5_000;

    private Balancer balancer;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicInteger pipelined = new AtomicInteger();

    /** Entry point. */
    public static void main(String[] args) {
        main(new ReadsBehindSlowWrites(), args[0]);
    }

    /** Answers keys that begin with {@code large} with values of 64,000 bytes, and writes when the origin has done them. */
    private final class LargeHost extends Host {
        LargeHost(String uid) throws IOException {
            super(uid, record, 10, 20);
        }

        @Override
        protected void answer(Command command, Socket socket, OutputStream out) throws IOException, InterruptedException {
            if (command.write()) {
                Thread.sleep(trouble ? SLOW_WRITE_MS : QUICK_WRITE_MS);
            }
            if (command.write() || !command.key().startsWith("large")) {
                super.answer(command, socket, out);
                return;
            }
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
        balancer = keep(new Balancer(config, folder, folder.resolve("tmp"), "n0")).awaitReady();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            Host.daemon("usual client", this::askOnAndOn);
        }
        Thread.sleep(BEFORE_MS);
        need(answered.get() > 50, "hardly anything was answered before");
        record.show("before: usual reads answered " + answered + ", lost " + lost);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < PIPELINING_CLIENTS; i++) {
            clients.add(keep(new Client(balancer.port, record)));
        }
        for (int i = 0; i < PIPELINING_CLIENTS; i++) {
            int number = i;
            Host.daemon("pipelining client", () -> pipeline(clients.get(number), number));
            Thread.sleep(ONE_AFTER_ANOTHER_MS);
        }
        record.show(PIPELINING_CLIENTS + " clients have sent a write and " + READS + " reads of " + LENGTH + " bytes each at once");
        int before = answered.get();
        for (int i = 1; i <= LOOKS; i++) {
            Thread.sleep(LOOK_MS);
            int now = answered.get();
            record.show(String.format(Locale.ROOT, "after %d s: usual reads answered in %d s %d, lost so far %d; answers to pipelining"
                    + " clients so far %d", i * LOOK_MS / 1000, LOOK_MS / 1000, now - before, lost.get(), pipelined.get()));
            before = now;
        }
        int unanswered = PIPELINING_CLIENTS * (1 + READS) - pipelined.get();
        for (Client client : clients) {
            client.close();
        }
        record.show("the pipelining clients have closed; of their commands " + unanswered + " have no answer");
        Thread.sleep(AFTER_MS);
        record.show("usual reads answered in the " + AFTER_MS / 1000 + " s behind that: " + (answered.get() - before));
        record.show("usual reads answered " + answered + ", lost " + lost + ", connections ended " + ended
                + "; commands of pipelining clients without an answer " + unanswered + " of " + PIPELINING_CLIENTS * (1 + READS)
                + "; the balancer " + (balancer.isAlive() ? "runs" : "has ended"));
        return lost.get() > 0 || unanswered > 0 || !balancer.isAlive() ? BROKEN : HELD;
    }

    private void pipeline(Client client, int number) throws IOException {
        StringBuilder text = new StringBuilder(Client.write("copy" + number, Client.id(), "request-copy", WRITE_WAIT_MS, null, "a copy"));
        for (int k = 0; k < READS; k++) {
            text.append(Client.read("large" + number + "-" + k, Client.id(), "view-statement", READ_WAIT_MS));
        }
        client.send(text.toString());
        record.note("pipelining client " + number + " has sent " + text.toString().replace("\r\n", " | "));
        for (int k = 0; k <= READS; k++) {
            String answer = client.answer();
            record.note("pipelining client " + number + " is answered " + answer);
            if (answer == null) {
                return;
            }
            pipelined.incrementAndGet();
        }
    }

    private void askOnAndOn() throws IOException, InterruptedException {
        while (true) {
            try (Client client = new Client(balancer.port, record)) {
                String answer = "";
                while (answer != null) {
                    String key = String.format("%016x", ThreadLocalRandom.current().nextLong(1 << 20));
                    String id = Client.id();
                    try {
                        answer = client.ask(Client.read(key, id, "view-statement", READ_WAIT_MS), LOST_MS);
                    } catch (SocketTimeoutException e) {
                        lost.incrementAndGet();
                        record.note("LOST: " + id + " has no answer " + LOST_MS + " ms after its last byte");
                        break;
                    }
                    if (answer == null) {
                        ended.incrementAndGet();
                    } else {
                        answered.incrementAndGet();
                    }
                    Thread.sleep(50);
                }
            } catch (IOException e) {
                ended.incrementAndGet();
                record.note("a usual client's connection broke: " + e.getMessage());
                Thread.sleep(100);
            }
        }
    }
}
