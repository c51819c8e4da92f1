package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Connections that are closed on the balancer's own account: no command that had come is lost with them. */
class ClosingTest {
    private static final int SOCKETS = 256;
    /** Three quarters of the third that clients may open: from there on idle ones go. */
    private static final int EASY = 63;
    private static final int CLIENTS = 70;
    private static final int ROUNDS = 40;

    private static void ask(Peer client, String id) {
        try {
            client.write("ms 1 1 O" + id + " Pc=copy,t=acme,d=9000\r\nx\r\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * The losing interleaving, by force: commands come while the loop is past the reads of its turn, and the very
     * turn closes their connections. A close without a last look at the socket resets them, unread.
     */
    @Test
    void commandsThatComeInTheTurnOfTheCloseAreServed() throws Exception {
        List<Peer> clients = new ArrayList<>();
        try (Rig rig = new Rig(FakeHost.serving())) {
            rig.sockets = SOCKETS;
            rig.start();
            int forced = 0;
            // A machine that is slow between two rounds has some closed by then, as they were idle for 100 ms.
            for (int round = 0; forced < ROUNDS && round < 20 * ROUNDS; round++) {
                if (!played(rig, clients, round)) {
                    connect(rig, clients);
                    continue;
                }
                forced++;
                for (int i = 0; i < CLIENTS; i++) {
                    String line = clients.get(i).line();
                    assertTrue(line != null && (line.equals("HD Or" + round + "x" + i + " c77")
                            || line.startsWith("SERVER_ERROR busy")), "round " + round + ", client " + i + ": " + line);
                }
            }
            assertEquals(ROUNDS, forced);
        } finally {
            for (Peer client : clients) {
                client.close();
            }
        }
    }

    /** All ask while the loop is past its reads, and the closes follow; false if some are closed already. */
    private static boolean played(Rig rig, List<Peer> clients, int round) throws Exception {
        return rig.loop.submit(() -> {
            boolean all = rig.node.gauges().startsWith("clients " + CLIENTS + " told-to-go 0 ");
            if (all) {
                // Swept now, so that the loop does not count as late after the pause, when it would close nobody.
                rig.node.sweep();
                sleep(130);
                for (int i = 0; i < CLIENTS; i++) {
                    ask(clients.get(i), "r" + round + "x" + i);
                }
                // On loopback what is written is there; this turn's reads are over.
                rig.node.sweep();
            }
            return all;
        }).get();
    }

    private static void connect(Rig rig, List<Peer> clients) throws Exception {
        for (Peer client : clients) {
            client.close();
        }
        clients.clear();
        ServingTest.awaitGauge(rig, "clients 0 ");
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(rig.client());
            ask(clients.get(i), "first" + i);
        }
        for (Peer client : clients) {
            client.line();
        }
    }

    private static void awaitQuietly(CountDownLatch held) {
        try {
            held.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Clients that asked once and keep their connections once left the others none to ask on (incident r20015f). */
    @Test
    void whenManyAreOpenThoseIdleForLongestAreToldToGo() throws Exception {
        List<Peer> clients = new ArrayList<>();
        try (Rig rig = new Rig(FakeHost.serving())) {
            rig.sockets = SOCKETS;
            rig.start();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(rig.client());
                ask(clients.get(i), "first" + i);
                assertEquals("HD Ofirst" + i + " c77", clients.get(i).line());
            }
            for (int i = 0; i < CLIENTS - EASY; i++) {
                assertNull(clients.get(i).line(), "idle for longest: " + i);
            }
            ServingTest.awaitGauge(rig, "clients " + EASY + " ");
            for (int i = CLIENTS - EASY; i < CLIENTS; i++) {
                assertEquals("MN", clients.get(i).ask("mn"));
            }
        } finally {
            for (Peer client : clients) {
                client.close();
            }
        }
    }

    /**
     * Where the loop has stood still, what it takes for idle may have asked meanwhile: nobody is closed for ease. A round
     * that begins when some have been idle for so long that they were told to go, as this program itself stood still, tells
     * nothing, and is tried again with others.
     */
    @Test
    void aLoopThatIsLateClosesNobodyForEase() throws Exception {
        int rounds = 0;
        for (int i = 0; i < 60 && rounds < 5; i++) {
            rounds += lateRounds(5 - rounds);
        }
        assertEquals(5, rounds);
    }

    /** How many rounds told something. */
    private static int lateRounds(int most) throws Exception {
        String nobodyGone = "clients " + CLIENTS + " told-to-go 0 ";
        List<Peer> clients = new ArrayList<>();
        try (Rig rig = new Rig(FakeHost.serving())) {
            rig.sockets = SOCKETS;
            rig.start();
            // The loop is held while they connect, however long that takes: none of them has been idle when it goes on.
            CountDownLatch held = new CountDownLatch(1);
            rig.loop.execute(() -> awaitQuietly(held));
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(rig.client());
                ask(clients.get(i), "first" + i);
            }
            for (int round = 0; round < most; round++) {
                int now = round;
                Callable<String> late = () -> {
                    if (!rig.node.gauges().startsWith(nobodyGone)) {
                        return null;
                    }
                    sleep(550);
                    for (int i = 0; i < CLIENTS; i++) {
                        ask(clients.get(i), "late" + now + "x" + i);
                    }
                    rig.node.sweep();
                    return rig.node.gauges();
                };
                FutureTask<String> task = new FutureTask<>(late);
                // Once, so soon behind the hold that all are here and answered.
                rig.loop.execute(now > 0 ? task : () -> rig.loop.schedule(task, 30, TimeUnit.MILLISECONDS));
                held.countDown();
                String gauges = task.get();
                if (gauges == null) {
                    return round;
                }
                for (int i = 0; now == 0 && i < CLIENTS; i++) {
                    assertEquals("HD Ofirst" + i + " c77", clients.get(i).line());
                }
                assertTrue(gauges.startsWith(nobodyGone), gauges);
                for (int i = 0; i < CLIENTS; i++) {
                    String line = clients.get(i).line();
                    assertTrue(line != null && (line.equals("HD Olate" + round + "x" + i + " c77")
                            || line.startsWith("SERVER_ERROR busy")), "round " + round + ", client " + i + ": " + line);
                }
            }
            return most;
        } finally {
            for (Peer client : clients) {
                client.close();
            }
        }
    }

    /**
     * What crosses the close on its way finds an orderly end, by which its client knows to ask again elsewhere. A round in
     * which the loop was late, as this program stood still, closes nobody, and is tried again.
     */
    @Test
    void aCommandThatCrossesTheCloseFindsAnEndAndNoReset() throws Exception {
        List<Peer> clients = new ArrayList<>();
        FakeHost host = FakeHost.serving();
        try (Rig rig = new Rig(host)) {
            rig.sockets = SOCKETS;
            rig.start();
            int ended = 0;
            for (int round = 0; round < 60 && ended == 0; round++) {
                connect(rig, clients);
                rig.loop.submit(() -> {
                    rig.node.sweep();
                    sleep(130);
                    rig.node.sweep();
                }).sync();
                // The closes come behind the turn's reads.
                rig.loop.submit(() -> { }).sync();
                int before = host.commands.size();
                for (int i = 0; i < 8; i++) {
                    // Written after the close, perhaps before its client has seen it.
                    ask(clients.get(i), "cross" + i);
                    String line = clients.get(i).lineOrReset();
                    assertTrue(line == null || line.equals("HD Ocross" + i + " c77"), "client " + i + ": " + line);
                    ended += line == null ? 1 : 0;
                }
                assertTrue(host.commands.size() <= before + 8 - ended, "what was not answered never went out");
            }
            assertTrue(ended > 0);
        } finally {
            for (Peer client : clients) {
                client.close();
            }
        }
    }

    @Test
    void aStopWithEverybodyIdleTellsAllAndEnds() throws Exception {
        List<Peer> clients = new ArrayList<>();
        try (Rig rig = new Rig(FakeHost.serving())) {
            rig.sockets = SOCKETS;
            rig.start();
            for (int i = 0; i < 50; i++) {
                clients.add(rig.client());
                assertEquals("MN", clients.get(i).ask("mn"));
            }
            io.netty.util.concurrent.Future<?> stopped = rig.loop.submit(rig.node::stop).get();
            for (Peer client : clients) {
                assertNull(client.lineOrReset(), "an orderly end");
                client.close();
            }
            assertTrue(stopped.await(Peer.LIMIT_MS));
        }
    }

    /** Guards against lost requests: between two turns of refusals none was open, and the rest was let go (review/4, now and then). */
    @Test
    void whatStandsBehindAStopIsRefusedThoughAllThatWasOpenEndsAtOnce() throws Exception {
        int commands = 200;
        java.util.concurrent.CountDownLatch gate = new java.util.concurrent.CountDownLatch(1);
        FakeHost host = FakeHost.answering(command -> {
            try {
                gate.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return FakeHost.served(command);
        });
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < commands; i++) {
                all.append("mg k v Os").append(i).append(" Pc=read,t=acme,d=9000\r\n");
            }
            client.write(all.toString());
            ServingTest.awaitGauge(rig, "open 64 ");
            rig.loop.submit(rig.node::closeClients).sync();
            gate.countDown();
            int answers = 0;
            for (String line = client.line(); line != null; line = client.line()) {
                if (line.startsWith("VA ")) {
                    client.line();
                }
                answers++;
            }
            assertEquals(commands, answers);
        }
    }

    /** A stop is such a close for all connections at once. */
    @Test
    void commandsThatComeInTheTurnOfAStopAreServed() throws Exception {
        List<Peer> clients = new ArrayList<>();
        try (Rig rig = new Rig(FakeHost.serving())) {
            rig.sockets = SOCKETS;
            rig.start();
            for (int i = 0; i < 40; i++) {
                clients.add(rig.client());
                ask(clients.get(i), "first" + i);
                assertEquals("HD Ofirst" + i + " c77", clients.get(i).line());
            }
            rig.loop.submit(() -> {
                for (int i = 0; i < 40; i++) {
                    ask(clients.get(i), "last" + i);
                }
                rig.node.closeClients();
            }).sync();
            for (int i = 0; i < 40; i++) {
                assertEquals("HD Olast" + i + " c77", clients.get(i).line());
                assertNull(clients.get(i).line(), "and then the end");
            }
        } finally {
            for (Peer client : clients) {
                client.close();
            }
        }
    }
}
