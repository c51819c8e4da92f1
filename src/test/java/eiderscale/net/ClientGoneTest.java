package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Clients that close their connections while the balancer has stopped taking their commands in. Guards against lost requests: no
 * attempt begins for a client that has gone, whatever else it had sent before.
 */
class ClientGoneTest {
    private static final int QUIET_MS = 300;
    /** As many commands of one connection as are taken in at once. */
    private static final int FULL = 64;

    private static String read(int number) {
        return "mg " + number + " v Or" + number + " Pc=read,t=acme,d=9000\r\n";
    }

    /** Sends this, goes, and has the hosts fail what reached them; how many commands began behind that. */
    private static int begunBehindTheClose(String sent, int wanted) throws Exception {
        CountDownLatch gone = new CountDownLatch(1);
        FakeHost.Answer failsLate = command -> {
            try {
                gone.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return "SERVER_ERROR failed\r\n";
        };
        FakeHost first = FakeHost.answering(failsLate);
        FakeHost second = FakeHost.answering(failsLate);
        try (Rig rig = new Rig(first, second).start()) {
            List<String> before = new ArrayList<>();
            try (Peer client = rig.client()) {
                client.write(sent);
                while (before.size() < wanted) {
                    FakeHost host = first.commands.isEmpty() ? second : first;
                    String command = host.commands.poll();
                    if (command == null) {
                        Thread.sleep(1);
                    } else {
                        before.add(command);
                    }
                }
            }
            Thread.sleep(QUIET_MS);
            int copies = first.commands.size() + second.commands.size();
            gone.countDown();
            Thread.sleep(QUIET_MS);
            return first.commands.size() + second.commands.size() - copies;
        }
    }

    @Test
    void closeBehindABadCommandEndsTheOpenOnes() throws Exception {
        assertEquals(0, begunBehindTheClose(read(1) + "set 1 0 0 5\r\nhello\r\n", 1));
    }

    @Test
    void closeBehindQuitEndsTheOpenOnes() throws Exception {
        assertEquals(0, begunBehindTheClose(read(1) + "quit\r\n", 1));
    }

    @Test
    void closeBehindMoreCommandsThanAreTakenInEndsTheOpenOnes() throws Exception {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < FULL + 8; i++) {
            all.append(read(i));
        }
        assertEquals(0, begunBehindTheClose(all.toString(), FULL));
    }

    @Test
    void closeBehindHalfALongValueEndsTheOpenOnes() throws Exception {
        String half = "ms 5 1000000 Ow1 Pc=copy,t=acme,d=9000\r\n" + "x".repeat(300_000);
        assertEquals(0, begunBehindTheClose(read(1) + half, 1));
    }

    /** As many commands as come at once from one client, the end behind all of which is to be seen. */
    @Test
    void closeBehindHundredsOfCommandsEndsTheOpenOnes() throws Exception {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 600; i++) {
            all.append(read(i).replace("mg ", "mg " + "k".repeat(40)));
        }
        assertEquals(0, begunBehindTheClose(all.toString(), FULL));
    }

    /** More than is read ahead: what stands behind that is refused, so that none of it begins for a client that has gone. */
    @Test
    void closeBehindMoreThanIsReadAheadEndsTheOpenOnes() throws Exception {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 2_000; i++) {
            all.append(read(i).replace("mg ", "mg " + "k".repeat(200)));
        }
        assertEquals(0, begunBehindTheClose(all.toString(), FULL));
    }

    /** Guards against effects that happen twice: an unsafe id came again on another connection after its client had left. */
    @Test
    void anUnsafeIdThatMayHaveRunDoesNotRunAgainForAnotherConnection() throws Exception {
        CountDownLatch gone = new CountDownLatch(1);
        FakeHost host = FakeHost.answering(command -> {
            try {
                gone.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return FakeHost.served(command);
        });
        try (Rig rig = new Rig(host).start(); Peer second = rig.client()) {
            try (Peer first = rig.client()) {
                first.write(Rig.COPY + "\r\n");
                host.command();
            }
            ServingTest.awaitGauge(rig, "open 0 ");
            gone.countDown();
            assertEquals("CLIENT_ERROR id was in use and may have run", second.ask(Rig.COPY));
            assertEquals("HD O9 c77", second.ask(Rig.COPY.replace("O2", "O9")), "another id is another request");
            assertEquals(1, host.commands.size(), "one more has come");
        }
    }
}
