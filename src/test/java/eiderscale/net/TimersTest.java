package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.connections.TimingWheel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Timers of requests on a real loop: none early, none twice, none lost. */
class TimersTest {
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Timers timers = new Timers(loop, new Counters(), () -> { });
    private final List<Long> early = new ArrayList<>();
    private final List<Integer> fired = new ArrayList<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private TimingWheel.Timer timer(int number, CountDownLatch latch) {
        return new TimingWheel.Timer() {
            @Override
            protected void fire(long now) {
                fired.add(number);
                if (Clock.now() < at()) {
                    early.add(at() - Clock.now());
                }
                latch.countDown();
                if (number < 0) {
                    throw new IllegalStateException("a timer that throws");
                }
            }
        };
    }

    @Test
    void eachFiresOnceAndNoneEarly() throws Exception {
        int all = 2_000;
        CountDownLatch latch = new CountDownLatch(all / 2);
        SplittableRandom random = new SplittableRandom(11);
        loop.submit(() -> {
            long now = Clock.now();
            for (int i = 0; i < all; i++) {
                TimingWheel.Timer timer = timer(i, latch);
                timers.set(timer, now + random.nextLong(200 * Clock.MILLISECOND));
                if (i % 4 == 1) {
                    timers.set(timer, now + random.nextLong(200 * Clock.MILLISECOND));
                } else if (i % 2 == 0) {
                    timers.cancel(timer);
                }
            }
        }).sync();
        assertTrue(latch.await(Peer.LIMIT_MS, TimeUnit.MILLISECONDS));
        loop.submit(() -> {
            assertEquals(all / 2, fired.stream().distinct().count());
            assertEquals(all / 2, fired.size());
            assertTrue(fired.stream().allMatch(i -> i % 2 == 1), "none that was cancelled");
            assertEquals(List.of(), early);
            assertEquals(0, timers.size());
        }).sync();
    }

    /** One that comes later and is due sooner goes before, and what stood first is not forgotten for it. */
    @Test
    void anEarlierOneGoesBefore() throws Exception {
        CountDownLatch latch = new CountDownLatch(3);
        loop.submit(() -> {
            long now = Clock.now();
            timers.set(timer(3, latch), now + 150 * Clock.MILLISECOND);
            timers.set(timer(1, latch), now + 20 * Clock.MILLISECOND);
            timers.set(timer(2, latch), now + 80 * Clock.MILLISECOND);
        }).sync();
        assertTrue(latch.await(Peer.LIMIT_MS, TimeUnit.MILLISECONDS));
        loop.submit(() -> assertEquals(List.of(1, 2, 3), fired)).sync();
    }

    /** An unexpected exception is logged, and those behind it fire all the same. */
    @Test
    void oneThatThrowsHarmsNoOther() throws Exception {
        CountDownLatch latch = new CountDownLatch(1_000);
        loop.submit(() -> {
            long now = Clock.now();
            for (int i = 1; i <= 1_000; i++) {
                timers.set(timer(i % 250 == 0 ? -i : i, latch), now + 5 * Clock.MILLISECOND);
            }
        }).sync();
        assertTrue(latch.await(Peer.LIMIT_MS, TimeUnit.MILLISECONDS));
    }

    /** No request that is over leaves a timer behind, however it ended. */
    @Test
    void whatIsAnsweredLeavesNoTimer() throws Exception {
        FakeHost host = FakeHost.answering(command -> command.contains("Oslow") ? null : FakeHost.served(command));
        try (Rig rig = new Rig(host)) {
            rig.deadlineMs = 600;
            rig.start();
            try (Peer client = rig.client(); Peer leaver = rig.client()) {
                for (int i = 0; i < 200; i++) {
                    assertTrue(client.ask("ms 1 1 Of" + i + " Pc=copy,t=acme,d=600\r\nx").startsWith("HD "));
                }
                leaver.write("ms 1 1 Oslow2 Pc=copy,t=acme,d=600\r\nx\r\n");
                assertFalse(client.ask("ms 1 1 Oslow1 Pc=copy,t=acme,d=600\r\nx").startsWith("HD "));
                leaver.leave();
                ServingTest.awaitGauge(rig, "open 0 ledger 0 ");
                // What the module wants to be woken for is its own; a request's timers are gone with it.
                long end = System.nanoTime() + Peer.LIMIT_MS * Clock.MILLISECOND;
                String gauges = rig.loop.submit(rig.node::gauges).get();
                while (!gauges.matches(".* timers [0-9] .*") && System.nanoTime() < end) {
                    Thread.sleep(20);
                    gauges = rig.loop.submit(rig.node::gauges).get();
                }
                assertTrue(gauges.matches(".* timers [0-9] .*"), gauges);
            }
        }
    }
}
