package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients read values of 4 MiB slowly, while others ask once on a connection and keep it until the balancer ends it. Clients
 * hold less than a third of the descriptors. Each long value that a cache host has given whole is owed whole.
 */
public final class CutLongValue extends Case {
    private static final int HOSTS = 6;
    /** Long values are over 64 KiB and up to 4 MiB; here each one is somewhat longer than the one before. */
    private static final int LONGEST = 4 * 1024 * 1024;
    private static final int STEP = 48 * 1024;
    private static final int DESCRIPTORS = 1024;
    /** Clients hold a third of the descriptors at most. */
    private static final int MOST_CLIENTS = DESCRIPTORS / 3 - 20;
    /** New clients a second that ask once: within the 200 to 320 requests a second that come to a balancer. */
    private static final int RATE = 200;
    private static final int SLOW_CLIENTS = 32;
    /** A slow client reads so much, then nothing for some seconds, then the rest. */
    private static final int FIRST_PIECE = 64 * 1024;
    private static final long PAUSE_MS = 5_000;
    /** What its system holds of what it has not read. */
    private static final int RECEIVE_BUFFER = 32 * 1024;

    private Balancer balancer;
    private final AtomicInteger connected = new AtomicInteger();
    private final AtomicInteger most = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    /** Entry point. */
    public static void main(String[] args) {
        main(new CutLongValue(), args[0]);
    }

    /** Answers keys that begin with {@code long} with long values, each byte of which is told by its place. */
    private static final class LongHost extends Host {
        private final Record record;

        LongHost(String uid, Record record) throws IOException {
            super(uid, record, 5, 10);
            this.record = record;
        }

        @Override
        protected void answer(Command command, Socket socket, OutputStream out) throws IOException, InterruptedException {
            if (!command.key().startsWith("long")) {
                super.answer(command, socket, out);
                return;
            }
            int length = Integer.parseInt(command.key().substring("long".length()));
            out.write(("VA " + length + " O" + command.id() + " h1 Lutil=0.30\r\n").getBytes(StandardCharsets.ISO_8859_1));
            byte[] value = new byte[length];
            Arrays.fill(value, (byte) 'v');
            out.write(value);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            record.show(uid + " has given all of the long value for " + command.id());
        }
    }

    @Override
    protected int play() throws Exception {
        Discovery discovery = keep(new Discovery(record));
        for (int i = 0; i < HOSTS; i++) {
            Host host = keep(new LongHost("s-" + i, record));
            discovery.put(host.uid, host.entry("Ready", 0));
        }
        Balancer.Config config = new Balancer.Config("n0", Balancer.freePort(), 0, discovery.endpoint(), discovery.list(),
                Settings.kochi().json(0), DESCRIPTORS);
        balancer = keep(new Balancer(config, folder, folder.resolve("tmp"), "n0")).awaitReady();
        if (trouble) {
            Host.daemon("new clients", () -> {
                while (true) {
                    if (connected.get() < MOST_CLIENTS - SLOW_CLIENTS) {
                        most.accumulateAndGet(connected.incrementAndGet(), Math::max);
                        Host.daemon("client that asks once", this::askOnce);
                    }
                    Thread.sleep(1000 / RATE);
                }
            });
        }
        Thread.sleep(2_000);
        int[] missing = new int[SLOW_CLIENTS];
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            int number = i;
            clients.add(Host.daemon("slow client", () -> missing[number] = readSlowly(number)));
            Thread.sleep(50);
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        need(!trouble || served.get() > 100, "hardly anything was served");
        int cut = 0;
        for (int bytes : missing) {
            cut += bytes > 0 ? 1 : 0;
        }
        record.show("others: " + served + " served, " + most + " connected at once at most; long values that were cut: " + cut + " of "
                + SLOW_CLIENTS);
        return cut > 0 ? BROKEN : HELD;
    }

    private void askOnce() throws IOException {
        try (Client client = new Client(balancer.port, record)) {
            String id = Client.id();
            String answer = client.ask(Client.read(id, id, "view-statement", 1500), 5000);
            if (answer != null && answer.startsWith("VA ")) {
                served.incrementAndGet();
            }
            client.socket.setSoTimeout(0);
            client.answer();
        } finally {
            connected.decrementAndGet();
        }
    }

    /** How many bytes of its value, and of the end of line behind it, it could not read. */
    private int readSlowly(int number) throws IOException, InterruptedException {
        int length = LONGEST - number * STEP;
        try (Client client = new Client(balancer.port, record, RECEIVE_BUFFER)) {
            client.socket.setSoTimeout(12_000);
            client.send(Client.read("long" + length, Client.id(), "view-statement", 1500));
            InputStream in = client.socket.getInputStream();
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                need(c >= 0, "slow client " + number + " was not answered");
                line.append((char) c);
            }
            record.note("slow client " + number + " is answered " + line.toString().trim());
            need(line.toString().startsWith("VA " + length + " "), "slow client " + number + " was not served");
            int all = in.readNBytes(FIRST_PIECE).length;
            record.note("slow client " + number + " has read " + all + " bytes and takes nothing for a while");
            Thread.sleep(PAUSE_MS);
            byte[] piece = new byte[FIRST_PIECE];
            String end = "";
            while (all < length + 2 && end.isEmpty()) {
                try {
                    int some = in.read(piece, 0, Math.min(piece.length, length + 2 - all));
                    all += Math.max(0, some);
                    end = some < 0 ? ", then the connection was ended" : "";
                } catch (IOException e) {
                    end = ", then the connection broke: " + e.getMessage();
                }
            }
            record.show("slow client " + number + " has " + all + " of " + (length + 2) + " bytes" + end);
            return length + 2 - all;
        }
    }
}
