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
}
