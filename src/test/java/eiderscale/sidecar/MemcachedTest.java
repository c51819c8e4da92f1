package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Before real memcached servers, as a user runs them. Where there is no memcached these are passed over, but not
 * where CI runs: .ci/run installs it.
 */
class MemcachedTest {
    @TempDir
    Path folder;

    private final List<Process> servers = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    private NioEventLoopGroup own;
    private Sidecar sidecar;

    @BeforeEach
    void start() throws Exception {
        boolean there = new ProcessBuilder("sh", "-c", "command -v memcached").start().waitFor() == 0;
        Assumptions.assumeTrue(there || System.getenv("CI") != null, "no memcached here");
        for (int i = 0; i < 2; i++) {
            ports.add(freePort());
            servers.add(memcached(ports.get(i)));
        }
        Path file = Files.writeString(folder.resolve("app.toml"), """
                application = "portal"
                listen = ["127.0.0.1:0"]
                [pool]
                kind = "memcached"
                hosts = ["127.0.0.1:%d", "127.0.0.1:%d"]
                [[classes]]
                name = "get"
                operation = "read"
                effect = "safe"
                aim = "1s"
                deadline = "5s"
                [[classes]]
                name = "set"
                operation = "write"
                effect = "unsafe"
                aim = "1s"
                deadline = "5s"
                [[routes]]
                operation = "read"
                class = "get"
                [[routes]]
                operation = "write"
                class = "set"
                # end
                """.formatted(ports.get(0), ports.get(1)));
        own = new NioEventLoopGroup(1);
        sidecar = Sidecar.start(file, own.next(), log::add);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static Process memcached(int port) throws Exception {
        List<String> command = new ArrayList<>(List.of("memcached", "-l", "127.0.0.1", "-p", String.valueOf(port),
                "-U", "0", "-m", "16", "-t", "1"));
        if ("root".equals(System.getProperty("user.name"))) {
            command.addAll(List.of("-u", "nobody"));
        }
        Process process = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        for (int i = 0; i < 1000; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
                return process;
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        throw new IllegalStateException("memcached does not come up: " + command);
    }

    @AfterEach
    void stop() throws InterruptedException {
        for (Process server : servers) {
            server.destroyForcibly().waitFor();
        }
        if (own != null) {
            own.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }

    private Talk client() throws IOException {
        return new Talk(sidecar.addresses().get(0));
    }

    @Test
    void aMissGoesToTheClientAndAHitBringsWhatWasStored() throws Exception {
        try (Talk client = client()) {
            assertEquals("EN O1", client.ask("mg hello v O1"));
            assertTrue(client.ask("ms hello 5 O2\r\nworld").startsWith("HD O2 c"));
            assertEquals("VA 5 O3", client.ask("mg hello v O3"));
            assertEquals("world", client.value);
            assertEquals(0, sidecar.totals().refused() + sidecar.totals().failed());
        }
    }

    @Test
    void aPlainMetaClientNeedsNeitherIdNorFigures() throws Exception {
        try (Talk client = client()) {
            assertEquals("EN", client.ask("mg plain v"));
            assertTrue(client.ask("ms plain 2\r\nhi").startsWith("HD c"));
            assertEquals("VA 2", client.ask("mg plain v"));
            assertEquals("hi", client.value);
            assertEquals("MN", client.ask("mn"));
        }
    }

    @Test
    void flagsThatChangeNothingGoThrough() throws Exception {
        try (Talk client = client()) {
            assertTrue(client.ask("ms k 3 O1 T3600 F7\r\nabc").startsWith("HD O1 c"));
            String line = client.ask("mg k v f t s O2");
            assertTrue(line.matches("VA 3 O2 f7 t3[0-9]{3} s3"), line);
            assertEquals("CLIENT_ERROR unknown flag", client.ask("mg k v T60"));
            assertEquals("CLIENT_ERROR unknown flag", client.ask("ms k 1 MA\r\nx"));
            assertEquals("CLIENT_ERROR unknown flag", client.ask("ms k 1 T60 T60\r\nx"));
            assertEquals("VA 3 O3", client.ask("mg k v O3"));
        }
    }

    @Test
    void valuesAreWholeUpToTheirBound() throws Exception {
        try (Talk client = client()) {
            for (int size : new int[] {0, 1, 1000, 65536}) {
                String value = "v".repeat(size);
                assertTrue(client.ask("ms size" + size + " " + size + "\r\n" + value).startsWith("HD c"));
                assertEquals("VA " + size, client.ask("mg size" + size + " v"));
                assertEquals(value, client.value);
            }
        }
    }

    @Test
    void aKeyLivesOnItsServerAndBothAreUsed() throws Exception {
        try (Talk client = client()) {
            for (int i = 0; i < 200; i++) {
                assertTrue(client.ask("ms key" + i + " 1\r\nx").startsWith("HD c"));
                assertEquals("VA 1", client.ask("mg key" + i + " v"), "where it was written it is read: key" + i);
            }
            for (int port : ports) {
                assertTrue(items(port) > 40, "items at " + port + ": " + items(port));
            }
        }
    }

    private static int items(int port) throws IOException {
        try (Talk direct = new Talk(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))) {
            direct.send("stats\r\n");
            int items = -1;
            for (String line = direct.line(); !line.equals("END"); line = direct.line()) {
                items = line.startsWith("STAT curr_items ") ? Integer.parseInt(line.split(" ")[2]) : items;
            }
            return items;
        }
    }

    @Test
    void aServerThatDiesIsDoneWithout() throws Exception {
        try (Talk client = client()) {
            for (int i = 0; i < 50; i++) {
                client.ask("ms key" + i + " 1\r\nx");
            }
            servers.get(0).destroyForcibly().waitFor();
            int served = 0;
            for (int i = 0; i < 100; i++) {
                String line = client.ask("mg key" + i % 50 + " v");
                served += line.equals("EN") || line.equals("VA 1") ? 1 : 0;
            }
            assertEquals(100, served, "another server says at least that it does not have it");
            for (int i = 0; i < 50; i++) {
                String line = client.ask("ms key" + i + " 1\r\ny");
                // Connects are refused, so that nothing ran and the other server may take it.
                assertTrue(line.startsWith("HD c"), line);
            }
            servers.set(0, memcached(ports.get(0)));
            // Its breaker is tried again within moments; until then the other one serves.
            for (int i = 0; i < 2000 && items(ports.get(0)) == 0; i++) {
                client.ask("ms back" + i + " 1\r\nz");
                Thread.sleep(5);
            }
            assertTrue(items(ports.get(0)) > 0, "it is used again");
        }
    }

    @Test
    void whatMemcachedCannotStoreHasFailed() throws Exception {
        try (Talk client = client()) {
            String key = "k".repeat(250);
            assertTrue(client.ask("ms " + key + " 1\r\nx").startsWith("HD c"));
            assertEquals("CLIENT_ERROR bad key", client.ask("mg " + key + "k v"));
            assertEquals("EN", client.ask("mg other v"));
            assertNull(client.value);
        }
    }
}
