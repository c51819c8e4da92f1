import eiderscale.fleet.Child;
import eiderscale.fleet.Keeper;
import eiderscale.standin.StandInDiscovery;
import eiderscale.standin.StandInHost;
import eiderscale.standin.StandInOrigin;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * How soon a sidecar that was killed serves again, with what it kept and without, in turn: from when it listens until its first answer
 * that is served, and what it serves of the first second. Discovery takes 100 ms for an answer. Build first, then:
 * java -cp target/eiderscale.jar bench/StateReturn.java
 */
public final class StateReturn {
    private static final int PAIRS = 9;
    private static final long SECOND = 1_000_000_000L;

    private StateReturn() {
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("state-return");
        NioEventLoopGroup world = new NioEventLoopGroup(2);
        StandInOrigin origin = new StandInOrigin(0);
        try (Keeper keeper = new Keeper(); StandInDiscovery discovery = new StandInDiscovery(world.next())) {
            for (int i = 0; i < 4; i++) {
                discovery.put("h" + i, new StandInHost(world.next(), origin).endpoint(), "Ready", 0);
            }
            discovery.takes(SECOND / 10);
            List<double[]> without = new ArrayList<>();
            List<double[]> with = new ArrayList<>();
            for (int i = 0; i <= PAIRS; i++) {
                double[] one = play(folder, "none" + i, discovery.endpoint(), keeper, false);
                double[] other = play(folder, "kept" + i, discovery.endpoint(), keeper, true);
                if (i > 0) {
                    without.add(one);
                    with.add(other);
                }
            }
            tell("without", without);
            tell("with", with);
        }
        world.shutdownGracefully();
        System.exit(0);
    }

    private static void tell(String what, List<double[]> all) {
        double[] first = all.stream().mapToDouble(one -> one[0]).sorted().toArray();
        double[] share = all.stream().mapToDouble(one -> one[1]).sorted().toArray();
        System.out.printf(Locale.ROOT, "%s: first served %.0f ms after it listens (%.0f to %.0f), of the first second %.3f%n", what,
                first[first.length / 2], first[0], first[first.length - 1], share[share.length / 2]);
    }

    private static double[] play(Path folder, String name, String discovery, Keeper keeper, boolean keeps) throws Exception {
        String text = "application = \"bench\"\nlisten = [\"127.0.0.1:0\"]\n" + (keeps ? "[state]\nfolder = \"" + name + "\"\nevery = \"200ms\"\n" : "")
                + "[pool]\nkind = \"meta\"\nsource = \"discovery\"\ndiscovery = \"" + discovery + "\"\n[[classes]]\nname = \"read\"\n"
                + "operation = \"read\"\neffect = \"safe\"\naim = \"500ms\"\ndeadline = \"1s\"\n";
        Path file = Files.writeString(folder.resolve(name + ".toml"), text);
        Child before = start(file, keeper);
        load(before.port("serves on 127.0.0.1:", 30_000), 2 * SECOND);
        before.kill();
        Child after = start(file, keeper);
        double[] result = load(after.port("serves on 127.0.0.1:", 30_000), SECOND);
        after.kill();
        return result;
    }

    private static Child start(Path file, Keeper keeper) throws IOException {
        return new Child(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-Xmx96m", "-cp", "target/eiderscale.jar", "eiderscale.cli.Stairshelf", "sidecar", file.toString()), Map.of(),
                Path.of("").toAbsolutePath(), keeper);
    }

    /** A read every 5 ms on a connection that is opened anew each time: milliseconds to the first served, and the share served. */
    private static double[] load(int port, long span) throws Exception {
        long begun = System.nanoTime();
        double first = -1;
        int asked = 0;
        int served = 0;
        List<Socket> open = new ArrayList<>();
        for (long at = begun; at < begun + span; at += 5_000_000) {
            Thread.sleep(Math.max(0, (at - System.nanoTime()) / 1_000_000));
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write(("mg key" + asked % 50 + " v Oq" + asked + " Pc=read\r\n").getBytes(StandardCharsets.US_ASCII));
            asked++;
            open.add(socket);
            // Answers that wait are taken when they are there.
            if (first < 0 || open.size() > 100) {
                for (Socket one : new ArrayList<>(open)) {
                    if (one.getInputStream().available() > 0) {
                        boolean good = new BufferedReader(new InputStreamReader(one.getInputStream())).readLine().startsWith("VA ");
                        served += good ? 1 : 0;
                        first = good && first < 0 ? (System.nanoTime() - begun) / 1e6 : first;
                        one.close();
                        open.remove(one);
                    }
                }
            }
        }
        for (Socket one : open) {
            String line = new BufferedReader(new InputStreamReader(one.getInputStream())).readLine();
            served += line != null && line.startsWith("VA ") ? 1 : 0;
            one.close();
        }
        return new double[] {first, (double) served / asked};
    }
}
