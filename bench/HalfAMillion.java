import eiderscale.standin.Load;
import eiderscale.standin.StandInHost;
import eiderscale.standin.StandInOrigin;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * Idle connections over many sidecars, as one process holds no more than its descriptors allow: how many are held, what
 * a few busy clients of one of the sidecars notice of it beside those of an empty one (in turn, in pairs), what comes
 * when all idle ones ask at one moment, and how long a stop with everybody idle takes. Each sidecar's connections are
 * held by a process of their own, from several loopback addresses. Bounded in number and in time. After the build:
 *
 *     java -cp target/eiderscale.jar bench/HalfAMillion.java [BALANCERS [IDLE-EACH [PAIRS [SECONDS]]]]
 */
public final class HalfAMillion {
    private static final int BUSY = 8;
    private static final int PER_SOURCE = 4_000;
    private static final int MOST_EACH = 14_800;
    private static final String ASK = "mg %d v O%d Pc=read,d=5000\r\n";

    private HalfAMillion() {
    }

    private record Sidecar(Process process, int port) {
    }

    private record Held(Process process, BufferedReader out, int count) {
        String tell(String word) throws IOException {
            process.getOutputStream().write((word + "\n").getBytes(StandardCharsets.US_ASCII));
            process.getOutputStream().flush();
            return out.readLine();
        }
    }

    public static void main(String[] args) throws Exception {
        if (args.length > 0 && args[0].equals("hold")) {
            hold(Integer.parseInt(args[1]), Integer.parseInt(args[2]), Integer.parseInt(args[3]));
            return;
        }
        int balancers = number(args, 0, 35, 60);
        int each = number(args, 1, 14_400, MOST_EACH);
        int pairs = number(args, 2, 5, 20);
        int seconds = number(args, 3, 4, 60);
        Path folder = Files.createTempDirectory("half-a-million");
        List<Sidecar> sidecars = new ArrayList<>();
        List<Held> holders = new ArrayList<>();
        NioEventLoopGroup world = new NioEventLoopGroup(1);
        try (StandInHost host = new StandInHost(world.next(), new StandInOrigin(0))) {
            long before = available();
            for (int i = 0; i <= balancers; i++) {
                sidecars.add(start(folder, i, host.endpoint()));
            }
            long started = available();
            Sidecar empty = sidecars.get(balancers);
            long[] rss = new long[balancers];
            for (int i = 0; i < balancers; i++) {
                rss[i] = rss(sidecars.get(i).process.pid());
            }
            for (int i = 0; i < balancers; i++) {
                Process process = new ProcessBuilder(ProcessHandle.current().info().command().orElse("java"), "-Xmx96m",
                        "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                        "bench/HalfAMillion.java", "hold", String.valueOf(sidecars.get(i).port), String.valueOf(each),
                        String.valueOf(i)).redirectError(ProcessBuilder.Redirect.INHERIT).start();
                holders.add(new Held(process, reader(process), i));
            }
            int held = 0;
            for (Held holder : holders) {
                held += Integer.parseInt(holder.out.readLine());
            }
            long grown = 0;
            for (int i = 0; i < balancers; i++) {
                new ProcessBuilder("jcmd", String.valueOf(sidecars.get(i).process.pid()), "GC.run").start().waitFor();
                grown += rss(sidecars.get(i).process.pid()) - rss[i];
            }
            System.out.printf(Locale.ROOT, "%d cores, java %s: %d idle connections held by %d sidecars%n", Runtime.getRuntime()
                    .availableProcessors(), System.getProperty("java.version"), held, balancers);
            System.out.printf(Locale.ROOT, "resident bytes of the sidecars for each %.0f; memory of the machine for each, "
                    + "both ends and the holders' processes included, %.0f%n", (double) grown / held,
                    (double) (started - available()) / held);
            pairs(world, empty.port, sidecars.get(0).port, pairs, seconds);
            allAsk(holders, held);
            stop(sidecars);
        } finally {
            holders.forEach(holder -> holder.process.destroyForcibly());
            sidecars.forEach(sidecar -> sidecar.process.destroyForcibly());
            world.shutdownGracefully();
        }
        System.exit(0);
    }

    private static int number(String[] args, int at, int usual, int most) {
        return args.length > at ? Math.min(most, Integer.parseInt(args[at])) : usual;
    }

    private static BufferedReader reader(Process process) {
        return new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    private static Sidecar start(Path folder, int number, String host) throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        Path file = Files.writeString(folder.resolve("app" + number + ".toml"), "application = \"idle\"\nlisten = [\"127.0.0.1:"
                + port + "\"]\n[limits]\nmemory = \"1GB\"\ndescriptors = 19900\nclients = 14900\n[clients]\nidle = \"1h\"\n"
                + "[pool]\nhosts = [\"" + host + "\"]\n[[classes]]\nname = \"read\"\noperation = \"read\"\n"
                + "effect = \"safe\"\naim = \"1s\"\ndeadline = \"5s\"\n");
        ProcessBuilder start = new ProcessBuilder("bin/stairshelf", "sidecar", file.toString());
        start.environment().put("STAIRSHELF_JAVA_OPTS", "-Xms64m -Xmx400m -XX:MaxDirectMemorySize=128m");
        Process process = start.redirectErrorStream(true).start();
        BufferedReader log = reader(process);
        for (String line = log.readLine(); line != null && !line.contains("serves on"); line = log.readLine()) {
            continue;
        }
        Thread drain = new Thread(() -> {
            try {
                while (log.readLine() != null) {
                    continue;
                }
            } catch (IOException e) {
                // The sidecar has ended.
            }
        });
        drain.setDaemon(true);
        drain.start();
        return new Sidecar(process, port);
    }

