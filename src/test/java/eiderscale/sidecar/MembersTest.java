package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.cli.Tools;
import eiderscale.config.Cases;
import eiderscale.fleet.Child;
import eiderscale.fleet.Keeper;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Five processes that find one another, and what is done to them. */
class MembersTest {
    @TempDir
    Path folder;

    private Keeper keeper;
    private final List<Child> children = new ArrayList<>();

    @BeforeEach
    void begin() throws Exception {
        keeper = new Keeper();
    }

    @AfterEach
    void end() throws Exception {
        keeper.close();
    }

    private Child start(int number, String listen, int seed) throws IOException {
        String text = Cases.base("127.0.0.1:21001", "127.0.0.1:21002").replace("[limits]", "[operators]\ncontrol = \"127.0.0.1:0\"\n\n"
                + "[members]\nlisten = \"" + listen + "\"\nname = \"desk-" + number + "\"\n" + (seed == 0 ? "" : "seeds = [\"127.0.0.1:" + seed
                + "\"]\n") + "\n[limits]");
        Path file = Files.writeString(folder.resolve("app" + number + ".toml"), text);
        Child child = new Child(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
                "-Xshare:auto", "-XX:+UseSerialGC", "-Xmx64m", "-cp", System.getProperty("java.class.path"), "eiderscale.cli.Stairshelf",
                "sidecar", file.toString()), Map.of(), Path.of("").toAbsolutePath(), keeper);
        return child;
    }

    private static int port(Child child) throws InterruptedException {
        return child.port(" listens on 127.0.0.1:", Talk.LIMIT_MS);
    }

    private static Tools.Said members(Child child) throws InterruptedException {
        return Tools.run("members", "--control", "127.0.0.1:" + child.port("operators call", Talk.LIMIT_MS));
    }

    /** Waits until each of these holds so many for there. */
    private static void awaitHere(List<Child> all, int here) throws Exception {
        for (Child child : all) {
            Fleet.await(() -> members(child).text().contains(" here " + here + " "), here + " are here, but " + members(child).text());
        }
    }

    @Test
    void theyFindOneAnotherAndNoticeWhoCrashesStallsLeavesAndComesBack() throws Exception {
        children.add(start(0, "127.0.0.1:0", 0));
        int seed = port(children.get(0));
        for (int i = 1; i < 5; i++) {
            children.add(start(i, "127.0.0.1:0", seed));
        }
        awaitHere(children, 5);
        assertTrue(members(children.get(4)).text().contains("larger-part"));
        // What is foreign, broken or too long is dropped and counted.
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            for (int length : new int[] {0, 1, 200, 256, 257, 1400}) {
                socket.send(new DatagramPacket(new byte[length], length, InetAddress.getLoopbackAddress(), seed));
            }
        }
        Fleet.await(() -> !members(children.get(0)).text().contains(" foreign 0 "), "counted");
        // The seed dies: the others go on without it, and it comes back under its name and address.
        children.get(0).kill();
        awaitHere(children.subList(1, 5), 4);
        children.set(0, start(0, "127.0.0.1:" + seed, port(children.get(3))));
        awaitHere(children, 5);
        // One stands still for long enough to be held for dead, and objects when it goes on.
        Child still = children.get(2);
        Child.signal("STOP", List.of(still));
        List<Child> others = new ArrayList<>(children);
        others.remove(still);
        awaitHere(others, 4);
        Child.signal("CONT", List.of(still));
        awaitHere(children, 5);
        // One leaves, and is not counted as lost.
        assertEquals(0, children.get(1).stop(Talk.LIMIT_MS));
        List<Child> left = new ArrayList<>(children);
        left.remove(1);
        awaitHere(left, 4);
        Fleet.await(() -> members(children.get(3)).text().contains(" known 4 "), "it has left");
    }
}
