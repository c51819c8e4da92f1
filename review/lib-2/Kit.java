import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** What the cases share: a record of events, processes of the project, a temporary folder, and the verdict. */
final class Kit {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    /** Added to a verdict in the exit code of this process: Java's own failures end with 1. */
    private static final int EXIT_BASE = 10;
    private static final long MOST_SECONDS = 110;

    /** One test: it returns its verdict, and throws where it could not run. */
    interface Case {
        int run(Kit kit) throws Exception;
    }

    /** A task on a thread of its own; that its far end is gone ends it. */
    interface Task {
        void run() throws Exception;
    }

    private final long begun = System.nanoTime();
    private final List<String> record = new ArrayList<>();
    private final List<Program> programs = new CopyOnWriteArrayList<>();
    private final Path recordFile;
    /** Private to this run. */
    final Path folder;
    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private Kit(Path caseFolder) throws IOException {
        recordFile = caseFolder.resolve("record.txt");
        folder = Files.createTempDirectory("review");
    }

    /** Runs a case; its folder is the first argument. Ends this process. */
    static void main(String[] args, Case test) throws IOException {
        Kit kit = new Kit(Path.of(args[0]).toAbsolutePath());
        Runtime.getRuntime().addShutdownHook(new Thread(kit::clear));
        daemon(() -> {
            TimeUnit.SECONDS.sleep(MOST_SECONDS);
            kit.note("out of time");
            kit.end(NOT_RUN);
        });
        int verdict = NOT_RUN;
        try {
            kit.note(kit.trouble ? "with the disruption" : "without the disruption");
            verdict = test.run(kit);
        } catch (Exception | AssertionError e) {
            kit.note("could not run: " + e);
        }
        kit.end(verdict);
    }

    private void end(int verdict) {
        note("verdict: " + (verdict == HELD ? "the rule held" : verdict == BROKEN ? "THE RULE WAS BROKEN" : "not run"));
        clear();
        try {
            synchronized (record) {
                Files.write(recordFile, record);
            }
        } catch (IOException e) {
            System.err.println("no record: " + e);
        }
        Runtime.getRuntime().halt(EXIT_BASE + verdict);
    }

    private void clear() {
        programs.forEach(Program::kill);
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException | RuntimeException e) {
            // A process that is ending may still write there.
        }
    }

    /** Milliseconds since the case began. */
    long ms() {
        return (System.nanoTime() - begun) / 1_000_000;
    }

    /** Writes an event down, with its time. */
    void note(String event) {
        String line = String.format(Locale.ROOT, "%6d ms  %s", ms(), event);
        synchronized (record) {
            record.add(line);
        }
        System.out.println(line);
    }

    static void require(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }

    static void pause(long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms));
    }

    static void await(String what, long mostMs, BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + mostMs * 1_000_000;
        while (!holds.getAsBoolean()) {
            require(System.nanoTime() < end, "waited in vain for: " + what);
            Thread.sleep(2);
        }
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // Its far end is gone.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(30_000);
        return socket;
    }

    /** A line without its CRLF; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                int end = line.length();
                return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
            }
            line.append((char) c);
        }
        return null;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The answer to one line of an operator; null where nobody answers. */
    static String operator(int control, String call) {
        try (Socket socket = connect(control)) {
            socket.getOutputStream().write(bytes(call + "\n"));
            return line(socket.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }

    // Programs of the project.

    /** One process of the project; its log is kept. */
    final class Program {
        final String name;
        final Process process;
        private final List<String> log = new CopyOnWriteArrayList<>();
        private int awaited;

        private Program(String name, List<String> command, Map<String, String> environment) throws IOException {
            this.name = name;
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().putAll(environment);
            process = builder.start();
            programs.add(this);
            BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
            daemon(() -> {
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                    log.add(line);
                    if (!line.startsWith("stairshelf: taken ")) {
                        note(name + " says: " + line);
                    }
                }
            });
        }

        /** Waits for a line of its log behind those that were awaited before. */
        void awaitLine(String text) throws InterruptedException {
            await(name + " to say '" + text + "'", 30_000, () -> {
                for (; awaited < log.size(); awaited++) {
                    if (log.get(awaited).contains(text)) {
                        awaited++;
                        return true;
                    }
                }
                return false;
            });
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("signal " + signal + " to " + name);
            int code = new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
            require(code == 0, "no signal could be sent to " + name);
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void kill() {
            process.destroyForcibly();
        }
    }

    /** Starts the platform's balancer by the command of the deploy file, from the project's root. */
    Program platform(String name, Path config, Path shared) throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(line -> line.startsWith("run = "))
                .findFirst().orElseThrow();
        String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        return new Program(name, List.of("/bin/sh", "-c", command),
                Map.of("GW_CONFIG", config.toString(), "TMPDIR", shared.toString(), "GW_NAME", name));
    }

    /** Starts a sidecar. */
    Program sidecar(String name, Path file) throws IOException {
        return new Program(name, List.of("bin/stairshelf", "sidecar", file.toString()), Map.of());
    }

    /** Runs a command of the project to its end, and gives what it printed. */
    String tool(String... words) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("bin/stairshelf"));
        command.addAll(List.of(words));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        int code = process.waitFor();
        note("bin/stairshelf " + String.join(" ", words) + " ends with " + code + ": " + out.strip());
        return out;
    }
}
