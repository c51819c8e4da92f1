package eiderscale.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A machine that can break: a folder and one balancer's process, as {@code run} of the deploy file starts it. It crashes
 * (SIGKILL), stands still (SIGSTOP, SIGCONT), loses its folder, and comes back under its name and address.
 */
public final class Machine {
    /** How a balancer is started: the flags of the deploy file, whatever classes the rig itself runs on. */
    public record Program(Path home, String classPath) {
        private static final String JAR = "target/eiderscale.jar";
        private static final String ARCHIVE = "target/eiderscale.jsa";

        /** From a checkout's folder, with the classes that this process has. */
        public static Program here() {
            return new Program(Path.of("").toAbsolutePath(), absolute(System.getProperty("java.class.path")));
        }

        private static String absolute(String classPath) {
            List<String> parts = new ArrayList<>();
            for (String part : classPath.split(java.io.File.pathSeparator)) {
                parts.add(Path.of(part).toAbsolutePath().toString());
            }
            return String.join(java.io.File.pathSeparator, parts);
        }

        /** To be started in the folder {@link #home}: the class archive holds for the path as the deploy file states it. */
        public List<String> command() {
            List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "@deploy/jvm.options"));
            boolean built = classPath.equals(home.resolve(JAR).toString());
            if (built) {
                command.add("-XX:SharedArchiveFile=" + ARCHIVE);
            }
            command.addAll(List.of("-cp", built ? JAR : classPath, "eiderscale.platform.Main"));
            return command;
        }
    }

    /** Writes the configuration of a start: {@code port} is 0 for any. */
    public interface Configuration {
        /** The JSON that {@code GW_CONFIG} names. */
        String json(int port);
    }

    private final Program program;
    private final Path folder;
    private final Configuration configuration;
    private final Keeper keeper;
    private final List<Child> gone = new ArrayList<>();
    private Child child;
    private int port;

    Machine(Program program, Path folder, Configuration configuration, Keeper keeper) {
        this.program = program;
        this.folder = folder;
        this.configuration = configuration;
        this.keeper = keeper;
    }

    /** Starts its process and does not wait for it. */
    public Child start() throws IOException {
        Path tmp = Files.createDirectories(folder.resolve("tmp"));
        Path config = Files.writeString(folder.resolve("config.json"), configuration.json(port));
        if (child != null) {
            gone.add(child);
        }
        child = new Child(program.command(), Map.of("GW_CONFIG", config.toString(), "TMPDIR", tmp.toString()), program.home(), keeper);
        return child;
    }

    /** Waits until it takes clients; the port, which it keeps over its restarts. */
    public int awaitListening(long limitMs) throws InterruptedException {
        port = child.port(" serves on ", limitMs);
        return port;
    }

    /** Where its clients connect; 0 before its first start. */
    public int port() {
        return port;
    }

    /** The process that runs, or ran last. */
    public Child child() {
        return child;
    }

    /** SIGKILL, and its end. */
    public void crash() throws InterruptedException {
        child.kill();
    }

    /** What its process has written is gone. */
    public void loseFolder() throws IOException {
        try (Stream<Path> all = Files.walk(folder.resolve("tmp"))) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    /** Processor time of all its processes, in milliseconds, as far as they live. */
    public long cpuMs() {
        return child == null ? 0 : child.cpuMs();
    }

    /** How many processes it has had. */
    public int starts() {
        return gone.size() + (child == null ? 0 : 1);
    }
}
