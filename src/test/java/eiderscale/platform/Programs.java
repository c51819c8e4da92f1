package eiderscale.platform;

import eiderscale.fleet.Child;
import eiderscale.fleet.Keeper;
import eiderscale.fleet.Machine;
import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** The platform's program as processes that share a folder, before hosts of the test's own. */
final class Programs implements AutoCloseable {
    static final int LIMIT_MS = 30_000;

    /**
     * A host that answers every command of the meta protocol, and keeps the lines that it was sent. A read whose key begins
     * with {@code bulk} is answered with a long value, made from its key; what it does with a connection can be overridden.
     */
    static class Host implements AutoCloseable {
        final String name;
        final List<String> commands = new CopyOnWriteArrayList<>();
        private final ServerSocket server;

        Host(String name) throws IOException {
            this.name = name;
            this.server = new ServerSocket(0, 400, InetAddress.getLoopbackAddress());
            daemon(() -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (String line = line(in); line != null; line = line(in)) {
                    commands.add(line);
                    String id = null;
                    for (String word : line.split(" ")) {
                        id = word.startsWith("O") ? word : id;
                    }
                    answer(line, id, in, socket);
                }
            }
        }

        /** Where balancers are told to reach it. */
        int port() {
            return server.getLocalPort();
        }

        /** Answers one command, of which the line has been read. */
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            String[] words = line.split(" ");
            OutputStream out = socket.getOutputStream();
            if (words[0].equals("ms")) {
                body(words[1], Integer.parseInt(words[2]), in);
                out.write(("HD " + id + " c7\r\n").getBytes(StandardCharsets.ISO_8859_1));
            } else if (words[1].startsWith("bulk")) {
                int length = Values.length(words[1]);
                out.write(("VA " + length + " " + id + " h1 Lutil=0.2\r\n").getBytes(StandardCharsets.ISO_8859_1));
                Values.write(words[1], 0, length, out);
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            } else {
                out.write(("VA " + name.length() + " " + id + " h1 Lutil=0.2\r\n" + name + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
        }

        /** Reads a value that was written, with its end. */
        void body(String key, int length, InputStream in) throws IOException {
            if (key.startsWith("bulk")) {
                Values.check(key, length, in);
            } else {
                in.skipNBytes(length);
            }
            in.skipNBytes(2);
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** Long values that are told from their key, so that nobody has to hold them. */
    static final class Values {
        private Values() {
        }

        /** {@code bulkLENGTHxNUMBER}. */
        static int length(String key) {
            return Integer.parseInt(key.substring(4, key.indexOf('x')));
        }

        static byte at(String key, int place) {
            return (byte) ('a' + (key.hashCode() + place + place / 1000) % 23 & 0x7f);
        }

        static void write(String key, int from, int to, OutputStream out) throws IOException {
            byte[] part = new byte[8192];
            for (int done = from; done < to;) {
                int some = Math.min(part.length, to - done);
                for (int i = 0; i < some; i++) {
                    part[i] = at(key, done + i);
                }
                out.write(part, 0, some);
                done += some;
            }
        }

        /** Fails at the first byte that is another. */
        static void check(String key, int length, InputStream in) throws IOException {
            byte[] part = new byte[8192];
            for (int done = 0; done < length;) {
                int some = in.read(part, 0, Math.min(part.length, length - done));
                if (some < 0) {
                    throw new IOException("ended after " + done + " of " + length);
                }
                for (int i = 0; i < some; i++) {
                    if (part[i] != at(key, done + i)) {
                        throw new IllegalStateException(key + " differs at " + (done + i));
                    }
                }
                done += some;
            }
        }
    }

    /** A line without its end; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.substring(0, Math.max(0, line.length() - 1));
            }
            line.append((char) c);
        }
        return null;
    }

    interface Task {
        void run() throws IOException;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The far end is done.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** One started process, as the fixture of fleets has it. */
    static final class Program {
        private static final long TICK_MS = 5;

        final Child child;

        private Program(Child child) {
            this.child = child;
        }

        /** Waits until it says something that holds {@code text}, behind what was awaited before. */
        void awaitLine(String text) throws InterruptedException {
            child.awaitNext(line -> line.contains(text), LIMIT_MS);
        }

        /** The port that follows a word in its log, once it is there: any that was free before may be another's by now. */
        int port(String word) throws InterruptedException {
            return child.port(word, LIMIT_MS);
        }

        /** Where operators call it. */
        int control() throws InterruptedException {
            return port("operators call");
        }

        /** The answer to an operator's call; null where nobody answers. */
        String call(String line) throws InterruptedException {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), control())) {
                socket.setSoTimeout(LIMIT_MS);
                socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
                return reader(socket).readLine();
            } catch (IOException e) {
                return null;
            }
        }

        Program awaitHealth() throws InterruptedException {
            long end = System.nanoTime() + LIMIT_MS * 1_000_000L;
            for (String answer = call("HEALTH"); answer == null || !answer.startsWith("200"); answer = call("HEALTH")) {
                if (System.nanoTime() > end || !child.isAlive()) {
                    throw new AssertionError("never well: " + child.log());
                }
                Thread.sleep(TICK_MS);
            }
            return this;
        }

        /** SIGTERM, and its end. */
        int stop() throws InterruptedException {
            return child.stop(LIMIT_MS);
        }

        int end() throws InterruptedException {
            return child.end(LIMIT_MS);
        }

        void hangUp() throws IOException, InterruptedException {
            signal("HUP");
        }

        void signal(String name) throws IOException, InterruptedException {
            Child.signal(name, List.of(child));
        }
    }

