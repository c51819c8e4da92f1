package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.cli.Ctl;
import eiderscale.standin.StandInHost;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Operators' calls to a sidecar, by the command that they use. */
class OperatorsTest {
    @TempDir
    Path folder;

    private static String withOperators(Fleet fleet) {
        return fleet.base().replace("[limits]", "[operators]\ncontrol = \"127.0.0.1:0\"\nfolder = \".\"\n\n[limits]");
    }

    private static int ctl(Sidecar sidecar, String... words) {
        String[] all = new String[words.length + 2];
        all[0] = "--control";
        all[1] = "127.0.0.1:" + sidecar.control().getPort();
        System.arraycopy(words, 0, all, 2, words.length);
        return Ctl.run(all);
    }

    private static boolean gets(Fleet fleet, StandInHost host, int reads) throws Exception {
        long before = host.commands();
        try (Talk client = fleet.client()) {
            for (int i = 0; i < reads; i++) {
                assertTrue(client.ask("mg stmt:" + i + " v O" + i).startsWith("VA "));
            }
        }
        return host.commands() > before;
    }

    @Test
    void aHostIsTakenOutAndPutBackOverReloads() throws Exception {
        try (Fleet fleet = new Fleet(folder)) {
            fleet.write(withOperators(fleet)).start();
            assertEquals(0, ctl(fleet.sidecar, "health"));
            assertTrue(gets(fleet, fleet.second, 40));
            assertEquals(1, ctl(fleet.sidecar, "offline", "nobody"));
            assertEquals(0, ctl(fleet.sidecar, "offline", "second", "second"));
            assertFalse(gets(fleet, fleet.second, 40));
            // Other settings, and the same hosts told anew.
            fleet.write(withOperators(fleet).replace("quantile = 0.95", "quantile = 0.9"));
            assertTrue(fleet.reload().startsWith("reloaded"));
            assertFalse(gets(fleet, fleet.second, 40));
            assertEquals(0, ctl(fleet.sidecar, "online", "second"));
            Fleet.await(() -> gets(fleet, fleet.second, 40), "used again, within what a cold host may have");
            assertEquals(2, ctl(fleet.sidecar, "offline"));
            assertEquals(2, ctl(fleet.sidecar, "health", "second"));
            assertEquals(2, ctl(fleet.sidecar, "restart"));
        }
    }

    private static boolean mayServe(Fleet fleet) throws Exception {
        try (Talk client = fleet.client()) {
            return client.ask("mg stmt:" + System.nanoTime() + " v Oz").startsWith("VA ");
        }
    }

    @Test
    void allHostsOutIsARefusalAtOnce() throws Exception {
        try (Fleet fleet = new Fleet(folder)) {
            fleet.write(withOperators(fleet).replaceFirst("2500ms", "20s")).start();
            String first = fleet.first.endpoint();
            assertEquals(0, ctl(fleet.sidecar, "offline", "second", first));
            try (Talk client = fleet.client()) {
                long begun = System.nanoTime();
                assertTrue(client.ask("mg stmt:a v Oa").startsWith("SERVER_ERROR busy"));
                // The class has 20 s: a request that is held back would wait for them.
                assertTrue(System.nanoTime() - begun < TimeUnit.SECONDS.toNanos(10), "given up at once");
            }
            assertEquals(0, ctl(fleet.sidecar, "online", first));
            Fleet.await(() -> mayServe(fleet), "served again");
        }
    }

    @Test
    void aSecondSidecarTakesThePlaceOfTheFirst() throws Exception {
        NioEventLoopGroup other = new NioEventLoopGroup(1);
        try (Fleet fleet = new Fleet(folder)) {
            fleet.write(withOperators(fleet)).start();
            assertEquals(0, ctl(fleet.sidecar, "offline", "second"));
            int port = fleet.sidecar.addresses().get(0).getPort();
            // The first has taken any port; its successor is told which.
            Path next = Files.writeString(folder.resolve("next.toml"),
                    withOperators(fleet).replace("listen = [\"127.0.0.1:0\"]", "listen = [\"127.0.0.1:" + port + "\"]"));
            Sidecar fresh = Sidecar.start(next, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), other.next(), line -> { });
            assertEquals(0, ctl(fresh, "health"));
            fleet.sidecar.stop().await(Talk.LIMIT_MS);
            Fleet.await(() -> ctl(fleet.sidecar, "health") == 1, "a sidecar that has stopped says no");
            assertFalse(gets(fleet, fleet.second, 40), "out at the second as well");
            assertEquals(0, ctl(fresh, "online", "second"));
            Fleet.await(() -> gets(fleet, fleet.second, 40), "used again, within what a cold host may have");
            fresh.stop().await(Talk.LIMIT_MS);
        } finally {
            other.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    @Test
    void aFolderThatIsNotThereIsNamed() throws Exception {
        try (Fleet fleet = new Fleet(folder)) {
            fleet.write(withOperators(fleet).replace("folder = \".\"", "folder = \"nowhere\""));
            Exception thrown = org.junit.jupiter.api.Assertions.assertThrows(java.io.IOException.class, fleet::start);
            assertTrue(thrown.getMessage().contains("operators.folder"), thrown.getMessage());
        }
    }
}
