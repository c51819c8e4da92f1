package eiderscale.platform;

import eiderscale.net.Counters;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Plays a balancer's life once, on loopback, with a host and a discovery of its own, from the same beginning as the program's. The
 * build runs it to archive the classes that this loads ({@code -XX:ArchiveClassesAtExit}): without the archive a start costs
 * twice the CPU and the first requests wait for class loading, on a small share of a core for too long.
 */
public final class Rehearsal {
    private static final int READS = 50;
    private static final int LIMIT_MS = 20_000;
    private static final String CONFIG = """
            {"name":"rehearsal","listen":"127.0.0.1:0","control":"127.0.0.1:0","discovery":"127.0.0.1:%1$d","seed":"1",
             "known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:%2$d","az":"a",
               "model":"m","pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0}]},
             "settings":{"categories":[
                 {"name":"read","effect":"retryable","goal-time-ns":900000000,"deadline-ns":1000000000},
                 {"name":"copy","effect":"fragile","goal-time-ns":900000000,"deadline-ns":1000000000}],
               "tenants":[{"name":"t","allowance-per-s":1000.0,"fraction":1.0}],
               "zones":["a"],"kinds":["m"],"discovery":"subscribe","load-report":{"fields":["busy"]},
               "guarantees":{"ask-within-ns":1000000},
               "ceilings":{"max-attempts":4,"may-duplicate":true,"cancelling":true,"retry-after":true}}}
            """;

    /** What a peer answers to a line; null keeps it silent. */
    private interface Script {
        String answer(String line);
    }

    private Rehearsal() {
    }

    /** Takes no arguments; fails if the rehearsal went wrong. */
    public static void main(String[] args) throws Exception {
        int answers = play(running -> { });
        Counters.log("rehearsed with " + answers + " answers");
        // The balancer's hook has nothing left to do, and the archive is written all the same.
        System.exit(0);
    }

    /** Returns how many commands were answered as they should be; {@code over}: gets what has been stopped by then. */
    static int play(Consumer<Main.Running> over) throws Exception {
        Path folder = Files.createTempDirectory("rehearsal");
        try (ServerSocket discovery = peer(Rehearsal::list); ServerSocket host = peer(Rehearsal::serve)) {
            Path file = Files.writeString(folder.resolve("config.json"), String.format(CONFIG, discovery.getLocalPort(),
                    host.getLocalPort()));
            Main.Running running = Main.begin(file.toString(), folder);
            int answers = ask((InetSocketAddress) running.bound()) + called((InetSocketAddress) running.control());
            running.loop().submit(() -> running.duty().stop(running.loop())).get().await();
            over.accept(running);
            return answers;
        } finally {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }

    /** An operator's call. */
    private static int called(InetSocketAddress control) throws IOException {
        try (Socket operator = new Socket(control.getAddress(), control.getPort())) {
            operator.setSoTimeout(LIMIT_MS);
            operator.getOutputStream().write("HEALTH\n".getBytes(StandardCharsets.US_ASCII));
            String answer = reader(operator).readLine();
            return answer != null && answer.startsWith("200") ? 1 : 0;
        }
    }

    private static int ask(InetSocketAddress address) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(LIMIT_MS);
            BufferedReader in = reader(client);
            PrintStream out = new PrintStream(client.getOutputStream(), true, StandardCharsets.ISO_8859_1);
            int answers = answered(in, out, "mn", "MN") + answered(in, out, "nonsense", "ERROR")
                    + answered(in, out, "ms 5 1 O5 Pc=copy,t=t,d=900\r\nx", "HD O5 c1")
                    + answered(in, out, "mg silent v O6 Pc=read,t=t,d=60", "SERVER_ERROR busy");
            for (int i = 0; i < READS; i++) {
                answers += answered(in, out, "mg " + i + " v O7 Pc=read,t=t,d=900", "VA 1 O7");
                in.readLine();
            }
            return answers;
        }
    }

    private static int answered(BufferedReader in, PrintStream out, String command, String answer)
            throws IOException {
        out.print(command + "\r\n");
        out.flush();
        return answer.equals(in.readLine()) ? 1 : 0;
    }

    private static String serve(String command) {
        if (command.startsWith("mg silent") || !command.startsWith("m")) {
            return null;
        }
        return command.startsWith("mg") ? "VA 1 O7 h1 Lutil=0.5\r\nv\r\n" : "HD O5 c1\r\n";
    }

    private static String list(String line) {
        String json = "{\"rev\":2,\"all\":false,\"targets\":[]}";
        return line.isEmpty() ? "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json : null;
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static ServerSocket peer(Script script) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(() -> {
            while (true) {
                Socket socket = server.accept();
                start(() -> converse(socket, script));
            }
        });
        return server;
    }

    private static void converse(Socket socket, Script script) throws IOException {
        try (socket) {
            BufferedReader in = reader(socket);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String answer = script.answer(line);
                if (answer != null) {
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        }
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The far end is done.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