    final List<Host> hosts = new ArrayList<>();
    final Path config;
    /** Where clients connect: any that is free for the first process, and its port for those that follow it. */
    int port;
    private final Path folder;
    private final Keeper keeper = new Keeper();
    String settings = settings("");
    /** Descriptors that a program may hold; for those started from here on. */
    int sockets = 512;

    Programs(Path folder, Host... given) throws IOException {
        this(folder, 0);
        hosts.addAll(List.of(given));
    }

    Programs(Path folder, int hostCount) throws IOException {
        this.folder = Files.createDirectories(folder.resolve("tmp"));
        this.config = folder.resolve("config.json");
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host("s-" + i));
        }
    }

    /** Settings with further classes, each with a comma before it. */
    static String settings(String more) {
        return """
                {"categories":[
                  {"name":"read","effect":"retryable","group":"all","goal-time-ns":900000000,"deadline-ns":1000000000},
                  {"name":"copy","effect":"fragile","group":"all","goal-time-ns":900000000,"deadline-ns":1000000000}%s],
                 "tenants":[{"name":"t","allowance-per-s":100000.0,"fraction":1.0}],
                 "zones":["a"],"kinds":["m"],"discovery":"subscribe","load-report":{"fields":["busy"]},
                 "guarantees":{"ask-within-ns":10000000000,"stop-sending-within-ns":1000000000,"warm-within-ns":2000000000,
                   "cold-from":0.5,"tip-multiple":4.0},
                 "ceilings":{"max-attempts":4,"may-duplicate":true,"cancelling":true,"retry-after":true}}
                """.formatted(more);
    }

    /** Gives every class so long; for programs started from here on. */
    void patient(int ms) {
        settings = settings.replace("\"deadline-ns\":1000000000", "\"deadline-ns\":" + ms + "000000")
                .replace("\"goal-time-ns\":900000000", "\"goal-time-ns\":" + ms + "000000");
    }

    String json() {
        List<String> targets = new ArrayList<>();
        for (Host host : hosts) {
            targets.add("{\"uid\":\"" + host.name + "\",\"endpoint\":\"127.0.0.1:" + host.port()
                    + "\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":1,\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"control\":\"127.0.0.1:0"
                + "\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
                + "\"known\":{\"rev\":1,\"all\":true,\"targets\":[" + String.join(",", targets) + "]},\"settings\":" + settings + "}";
    }

    /** Starts a process; with the flags that it has on the platform. */
    Program start() throws IOException, InterruptedException {
        Files.writeString(config, json());
        Program program = new Program(new Child(Machine.Program.here().command(),
                Map.of("GW_CONFIG", config.toString(), "TMPDIR", folder.toString()), Path.of("").toAbsolutePath(), keeper));
        if (port == 0) {
            port = program.port("serves on");
        }
        return program;
    }

    Socket client() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(LIMIT_MS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    @Override
    public void close() throws IOException {
        keeper.close();
        for (Host host : hosts) {
            host.close();
        }
    }
}
