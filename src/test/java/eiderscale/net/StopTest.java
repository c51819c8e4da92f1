package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.fleet.Child;
import io.netty.util.concurrent.Future;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An orderly stop loses nothing that was taken. */
class StopTest {
    @TempDir
    Path folder;

    @Test
    void aStopServesOnForAWhileThenFinishesWhatIsOpen() throws Exception {
        String value = "v".repeat(64 * 1024);
        FakeHost[] host = new FakeHost[1];
        host[0] = new FakeHost(peer -> {
            String command = host[0].next(peer);
            while (command != null) {
                if (command.contains(" Olong ")) {
                    try {
                        Thread.sleep(1_500);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                peer.write(FakeHost.value(command, value));
                command = host[0].next(peer);
            }
        });
        try (Rig rig = new Rig(host).start(); Peer idle = rig.client(); Peer busy = rig.slowClient()) {
            assertEquals("MN", idle.ask("mn"));
            busy.write("mg 1 v Olong Pc=read,t=acme,d=9000\r\n");
            host[0].command();
            Future<?> stopped = rig.loop.submit(rig.node::stop).get();
            try (Peer late = rig.client()) {
                assertEquals("VA 65536 O1", late.ask(Rig.READ), "clients still come for a while");
                late.data(value.length());
                assertEquals(null, late.line(), "closed when idle");
            }
            assertEquals(null, idle.line());
            assertFalse(stopped.isDone(), "a request is open");
            assertEquals("VA 65536 Olong", busy.line());
            assertEquals(value, busy.data(value.length()), "whole, though the connection closes behind it");
            assertEquals(null, busy.line());
            assertTrue(stopped.await(Peer.LIMIT_MS));
            assertThrows(IOException.class, rig::client);
        }
    }

    private Process start(String config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Child.hearing(List.of(Path.of(System.getProperty("java.home"), "bin", "java")
                .toString(), "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-cp", System.getProperty("java.class.path"),
                "eiderscale.platform.Main")));
        builder.environment().remove("GW_CONFIG");
        if (config != null) {
            builder.environment().put("GW_CONFIG", config);
        }
        return builder.start();
    }

    private static BufferedReader log(Process process) {
        return new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
    }

    private static int exit(Process process) throws InterruptedException {
        try {
            assertTrue(process.waitFor(Peer.LIMIT_MS, TimeUnit.MILLISECONDS));
            return process.exitValue();
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void theProgramServesAndEndsWithZeroOnSigterm() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving())) {
            Path config = Files.writeString(folder.resolve("config.json"), rig.config("127.0.0.1:0"));
            Process process = start(config.toString());
            try {
                int port = servesOn(log(process));
                try (Peer client = new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
                    assertEquals("MN", client.ask("mn"));
                    assertEquals("HD O2 c77", client.ask(Rig.COPY));
                    process.destroy();
                    assertEquals("HD O2 c77", client.ask(Rig.COPY), "served after SIGTERM too");
                    client.awaitEnd();
                }
            } finally {
                assertEquals(0, exit(process));
            }
        }
    }

    /**
     * A burst of connections was accepted whole before any of it was looked at: it ran out of descriptors, and
     * the fault ended the event loop and with it the program.
     */
    @Test
    void aFloodOfConnectionsDoesNotRunOutOfDescriptors() throws Exception {
        List<Peer> flood = new ArrayList<>();
        try (Rig rig = new Rig(FakeHost.serving())) {
            // The class path of a test is long, and each of its files takes a descriptor beside what is dealt out.
            rig.sockets = 200;
            Path config = Files.writeString(folder.resolve("config.json"), rig.config("127.0.0.1:0"));
            ProcessBuilder builder = new ProcessBuilder("sh", "-c", "ulimit -n 200; exec \"$0\" \"$@\"",
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
                    "-cp", System.getProperty("java.class.path"), "eiderscale.platform.Main");
            builder.environment().put("GW_CONFIG", config.toString());
            Process process = builder.start();
            try {
                int port = servesOn(log(process));
                // Classes come from folders here: what a request and a close need is loaded while there are descriptors.
                try (Peer first = new Peer(new Socket(InetAddress.getLoopbackAddress(), port));
                        Peer silent = new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
                    assertEquals("HD O2 c77", first.ask(Rig.COPY));
                    assertEquals(null, silent.line());
                }
                for (int i = 0; i < 600; i++) {
                    flood.add(new Peer(new Socket(InetAddress.getLoopbackAddress(), port)));
                }
                String answer = null;
                long end = System.nanoTime() + Peer.LIMIT_MS * 1_000_000L;
                while (!"HD O2 c77".equals(answer) && System.nanoTime() < end) {
                    try (Peer client = new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
                        answer = client.ask(Rig.COPY);
                    } catch (IOException e) {
                        answer = null;
                    }
                }
                assertEquals("HD O2 c77", answer);
                process.destroy();
                assertEquals(0, exit(process));
            } finally {
                process.destroyForcibly();
                for (Peer peer : flood) {
                    peer.close();
                }
            }
        }
    }

    /** SIGHUP ends a JVM that has no handler for it, and with it all that was taken. */
    @Test
    void theProgramReadsItsConfigurationAgainOnSighup() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving())) {
            Path config = Files.writeString(folder.resolve("config.json"), rig.config("127.0.0.1:0"));
            Process process = start(config.toString());
            try {
                BufferedReader log = log(process);
                int port = servesOn(log);
                try (Peer client = new Peer(new Socket(InetAddress.getLoopbackAddress(), port))) {
                    Files.writeString(config, "{");
                    hangUp(process);
                    awaitLine(log, "the old configuration stays");
                    rig.discovery = "127.0.0.1:2";
                    Files.writeString(config, rig.config("127.0.0.1:0"));
                    hangUp(process);
                    hangUp(process);
                    awaitLine(log, "discovery moves");
                    assertEquals("HD O2 c77", client.ask(Rig.COPY));
                    process.destroy();
                }
            } finally {
                assertEquals(0, exit(process));
            }
        }
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    /** The port that the system gave it: one that was looked for before may be another's by now. */
    private static int servesOn(BufferedReader log) throws Exception {
        String line = awaitLine(log, "serves on");
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    }

    /** Within a generous limit: a program that says nothing more must fail a test, not hang all. */
    private static String awaitLine(BufferedReader log, String text) throws Exception {
        long end = System.nanoTime() + Peer.LIMIT_MS * 1_000_000L;
        String line = "";
        while (line != null && !line.contains(text)) {
            while (!log.ready() && System.nanoTime() < end) {
                Thread.sleep(5);
            }
            assertTrue(System.nanoTime() < end, "never said: " + text);
            line = log.readLine();
        }
        assertTrue(line != null, text);
        return line;
    }

    @Test
    void withoutConfigurationTheProgramSaysWhyInOneLineAndFails() throws Exception {
        Path broken = Files.writeString(folder.resolve("broken.json"), "{\"listen\":");
        for (String config : new String[] {null, folder.resolve("missing.json").toString(), broken.toString()}) {
            Process process = start(config);
            assertEquals(1, log(process).lines().count());
            assertEquals(1, exit(process));
        }
    }

    @Test
    void anAddressThatIsTakenEndsTheProgram() throws Exception {
        try (Rig rig = new Rig(); ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path config = Files.writeString(folder.resolve("config.json"),
                    rig.config("127.0.0.1:" + taken.getLocalPort()));
            Process process = start(config.toString());
            assertEquals(1, log(process).lines().filter(line -> line.contains("cannot start")).count());
            assertEquals(1, exit(process));
        }
    }
}
