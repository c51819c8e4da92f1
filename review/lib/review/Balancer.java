package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One real balancer: a process started with the line {@code run} of the deploy file, in the project's root. */
public final class Balancer implements AutoCloseable {
    private static final int SOCKETS = 1024;
    private static final long READY_MS = 30_000;

    /** What is written into its configuration. */
    public record Config(String name, int port, int controlPort, String discovery, String known, String settings, int sockets) {
        /** With the descriptors that scored days allow at most. */
        public Config(String name, int port, int controlPort, String discovery, String known, String settings) {
            this(name, port, controlPort, discovery, known, settings, SOCKETS);
        }

        String json() {
            return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                    + "\",\"seed\":\"8c1f30d27a5be964\","
                    + (controlPort > 0 ? "\"control\":\"127.0.0.1:" + controlPort + "\"," : "")
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
                    + "\"known\":" + known + ",\"settings\":" + settings + "}";
        }
    }

    /** Its name. */
    public final String name;
    /** Where clients connect. */
    public final int port;
    private final Process process;

    /** Starts it; {@code folder} is the test's own, {@code temporary} becomes {@code TMPDIR}. */
    public Balancer(Config config, Path folder, Path temporary, String label) throws IOException {
        name = config.name();
        port = config.port();
        Path file = folder.resolve(label + ".json");
        Files.writeString(file, config.json());
        Files.createDirectories(temporary);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", line("run"));
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("GW_NAME", config.name());
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + config.port());
        builder.environment().put("GW_DISCOVERY", config.discovery());
        builder.environment().put("TMPDIR", temporary.toString());
        if (config.controlPort() > 0) {
            builder.environment().put("GW_CONTROL", "127.0.0.1:" + config.controlPort());
        }
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(label + ".log").toFile());
        process = builder.start();
    }

    /** A line of the deploy file. */
    static String line(String key) throws IOException {
        Matcher found = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!found.find()) {
            throw new IOException("deploy/balancer.toml has no line " + key);
        }
        return found.group(1);
    }

    /** A port that nobody listens at. */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Waits until it answers {@code mn} with {@code MN}. */
    public Balancer awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (System.nanoTime() < end) {
            if (!process.isAlive()) {
                throw new IOException(name + " ended with " + process.exitValue());
            }
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = socket.getInputStream();
                if (in.read() == 'M' && in.read() == 'N') {
                    return this;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Thread.sleep(20);
        }
        throw new IOException(name + " is not ready");
    }

    /** Sends a signal, named as {@code kill} names it. */
    public void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    /** Whether it runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Its exit code once it has ended. */
    public int exitCode() {
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