    private static void pairs(NioEventLoopGroup world, int empty, int full, int pairs, int seconds) throws Exception {
        List<Double> p50s = new ArrayList<>();
        List<Double> p99s = new ArrayList<>();
        for (int i = 0; i <= pairs; i++) {
            // Whichever goes first, by turns.
            Load.Counts first = busy(world, i % 2 == 0 ? empty : full, seconds, 2 * i);
            Load.Counts second = busy(world, i % 2 == 0 ? full : empty, seconds, 2 * i + 1);
            Load.Counts e = i % 2 == 0 ? first : second;
            Load.Counts f = i % 2 == 0 ? second : first;
            System.out.printf(Locale.ROOT, "  empty p50 %.3f p99 %.3f ms, with idle ones p50 %.3f p99 %.3f ms%s%n", e.p50(), e.p99(),
                    f.p50(), f.p99(), i == 0 ? "   (not counted)" : "");
            if (e.lost() + f.lost() + e.failed() + f.failed() > 0) {
                System.out.println("  lost or failed: " + e + " " + f);
            }
            if (i > 0) {
                p50s.add(f.p50() / e.p50());
                p99s.add(f.p99() / e.p99());
            }
        }
        print("p50, ratio to empty", p50s);
        print("p99, ratio to empty", p99s);
    }

    private static Load.Counts busy(NioEventLoopGroup world, int port, int seconds, int seed) throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        Load.Counts counts = null;
        for (String phase : new String[] {"w", "m"}) {
            Load load = new Load(world.next(), address, (random, n) -> new Load.Ask(phase + seed + "x" + n, "mg "
                    + random.nextInt(100) + " v O" + phase + seed + "x" + n + " Pc=read,d=5000", null), 2, 10_000, seed);
            load.start(BUSY);
            Thread.sleep(phase.equals("w") ? 1_000 : seconds * 1_000L);
            load.stop();
            Thread.sleep(200);
            counts = load.counts();
        }
        return counts;
    }

    private static void allAsk(List<Held> holders, int held) throws Exception {
        long begun = System.nanoTime();
        for (Held holder : holders) {
            holder.process.getOutputStream().write("ask\n".getBytes(StandardCharsets.US_ASCII));
            holder.process.getOutputStream().flush();
        }
        long[] sums = new long[3];
        for (Held holder : holders) {
            String[] words = holder.out.readLine().split(" ");
            for (int i = 0; i < sums.length; i++) {
                sums[i] += Long.parseLong(words[i]);
            }
        }
        System.out.printf(Locale.ROOT, "all %d ask at once: %d served, %d refused, %d with no answer or an end; over after "
                + "%.1f s%n", held, sums[0], sums[1], sums[2], (System.nanoTime() - begun) / 1e9);
    }

    private static void stop(List<Sidecar> sidecars) throws Exception {
        long begun = System.nanoTime();
        sidecars.forEach(sidecar -> sidecar.process.destroy());
        int orderly = 0;
        for (Sidecar sidecar : sidecars) {
            orderly += sidecar.process.waitFor(30, TimeUnit.SECONDS) && sidecar.process.exitValue() == 0 ? 1 : 0;
        }
        System.out.printf(Locale.ROOT, "stop with everybody idle: %d of %d ended with 0, the last after %.1f s%n", orderly,
                sidecars.size(), (System.nanoTime() - begun) / 1e9);
    }

    private static void print(String what, List<Double> figures) {
        double[] sorted = figures.stream().mapToDouble(f -> f).sorted().toArray();
        System.out.printf(Locale.ROOT, "%-26s min %.3f  median %.3f  max %.3f%n", what, sorted[0],
                sorted[sorted.length / 2], sorted[sorted.length - 1]);
    }

    private static long rss(long pid) throws IOException {
        return kilobytes(Path.of("/proc/" + pid + "/status"), "VmRSS:");
    }

    private static long available() throws IOException {
        return kilobytes(Path.of("/proc/meminfo"), "MemAvailable:");
    }

    private static long kilobytes(Path file, String key) throws IOException {
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(key)) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
            }
        }
        return 0;
    }

    // The other process: holds the connections of one sidecar.

    private static void hold(int port, int count, int number) throws Exception {
        List<SocketChannel> held = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.allocate(4096);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        for (int i = 0; i < count; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.bind(new InetSocketAddress("127.1." + (number + 1) + "." + (1 + i / PER_SOURCE), 0));
            channel.connect(address);
            channel.write(ByteBuffer.wrap("mn\r\n".getBytes(StandardCharsets.US_ASCII)));
            if (channel.read(buffer.clear()) != 4) {
                break;
            }
            held.add(channel);
        }
        System.out.println(held.size());
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        while ("ask".equals(in.readLine())) {
            System.out.println(ask(held, buffer));
        }
        // Ends of connections are answered by the end of this process; a sidecar that stops waits for them.
    }

    private static String ask(List<SocketChannel> held, ByteBuffer buffer) throws IOException {
        int[] counts = new int[3];
        for (int i = 0; i < held.size(); i++) {
            held.get(i).write(ByteBuffer.wrap(String.format(ASK, i % 100, i).getBytes(StandardCharsets.US_ASCII)));
        }
        for (SocketChannel channel : held) {
            int length = channel.read(buffer.clear());
            String line = new String(buffer.array(), 0, Math.max(0, length), StandardCharsets.US_ASCII);
            counts[line.startsWith("VA ") ? 0 : line.startsWith("SERVER_ERROR busy") ? 1 : 2]++;
        }
        return counts[0] + " " + counts[1] + " " + counts[2];
    }
}
