package eiderscale.net;

import eiderscale.Api;
import eiderscale.config.Catalog;
import eiderscale.config.Json;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Connections that are long in coming up: what ended meanwhile must not be written once they are. */
class ConnectingTest {
    /** A listening socket whose accept queue is full: connections to it come up only when it accepts. */
    private static final class FullHost implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        final List<Socket> fillers = new ArrayList<>();

        FullHost() throws IOException {
            for (int i = 0; i < 2; i++) {
                fillers.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
            }
        }

        String target() {
            return Rig.target("s-full", "127.0.0.1:" + server.getLocalPort(), "Ready");
        }

        Peer accept() throws IOException {
            server.setSoTimeout(Peer.LIMIT_MS);
            while (!fillers.isEmpty()) {
                server.accept().close();
                fillers.remove(0).close();
            }
            return new Peer(server.accept());
        }

        @Override
        public void close() throws IOException {
            for (Socket filler : fillers) {
                filler.close();
            }
            server.close();
        }
    }

    /** A host forgets connections after 120 ms and resets them as they are used: unsafe work was lost each time. */
    @Test
    void unsafeRequestsKeepOffConnectionsOfAnAgeThatWasReset() throws Exception {
        FakeHost[] host = new FakeHost[1];
        host[0] = new FakeHost(peer -> {
            long answeredAt = 0;
            for (String command = host[0].next(peer); command != null; command = host[0].next(peer)) {
                if (answeredAt != 0 && System.nanoTime() - answeredAt > 120_000_000L) {
                    peer.reset();
                    return;
                }
                peer.write(FakeHost.served(command));
                answeredAt = System.nanoTime();
            }
        });
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            long before = System.nanoTime();
            assertEquals("HD O2 c77", client.ask(Rig.COPY));
            Thread.sleep(150);
            assertEquals("SERVER_ERROR failed", client.ask(Rig.COPY), "it may have run: this is how it is learnt");
            // The age that was learnt is this at the most, however slow the machine.
            long learnt = (System.nanoTime() - before) / 1_000_000;
            assertEquals("HD O2 c77", client.ask(Rig.COPY));
            int told = 0;
            for (int i = 0; i < 200 && told < 5; i++) {
                Thread.sleep(learnt + 20);
                int connections = host[0].connections.get();
                before = System.nanoTime();
                assertEquals("HD O2 c77", client.ask(Rig.COPY), "on a new connection");
                assertEquals(connections + 1, host[0].connections.get());
                String second = client.ask(Rig.COPY);
                if (System.nanoTime() - before < 120_000_000L) {
                    assertEquals("HD O2 c77", second, "a young one is used again");
                    assertEquals(connections + 1, host[0].connections.get());
                    told++;
                } else if (!second.startsWith("HD ")) {
                    // This program stood still between the two, and the connection had been forgotten.
                    assertEquals("SERVER_ERROR failed", second);
                    learnt = Math.min(learnt, (System.nanoTime() - before) / 1_000_000);
                }
            }
            assertEquals(5, told);
        }
    }

    @Test
    void whatWasCutWhileItsConnectionCameUpIsNeverWritten() throws Exception {
        try (FullHost host = new FullHost(); Rig rig = new Rig()) {
            rig.extraTargets.add(host.target());
            rig.connectMs = Peer.LIMIT_MS;
            rig.start();
            try (Peer client = rig.client()) {
                assertEquals("SERVER_ERROR busy 2000", client.ask("ms 1 1 O1 Pc=copy,t=acme,d=100\r\nx"),
                        "never written, so never run: trying again is harmless");
                try (Peer leaver = rig.client()) {
                    leaver.write("ms 1 1 O2 Pc=copy,t=acme,d=9000\r\nx\r\n");
                    ServingTest.awaitGauge(rig, " links 2 ");
                }
                // Both connections come up now, and the first command on them is one sent later.
                try (Peer first = host.accept(); Peer second = host.accept()) {
                    ServingTest.awaitGauge(rig, " idle 2");
                    client.write("ms 1 1 O3 Pc=copy,t=acme,d=9000\r\nx\r\nms 1 1 O4 Pc=copy,t=acme,d=9000\r\nx\r\n");
                    for (Peer peer : List.of(first, second)) {
                        String command = peer.line();
                        assertTrue(command.contains(" O3 ") || command.contains(" O4 "), command);
                    }
                }
            }
        }
    }

    @Test
    void aConnectionThatNeverComesUpIsGivenUpInTime() throws Exception {
        try (FullHost host = new FullHost(); Rig rig = new Rig()) {
            rig.extraTargets.add(host.target());
            rig.connectMs = 50;
            rig.start();
            try (Peer client = rig.client()) {
                assertEquals("SERVER_ERROR busy", client.ask(Rig.COPY));
                ServingTest.awaitGauge(rig, " links 0 ");
            }
        }
    }

    @Test
    void noSendStartsPastTheDrainGrace() throws Exception {
        try (FullHost host = new FullHost(); Rig rig = new Rig()) {
            rig.extraTargets.add(host.target());
            rig.connectMs = Peer.LIMIT_MS;
            rig.graceMs = 0;
            rig.start();
            try (Peer client = rig.client()) {
                client.write(Rig.COPY + "\r\n");
                ServingTest.awaitGauge(rig, " links 1 ");
                Catalog drained = Catalog.parse(Json.parse(("{\"rev\":8,\"all\":false,\"targets\":["
                        + host.target().replace("Ready", "Terminating") + "]}").getBytes()), rig.site());
                rig.loop.submit(() -> rig.node.onList(eiderscale.Api.ListMode.DELTA, drained.members())).get();
                try (Peer peer = host.accept()) {
                    assertEquals("SERVER_ERROR busy", client.line());
                    assertEquals(null, peer.line(), "closed without a command");
                }
            }
        }
    }

    /** Guards against work that goes to the wrong host: another one was listed at the address while a connection came up. */
    @Test
    void aConnectionToAnAddressThatAnotherHostHasTakenOverIsNotUsed() throws Exception {
        try (FullHost host = new FullHost(); Rig rig = new Rig()) {
            rig.extraTargets.add(host.target());
            rig.graceMs = 5_000;
            rig.start();
            try (Peer client = rig.client()) {
                client.write(Rig.COPY + "\r\n");
                ServingTest.awaitGauge(rig, "open 1 ");
                String gone = host.target().replace("Ready", "Gone");
                String follows = host.target().replace("s-full", "s-new");
                Catalog list = Catalog.parse(Json.parse(("{\"rev\":8,\"all\":false,\"targets\":[" + gone + "," + follows + "]}")
                        .getBytes()), rig.site());
                rig.loop.submit(() -> rig.node.onList(Api.ListMode.DELTA, list.members())).sync();
                try (Peer taken = host.accept()) {
                    assertEquals(null, taken.line(), "nothing is written to the one that follows");
                }
                try (Peer again = host.accept()) {
                    assertTrue(again.line().startsWith("ms 7f3a9c21e0b4d655 5 O2"), "it goes out again, to the new host");
                    again.data(5);
                    again.write("HD O2 c5\r\n");
                    assertEquals("HD O2 c5", client.line());
                }
            }
        }
    }
}
