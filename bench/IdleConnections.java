import eiderscale.standin.Load;
import eiderscale.standin.StandInHost;
import eiderscale.standin.StandInOrigin;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What idle connections cost: memory for each, and what they do to the latency of a few busy ones. Sidecars with and
 * without idle connections are measured in turn, in pairs; each idle connection has asked once. Bounded in number and
 * time; one process may hold 20,000 descriptors here, so that two hold what one balancer may. After the build:
 *
 *     java -cp target/eiderscale.jar bench/IdleConnections.java [IDLE [PAIRS [SECONDS]]]
 */
public final class IdleConnections {
    private static final int BUSY = 8;
    private static final int PER_SOURCE = 4_000;

    private IdleConnections() {
    }

    private record Run(double p50, double p99, long requests, long rss, long heap, int held) {
    }

    public static void main(String[] args) throws Exception {
        int idle = args.length > 0 ? Math.min(18_000, Integer.parseInt(args[0])) : 15_000;
        int pairs = args.length > 1 ? Math.min(20, Integer.parseInt(args[1])) : 5;
        int seconds = args.length > 2 ? Math.min(60, Integer.parseInt(args[2])) : 4;
        Path folder = Files.createTempDirectory("idle-connections");
        System.out.printf(Locale.ROOT, "%d cores, java %s, %d idle, %d busy%n", Runtime.getRuntime()
                .availableProcessors(), System.getProperty("java.version"), idle, BUSY);
        List<Double> p50s = new ArrayList<>();
        List<Double> p99s = new ArrayList<>();
        List<Double> rss = new ArrayList<>();
        List<Double> heap = new ArrayList<>();
        for (int i = 0; i <= pairs; i++) {
            Run empty = run(folder, 0, seconds);
            Run full = run(folder, idle, seconds);
            if (full.held < idle) {
                System.out.println("only " + full.held + " idle connections came up");
            }
            System.out.printf(Locale.ROOT, "  empty p50 %.3f ms p99 %.3f ms (%d requests)   with %d idle p50 %.3f ms "
                    + "p99 %.3f ms (%d)%s%n", empty.p50, empty.p99, empty.requests, full.held, full.p50, full.p99,
                    full.requests, i == 0 ? "   (not counted: warms the machine)" : "");
            if (i > 0) {
                p50s.add(full.p50 / empty.p50);
                p99s.add(full.p99 / empty.p99);
                rss.add((double) (full.rss - empty.rss) / full.held);
                heap.add((double) (full.heap - empty.heap) / full.held);
            }
        }
        print("p50, ratio to empty", p50s);
        print("p99, ratio to empty", p99s);
        print("resident bytes for each", rss);
        print("heap bytes for each", heap);
        System.exit(0);
    }

    private static void print(String what, List<Double> figures) {
        double[] sorted = figures.stream().mapToDouble(f -> f).sorted().toArray();
        System.out.printf(Locale.ROOT, "%-26s min %.3f  median %.3f  max %.3f%n", what, sorted[0],
                sorted[sorted.length / 2], sorted[sorted.length - 1]);
    }

    private static Run run(Path folder, int idle, int seconds) throws Exception {
        NioEventLoopGroup world = new NioEventLoopGroup(1);
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        Process process = null;
        List<SocketChannel> held = new ArrayList<>();
        try (StandInHost host = new StandInHost(world.next(), new StandInOrigin(0))) {
            Path file = Files.writeString(folder.resolve("app.toml"), "application = \"idle\"\nlisten = [\"127.0.0.1:"
                    + port + "\"]\n[limits]\nmemory = \"1GB\"\ndescriptors = 19900\nclients = 14900\n[clients]\nidle = \"1h\"\n"
                    .replace("14900", String.valueOf(Math.min(14_900, Math.max(1_000, idle + 100))))
                    + "[pool]\nhosts = [\"" + host.endpoint() + "\"]\n[[classes]]\nname = \"read\"\n"
                    + "operation = \"read\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"5s\"\n# end\n");
            ProcessBuilder start = new ProcessBuilder("bin/stairshelf", "sidecar", file.toString());
            start.environment().put("STAIRSHELF_JAVA_OPTS", "-Xms400m -Xmx400m -XX:MaxDirectMemorySize=128m");
            process = start.redirectErrorStream(true).start();
            BufferedReader log = new BufferedReader(new InputStreamReader(process.getInputStream()));
            for (String line = log.readLine(); line != null && !line.contains("serves on"); line = log.readLine()) {
                continue;
            }
            hold(held, idle, port);
            Load load = new Load(world.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                    (random, n) -> new Load.Ask("r" + n, "mg " + random.nextInt(100) + " v Or" + n
                            + " Pc=read,d=5000", null), 2, 10_000, 1);
            load.start(BUSY);
            Thread.sleep(1_500); // the code is compiled meanwhile
            Load.Counts before = load.counts();
            Load measured = new Load(world.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                    (random, n) -> new Load.Ask("m" + n, "mg " + random.nextInt(100) + " v Om" + n
                            + " Pc=read,d=5000", null), 2, 10_000, 2);
            measured.start(BUSY);
            Thread.sleep(seconds * 1000L);
            Load.Counts counts = measured.counts();
            long requests = counts.served() + load.counts().served() - before.served();
            if (counts.lost() + counts.failed() > 0) {
                System.out.println("  lost or failed: " + counts);
            }
            new ProcessBuilder("jcmd", String.valueOf(process.pid()), "GC.run").start().waitFor();
            return new Run(counts.p50(), counts.p99(), requests, rss(process.pid()), heap(process.pid()),
                    held.size());
        } finally {
            for (SocketChannel channel : held) {
                channel.close();
            }
            if (process != null) {
                process.destroyForcibly().waitFor();
            }
            world.shutdownGracefully();
        }
    }

    /** Opens connections, from a new loopback address for each few thousand, each of which asks once. */
    private static void hold(List<SocketChannel> held, int idle, int port) throws Exception {
        byte[] ask = "mn\r\n".getBytes();
        for (int i = 0; i < idle; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.bind(new InetSocketAddress("127.0.1." + (1 + i / PER_SOURCE), 0));
            channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            channel.write(java.nio.ByteBuffer.wrap(ask));
            java.nio.ByteBuffer answer = java.nio.ByteBuffer.allocate(16);
            if (channel.read(answer) < 0) {
                channel.close();
                return;
            }
            held.add(channel);
        }
    }

    private static long rss(long pid) throws Exception {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
            }
        }
        return 0;
    }

    private static long heap(long pid) throws Exception {
        Process histogram = new ProcessBuilder("jcmd", String.valueOf(pid), "GC.class_histogram").start();
        long bytes = 0;
        for (String line : new String(histogram.getInputStream().readAllBytes()).split("\n")) {
            if (line.startsWith("Total")) {
                bytes = Long.parseLong(line.trim().split("\\s+")[2]);
            }
        }
        return bytes;
    }
}
