package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Clients write values of 4 MiB while one cache host of six hangs: its machine takes connections and it reads nothing. Each write
 * is owed one final answer within the time that its client waits, and is lost half a second later.
 */
public final class LongWriteToHungHost extends Case {
    private static final int HOSTS = 6;
    private static final int WRITES = 24;
    private static final int ONE_AFTER_ANOTHER_MS = 250;
    /** The longest value that the pages allow. */
    private static final int LENGTH = 4 * 1024 * 1024;
    private static final long WAIT_MS = 2_500;
    /** Up to half a second after its time a final answer earns nothing; later it is lost; each limit is 50 ms longer. */
    private static final double LOST_S = WAIT_MS / 1e3 + 0.5 + 0.05;
    private static final int WATCHED_MS = 28_000;

    /** A process that hangs: its machine takes connections for it, and it reads none of them. */
    private static final class Hung implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();

        Hung(Record record) throws IOException {
            Host.daemon("hung host", () -> {
                while (true) {
                    sockets.add(server.accept());
                    record.note("the hung host has a connection");
                }
            });
        }

        String entry(String uid) {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + server.getLocalPort() + "\",\"az\":\"kochi-hall\","
                    + "\"model\":\"fast-single\",\"pod_group\":1,\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Entry point. */
    public static void main(String[] args) {
        main(new LongWriteToHungHost(), args[0]);
    }

    @Override
    protected int play() throws Exception {
        Discovery discovery = keep(new Discovery(record));
        for (int i = trouble ? 1 : 0; i < HOSTS; i++) {
            Host host = keep(new Host("s-" + i, record, 20, 30));
            discovery.put(host.uid, host.entry("Ready", 0));
        }
        if (trouble) {
            discovery.put("s-0", keep(new Hung(record)).entry("s-0"));
        }
        Balancer.Config config = new Balancer.Config("n0", Balancer.freePort(), 0, discovery.endpoint(), discovery.list(),
                Settings.kochi().json(0));
        Balancer balancer = keep(new Balancer(config, folder, folder.resolve("tmp"), "n0")).awaitReady();
        byte[] value = new byte[LENGTH];
        Arrays.fill(value, (byte) 'v');
        List<Thread> clients = new ArrayList<>();
        double[] written = new double[WRITES];
        double[] took = new double[WRITES];
        String[] answers = new String[WRITES];
        Arrays.fill(took, Double.POSITIVE_INFINITY);
        for (int i = 0; i < WRITES; i++) {
            int number = i;
            clients.add(Host.daemon("client " + i, () -> write(balancer, number, value, written, took, answers)));
            Thread.sleep(ONE_AFTER_ANOTHER_MS);
        }
        long end = System.nanoTime() + WATCHED_MS * 1_000_000L;
        for (Thread client : clients) {
            client.join(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        int lost = 0;
        int served = 0;
        for (int i = 0; i < WRITES; i++) {
            need(written[i] > 0, "client " + i + " could not write its value");
            boolean late = took[i] > LOST_S;
            lost += late ? 1 : 0;
            served += answers[i] != null && answers[i].startsWith("HD ") ? 1 : 0;
            record.show(String.format(Locale.ROOT, "write %d: last byte written %.3f s after the first, answered '%s' after %.3f s%s",
                    i, written[i], answers[i], took[i], late ? ": LOST" : ""));
        }
        need(served > 0, "no write was served");
        record.show("served " + served + " of " + WRITES + ", with no answer " + LOST_S + " s after the last byte: " + lost);
        return lost > 0 ? BROKEN : HELD;
    }

    private void write(Balancer balancer, int number, byte[] value, double[] written, double[] took, String[] answers)
            throws IOException {
        try (Client client = new Client(balancer.port, record)) {
            client.socket.setSoTimeout(WATCHED_MS);
            String id = Client.id();
            String key = String.format("%016x", ThreadLocalRandom.current().nextLong(1 << 20));
            String line = "ms " + key + " " + LENGTH + " O" + id + " Pc=request-copy,t=teachers,d=" + WAIT_MS;
            OutputStream out = client.socket.getOutputStream();
            long firstNs = System.nanoTime();
            out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(value);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            long lastNs = System.nanoTime();
            written[number] = (lastNs - firstNs) / 1e9;
            record.note(lastNs, "client " + number + " has written the last byte of " + line);
            String answer = client.answer();
            answers[number] = answer;
            took[number] = (System.nanoTime() - lastNs) / 1e9;
            record.note("client " + number + " is answered " + answer);
        }
    }
}
