package eiderscale.net;

import eiderscale.config.Site;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;

/** A client's request and its one final answer. */
class ServingTest {
    private static int wait(String command) {
        String figures = command.substring(command.indexOf(" P") + 2).split(" ")[0];
        for (String figure : figures.split(",")) {
            if (figure.startsWith("d=")) {
                return Integer.parseInt(figure.substring(2));
            }
        }
        return -1;
    }

    @Test
    void aReadIsServedWithTheHostsValueAndNothingMeantForBalancers() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start(); Peer client = rig.client()) {
            assertEquals("MN", client.ask("mn"));
            assertEquals("VA 16 O1", client.ask(Rig.READ));
            assertEquals("7f3a9c21e0b4d655", client.data(16));
            String command = rig.hosts.get(0).command();
            assertTrue(command.startsWith("mg 7f3a9c21e0b4d655 v O1 Pc=read,t=acme,d="), command);
            assertTrue(wait(command) < 5000 && wait(command) > 0, "told what is left to wait: " + command);
        }
    }

    @Test
    void aWriteIsPassedOnWithItsValueAndKeyAndGetsItsReceipt() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start(); Peer client = rig.client()) {
            assertEquals("HD O3 c77", client.ask(Rig.PUT));
            String command = rig.hosts.get(0).command();
            assertTrue(command.startsWith("ms 7f3a9c21e0b4d655 5 O3 Pc=put,t=acme,d="), command);
            assertTrue(command.endsWith(",k=5c0f6e1a data=hello"), command);
        }
    }

    @Test
    void keptConnectionsAreUsedAgain() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start(); Peer client = rig.client()) {
            for (int i = 0; i < 5; i++) {
                assertEquals("HD O2 c77", client.ask(Rig.COPY));
            }
            assertEquals(1, rig.hosts.get(0).connections.get());
        }
    }

    @Test
    void answersComeInTheOrderOfTheCommands() throws Exception {
        Object first = new Object();
        boolean[] release = new boolean[1];
        FakeHost host = FakeHost.answering(command -> {
            if (command.contains(" Oslow ")) {
                synchronized (first) {
                    while (!release[0]) {
                        try {
                            first.wait();
                        } catch (InterruptedException e) {
                            return null;
                        }
                    }
                }
            }
            return FakeHost.value(command, "x");
        });
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            client.write("mg 1 v Oslow Pc=read,t=acme,d=9000\r\nnonsense\r\nmg 2 v Oquick Pc=read,t=acme,d=9000\r\n");
            host.command();
            host.command();
            synchronized (first) {
                release[0] = true;
                first.notifyAll();
            }
            assertEquals("VA 1 Oslow", client.line());
            client.data(1);
            assertEquals("ERROR", client.line());
            assertEquals("VA 1 Oquick", client.line());
        }
    }

    @Test
    void aHostThatTurnsAwayCausesARefusal() throws Exception {
        try (Rig rig = new Rig(FakeHost.answering(c -> "SERVER_ERROR busy Lutil=1.0\r\n")).start();
                Peer client = rig.client()) {
            assertEquals("SERVER_ERROR busy", client.ask(Rig.COPY));
        }
    }

    @Test
    void anUnsafeWriteThatMayHaveRunIsFailedNotRefused() throws Exception {
        FakeHost[] host = new FakeHost[1];
        host[0] = new FakeHost(peer -> {
            host[0].next(peer);
            peer.reset();
        });
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            assertEquals("SERVER_ERROR failed", client.ask(Rig.COPY));
            assertEquals(1, host[0].commands.size(), "never sent again");
        }
    }

    @Test
    void anUnsafeWriteThatNeverLeftIsRefused() throws Exception {
        FakeHost dead = FakeHost.serving();
        try (Rig rig = new Rig(dead)) {
            rig.start();
            dead.stop();
            try (Peer client = rig.client()) {
                assertEquals("SERVER_ERROR busy", client.ask(Rig.COPY));
            }
        }
    }

    @Test
    void aReadThatBreaksIsTriedAtAnotherHost() throws Exception {
        FakeHost.Script breaks = peer -> {
            peer.line();
            peer.reset();
        };
        try (Rig rig = new Rig(new FakeHost(breaks), FakeHost.serving()).start(); Peer client = rig.client()) {
            for (int i = 0; i < 8; i++) {
                assertEquals("VA 2 O" + i, client.ask("mg 1" + i + " v O" + i + " Pc=read,t=acme,d=5000"));
                client.data(2);
            }
        }
    }

    @Test
    void aSilentHostsRequestIsAnsweredBeforeTheClientGivesUpAndToldWhenToComeBack() throws Exception {
        FakeHost host = FakeHost.answering(c -> null);
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            assertEquals("SERVER_ERROR busy 2000", client.ask("mg 1 v O1 Pc=read,t=acme,d=150"));
            assertEquals("SERVER_ERROR failed", client.ask("ms 1 1 O2 Pc=copy,t=acme,d=150\r\nx"));
            assertEquals("end", host.awaitEnd(), "an attempt given up costs its connection");
            assertEquals("end", host.awaitEnd());
        }
    }

    @Test
    void aClientThatLeavesEndsItsAttempts() throws Exception {
        FakeHost host = FakeHost.answering(c -> null);
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            client.write(Rig.READ + "\r\n");
            host.command();
            client.leave();
            assertEquals("end", host.awaitEnd());
        }
    }

    @Test
    void whatAHostMayNotAnswerEndsThatAttemptOnly() throws Exception {
        String[] garbage = {"VA 1 Oother\r\nx\r\n", "HD O1 c9\r\n", "VA x O1\r\n", "nonsense\r\n", "\r\n",
            "VA 99999999 O1\r\n", "VA 3000000000 O1\r\nxxx", "VA 1 O1\r\nlonger than one\r\n", "MN\r\n", "a".repeat(5000)};
        int[] turn = new int[1];
        try (Rig rig = new Rig(FakeHost.answering(c -> garbage[turn[0]])).start(); Peer client = rig.client()) {
            for (turn[0] = 0; turn[0] < garbage.length; turn[0]++) {
                assertEquals("SERVER_ERROR busy", client.ask(Rig.READ), garbage[turn[0]]);
            }
            turn[0] = 1;
            assertEquals("SERVER_ERROR failed", client.ask(Rig.COPY), "it may have run");
        }
    }

    /**
     * A good answer with more behind it is served, and its connection is of no further use: the rest, whole or
     * in part, was once taken for the answer to the next request.
     */
    @Test
    void whatComesBehindAGoodAnswerSpoilsNoOther() throws Exception {
        String[] behind = {"HD O9 c9\r\n", "noise\r\n", "no end", "\r", "VA 9 O1\r\nhalf"};
        int[] turn = new int[1];
        FakeHost host = FakeHost.answering(c -> FakeHost.served(c) + behind[turn[0]]);
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            for (turn[0] = 0; turn[0] < behind.length; turn[0]++) {
                assertEquals("HD O2 c77", client.ask(Rig.COPY), behind[turn[0]]);
                assertEquals("end", host.awaitEnd(), "closed after " + behind[turn[0]]);
            }
            assertEquals(behind.length, host.connections.get());
        }
    }

    /** Bytes on an idle connection, here without the end of a line, retire it before it is used again. */
    @Test
    void anyByteOnAnIdleConnectionEndsIt() throws Exception {
        FakeHost[] host = new FakeHost[1];
        Semaphore gate = new Semaphore(0);
        host[0] = new FakeHost(peer -> {
            peer.write(FakeHost.served(host[0].next(peer)));
            gate.acquireUninterruptibly();
            peer.write("x");
            peer.awaitEnd();
            host[0].ends.add("end");
        });
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            assertEquals("HD O2 c77", client.ask(Rig.COPY));
            awaitGauge(rig, " links 1 idle 1");
            gate.release();
            assertEquals("end", host[0].awaitEnd());
            awaitGauge(rig, " links 0 idle 0");
        }
    }

    /** A load report that cannot be read, or is no number to reckon with, is dropped; the answer stands. */
    @Test
    void loadReportsThatCannotBeReadAreDropped() throws Exception {
        try (Rig rig = new Rig()) {
            Site site = rig.site();
            for (String bad : new String[] {"util=NaN", "util=Infinity", "util=-1e99", "util=", "util", "=", "", "x=1"}) {
                assertEquals(0, site.report(bad).length, bad);
            }
            assertEquals(0.5f, site.report("util=0.5")[0]);
        }
        FakeHost host = FakeHost.answering(c -> "HD " + FakeHost.opaque(c) + " c77 Lutil=oops,=,\r\n");
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            assertEquals("HD O2 c77", client.ask(Rig.COPY));
        }
    }

    @Test
    void aConnectionThatItsHostClosedIsNotUsedAgain() throws Exception {
        FakeHost[] host = new FakeHost[1];
        host[0] = new FakeHost(peer -> peer.write(FakeHost.served(host[0].next(peer))));
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            for (int i = 1; i <= 3; i++) {
                assertEquals("HD O2 c77", client.ask(Rig.COPY));
                awaitGauge(rig, " links 0 ");
                assertEquals(i, host[0].connections.get());
            }
        }
    }

    static void awaitGauge(Rig rig, String text) throws Exception {
        long end = System.nanoTime() + Peer.LIMIT_MS * 1_000_000L;
        while (!rig.loop.submit(rig.node::gauges).get().contains(text) && System.nanoTime() < end) {
            Thread.sleep(2);
        }
        assertTrue(rig.loop.submit(rig.node::gauges).get().contains(text), rig.loop.submit(rig.node::gauges).get());
    }

    @Test
    void idleConnectionsAreRetiredBeforeTheirHostClosesThem() throws Exception {
        FakeHost host = FakeHost.serving();
        try (Rig rig = new Rig(host)) {
            rig.idleMs = 2;
            rig.start();
            try (Peer client = rig.client()) {
                assertEquals("HD O2 c77", client.ask(Rig.COPY));
                assertEquals("end", host.awaitEnd());
                assertEquals("HD O2 c77", client.ask(Rig.COPY));
            }
        }
    }

    @Test
    void theLongestValueIsServedWhole() throws Exception {
        String value = "v".repeat(64 * 1024);
        try (Rig rig = new Rig(FakeHost.answering(c -> FakeHost.value(c, value))).start();
                Peer client = rig.client()) {
            assertEquals("VA 65536 O1", client.ask(Rig.READ));
            assertEquals(value, client.data(value.length()));
        }
    }

    @Test
    void overMaxOpenIsRefused() throws Exception {
        FakeHost host = FakeHost.answering(c -> null);
        try (Rig rig = new Rig(host)) {
            rig.maxOpen = 1;
            rig.start();
            try (Peer first = rig.client(); Peer second = rig.client()) {
                first.write(Rig.READ + "\r\n");
                host.command();
                assertEquals("SERVER_ERROR busy", second.ask(Rig.COPY));
            }
        }
    }

    @Test
    void aKeyMayBeAnyWord() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start(); Peer client = rig.client()) {
            assertEquals("VA 11 O1", client.ask("mg member:2026 v O1 Pc=read,t=acme,d=5000"));
            assertEquals("member:2026", client.data(11));
            assertNull(rig.hosts.get(0).ends.poll());
        }
    }
}
