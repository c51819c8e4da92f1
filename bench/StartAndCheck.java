import eiderscale.standin.StandInHost;
import eiderscale.standin.StandInOrigin;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * How long a start takes until the first answer, of a sidecar and of the platform's program in turn, and how long
 * 'config check' takes on a file of 500 classes and 5,000 hosts. After the build:
 *
 *     java -cp target/eiderscale.jar bench/StartAndCheck.java
 */
public final class StartAndCheck {
    private static final int PAIRS = 11;

    private StartAndCheck() {
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("start-and-check");
        NioEventLoopGroup world = new NioEventLoopGroup(1);
        try (StandInHost host = new StandInHost(world.next(), new StandInOrigin(0))) {
            System.out.printf(Locale.ROOT, "%d cores, java %s%n", Runtime.getRuntime().availableProcessors(),
                    System.getProperty("java.version"));
            List<Double> sidecars = new ArrayList<>();
            List<Double> platforms = new ArrayList<>();
            List<Double> ratios = new ArrayList<>();
            for (int i = 0; i <= PAIRS; i++) {
                double sidecar = sidecar(folder, host);
                double platform = platform(folder, host);
                if (i > 0) { // the first warms the disk's cache
                    sidecars.add(sidecar);
                    platforms.add(platform);
                    ratios.add(sidecar / platform);
                }
            }
            print("sidecar, start to first answer, ms", sidecars);
            print("platform's program, the same, ms", platforms);
            print("ratio, pair by pair", ratios);
            check(folder);
        } finally {
            world.shutdownGracefully();
        }
    }

    private static void print(String what, List<Double> figures) {
        double[] sorted = figures.stream().mapToDouble(f -> f).sorted().toArray();
        System.out.printf(Locale.ROOT, "%-40s min %.2f  median %.2f  max %.2f%n", what, sorted[0],
                sorted[sorted.length / 2], sorted[sorted.length - 1]);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static double sidecar(Path folder, StandInHost host) throws Exception {
        int port = freePort();
        Path file = Files.writeString(folder.resolve("app.toml"), "application = \"bench\"\nlisten = [\"127.0.0.1:"
                + port + "\"]\n[pool]\nhosts = [\"" + host.endpoint() + "\"]\n[[classes]]\nname = \"read\"\n"
                + "operation = \"read\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"1s\"\n# end\n");
        return timed(port, new ProcessBuilder("bin/stairshelf", "sidecar", file.toString()));
    }

    private static double platform(Path folder, StandInHost host) throws Exception {
        int port = freePort();
        Path file = Files.writeString(folder.resolve("config.json"), """
                {"name":"b","listen":"127.0.0.1:%d","discovery":"127.0.0.1:1","seed":"1",
                 "known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"%s","az":"a","model":"m",
                   "pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0}]},
                 "settings":{"categories":[{"name":"read","effect":"retryable","deadline-ns":1000000000}],
                   "zones":["a"],"kinds":["m"],"ceilings":{"max-attempts":4}}}
                """.formatted(port, host.endpoint()));
        ProcessBuilder start = new ProcessBuilder("java", "@deploy/jvm.options",
                "-XX:SharedArchiveFile=target/eiderscale.jsa", "-cp", "target/eiderscale.jar", "eiderscale.platform.Main");
        start.environment().put("GW_CONFIG", file.toString());
        return timed(port, start);
    }

    private static double timed(int port, ProcessBuilder start) throws Exception {
        long begun = System.nanoTime();
        Process process = start.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        try {
            while (System.nanoTime() - begun < 30_000_000_000L) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    socket.getOutputStream().write("mg 1 v O1 Pc=read,t=t,d=1000\r\n".getBytes());
                    String line = new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine();
                    if (line != null && line.startsWith("VA ")) {
                        return (System.nanoTime() - begun) / 1e6;
                    }
                } catch (IOException e) {
                    Thread.sleep(1);
                }
            }
            throw new IllegalStateException("no answer");
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static void check(Path folder) throws Exception {
        StringBuilder text = new StringBuilder("application = \"large\"\nlisten = [\"127.0.0.1:11311\"]\n[limits]\n"
                + "memory = \"1GB\"\ndescriptors = 20000\n[pool]\nhosts = [\n");
        for (int i = 0; i < 5000; i++) {
            text.append("    \"127.0.").append(i / 250).append('.').append(i % 250 + 1).append(":11211\",\n");
        }
        text.append("]\n");
        for (int i = 0; i < 500; i++) {
            text.append("[[classes]]\nname = \"class-").append(i).append("\"\noperation = \"read\"\neffect = \"safe\"\n"
                    + "aim = \"750ms\"\ndeadline = \"1500ms\"\n[[routes]]\nprefix = \"p").append(i)
                    .append(":\"\nclass = \"class-").append(i).append("\"\n");
        }
        Path file = Files.writeString(folder.resolve("large.toml"), text.append("# end\n"));
        List<Double> times = new ArrayList<>();
        for (int i = 0; i <= PAIRS; i++) {
            long begun = System.nanoTime();
            Process process = new ProcessBuilder("bin/stairshelf", "config", "check", file.toString())
                    .redirectErrorStream(true).start();
            String said = new String(process.getInputStream().readAllBytes()).trim();
            if (process.waitFor() != 0) {
                throw new IllegalStateException(said);
            }
            if (i > 0) {
                times.add((System.nanoTime() - begun) / 1e6);
            } else {
                System.out.println(Arrays.toString(said.split("\n")) + " of " + Files.size(file) + " bytes");
            }
        }
        print("config check, 500 classes, 5,000 hosts, ms", times);
    }
}
