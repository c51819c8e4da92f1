package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api;
import eiderscale.Router;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What a balancer that is late itself, on a cold start or a small share of a core, must not take for load. */
class OwnLatenessTest {
    private static final int READS = 60;
    private static final long AIM_MS = 2_000;
    private static void assertServed(Peer client, int from, int to) throws IOException {
        for (int i = from; i < to; i++) {
            assertEquals("VA 1 O" + i, client.ask("mg " + i + " v O" + i + " Pc=read,t=acme,d=9000"));
            client.data(1);
        }
    }

    /** A host turns away a request whose client has gone meanwhile, and reports no load with that. */
    @Test
    void rejectionsWithoutTheReportThatOtherAnswersBringShedNothing() throws Exception {
        FakeHost host = FakeHost.answering(c -> c.startsWith("mg over") ? "SERVER_ERROR busy\r\n"
                : FakeHost.value(c, "x"));
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            assertServed(client, 0, 1);
            for (int i = 0; i < 60; i++) {
                assertEquals("SERVER_ERROR busy", client.ask("mg over" + i + " v Oover Pc=read,t=acme,d=9000"));
            }
            assertServed(client, 1, 40);
        }
    }

    /**
     * The module, on a loop that stands still while it takes the last of {@code READS} requests. As many before
     * them only bring up connections and are kept from the module.
     */
    private static final class Stalling extends Scripted {
        private final Router router;
        private final CountDownLatch answered;
        private long server;
        private int requests;

        Stalling(Api.Settings settings, long seed, Api.Actions actions, CountDownLatch answered) {
            super(actions);
            this.router = new Router(settings, seed, actions);
            this.answered = answered;
        }

        @Override
        public void onList(long now, Api.ListMode mode, List<Api.Server> servers) {
            server = servers.isEmpty() ? server : servers.get(0).id();
            router.onList(now, mode, servers);
        }

        @Override
        public void onRequest(long now, Api.Request request) {
            requests++;
            if (requests <= READS) {
                actions.send(request.id(), server, request.deadline());
                return;
            }
            router.onRequest(now, request);
            if (requests == 2 * READS) {
                try {
                    answered.await(Peer.LIMIT_MS, TimeUnit.MILLISECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                sleep(AIM_MS);
            }
        }

        private static void sleep(long ms) {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void onOutcome(long now, Api.Outcome outcome) {
            router.onOutcome(now, outcome);
        }

        @Override
        public void onTimer(long now, int token) {
            router.onTimer(now, token);
        }
    }

    private static void readAtOnce(Peer client) throws IOException {
        client.write(reads());
        for (int i = 0; i < READS; i++) {
            assertEquals("VA 1 Or" + i, client.line());
            client.data(1);
        }
    }

    private static String reads() {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < READS; i++) {
            commands.append("mg ").append(i).append(" v Or").append(i).append(" Pc=read,t=acme,d=9000\r\n");
        }
        return commands.toString();
    }

    /** Tries multiplied as more of them were refused, since nothing told clients when to come again. */
    @Test
    void theMoreIsShedTheLaterClientsAreToldToComeAgain() throws Exception {
        FakeHost full = FakeHost.answering(c -> "SERVER_ERROR busy Lutil=1.0\r\n");
        try (Rig rig = new Rig(full).start(); Peer client = rig.client()) {
            int waits = 0;
            for (int i = 0; i < 200; i++) {
                String answer = client.ask("mg " + i + " v O" + i + " Pc=read,t=acme,d=9000");
                assertTrue(answer.startsWith("SERVER_ERROR busy"), answer);
                waits += answer.length() > "SERVER_ERROR busy".length() ? 1 : 0;
            }
            assertTrue(waits > 100, "refusals with a wait: " + waits);
        }
    }

    /** Answers that came while the loop stood still had not been read when the timers that miss them ran. */
    @Test
    void answersThatWaitUnreadAreNotTakenForSlow() throws Exception {
        CyclicBarrier all = new CyclicBarrier(READS);
        CountDownLatch answered = new CountDownLatch(2 * READS);
        FakeHost host = FakeHost.answering(command -> {
            try {
                if (answered.getCount() > READS) {
                    all.await(Peer.LIMIT_MS, TimeUnit.MILLISECONDS); // so that each read has a connection to itself
                }
            } catch (Exception e) {
                return null;
            }
            answered.countDown();
            return FakeHost.value(command, "x");
        });
        Rig set = new Rig(host);
        set.aimMs = AIM_MS;
        set.module = (settings, seed, actions) -> new Stalling(settings, seed, actions, answered);
        try (Rig rig = set.start(); Peer client = rig.client()) {
            readAtOnce(client);
            readAtOnce(client);
            assertServed(client, 0, 20);
        }
    }

    /** All that waits behind a stall may be dead by its end, and would be served before the living. */
    @Test
    void aCommandWhoseClientHasClosedBehindItIsNotTaken() throws Exception {
        List<Long> taken = new CopyOnWriteArrayList<>();
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        Rig set = new Rig();
        set.module = (settings, seed, actions) -> new Scripted(actions) {
            @Override
            public void onRequest(long now, Api.Request request) {
                taken.add(request.key());
                stalled.countDown();
                try {
                    go.await(Peer.LIMIT_MS, TimeUnit.MILLISECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                actions.refuse(request.id(), 0);
            }
        };
        try (Rig rig = set.start(); Peer first = rig.client()) {
            first.write("mg 1 v O1 Pc=read,t=acme,d=9000\r\n");
            stalled.await();
            try (Peer departs = rig.client()) {
                departs.write("mg 2 v O2 Pc=read,t=acme,d=9000\r\n");
            }
            go.countDown();
            assertEquals("SERVER_ERROR busy", first.line());
            try (Peer last = rig.client()) {
                assertEquals("SERVER_ERROR busy", last.ask("mg 3 v O3 Pc=read,t=acme,d=9000"));
            }
            assertEquals(List.of(1L, 3L), taken);
        }
    }
}
