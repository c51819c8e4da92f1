package eiderscale.net;

import eiderscale.config.Catalog;
import eiderscale.config.Json;
import eiderscale.config.Site;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.platform.Reloads;
import eiderscale.Api;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The watch on the list of hosts: from the latest version, and on after every failure. */
class DiscoveryTest {
    /** What a long poll missed counts as told so long behind its wait. */
    private static final long TOLD_BEHIND_WAIT_MS = 2_000;
    /** What a new address of discovery has to tell counts as told so long behind SIGHUP. */
    private static final long TOLD_BEHIND_MOVE_MS = 4_000;

    @TempDir
    Path folder;
    /** What the module was told: the mode and how many hosts. */
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

    /** Answers each call with the next prepared answer; an empty one is a reset. */
    private FakeHost discovery() throws IOException {
        return new FakeHost(peer -> {
            String request = peer.line();
            for (String line = request; line != null && !line.isEmpty(); ) {
                line = peer.line();
            }
            calls.add(request);
            try {
                String answer = answers.poll(Peer.LIMIT_MS, TimeUnit.MILLISECONDS);
                if (answer == null || answer.isEmpty()) {
                    peer.reset();
                } else {
                    peer.write(answer);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static String ok(String json) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
    }

    private static String list(int rev, boolean all, String... targets) {
        return ok("{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + String.join(",", targets) + "]}");
    }

    /** A module that subscribes whenever it may and writes down what it is told. */
    private Api.Events recording(Api.Actions actions) {
        return new Scripted(actions) {
            @Override
            public void onList(long now, Api.ListMode mode, List<Api.Server> servers) {
                told.add(mode + " " + servers.size());
                if (mode == Api.ListMode.CACHED || mode == Api.ListMode.FAILED) {
                    actions.wakeAt(now, 1);
                }
            }

            @Override
            public void onTimer(long now, int token) {
                actions.subscribe();
            }
        };
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        return queue.poll(Peer.LIMIT_MS, TimeUnit.MILLISECONDS);
    }

    @Test
    void theWatchGoesOnFromTheLatestVersionAndOnAfterFailures() throws Exception {
        try (FakeHost discovery = discovery(); Rig rig = new Rig(FakeHost.serving())) {
            rig.discovery = discovery.endpoint();
            rig.module = (settings, seed, actions) -> recording(actions);
            rig.start();
            assertEquals("CACHED 1", next(told));
            String host = Rig.target("s-9", "127.0.0.1:9", "Ready");
            answers.add(list(41, false, host));
            assertTrue(next(calls).startsWith("GET /catalog/members?since=7&timeout_ms="));
            assertEquals("DELTA 1", next(told));
            answers.add(list(43, true, host, host));
            assertTrue(next(calls).startsWith("GET /catalog/members?since=41&timeout_ms="));
            assertEquals("FULL 2", next(told));
            List<String> failures = List.of("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "",
                    ok("{\"rev\":44}"), ok("nonsense"), "garbage\r\n\r\n",
                    list(44, false, Rig.target("s-9", "127.0.0.1:9", "Unknown")),
                    list(44, false, Rig.target("s-9", "no address", "Ready")));
            for (String failure : failures) {
                answers.add(failure);
                assertTrue(next(calls).startsWith("GET /catalog/members?since=43&timeout_ms="));
                assertEquals("FAILED 0", next(told), failure);
            }
            answers.add(list(45, false));
            assertTrue(next(calls).startsWith("GET /catalog/members?since=43&timeout_ms="));
            assertEquals("DELTA 0", next(told));
        }
    }

    /**
     * Guards against sends to drained hosts: news that a silent watch missed count as told 2 s behind its wait, so that they are
     * to be asked for before that, whether or not the module's turn to subscribe has come.
     */
    @Test
    void aWatchThatFallsSilentIsAskedForAtOnceBehindItsWait() throws Exception {
        BlockingQueue<Long> askedAt = new LinkedBlockingQueue<>();
        CountDownLatch over = new CountDownLatch(1);
        FakeHost silent = new FakeHost(peer -> {
            String request = peer.line();
            long at = System.nanoTime();
            calls.add(request);
            askedAt.add(at);
            if (calls.size() > 1) {
                peer.write(list(44, false, Rig.target("s-9", "127.0.0.1:9", "Terminating")));
            } else {
                awaitUnlessInterrupted(over);
            }
        });
        try (silent; Rig rig = new Rig(FakeHost.serving())) {
            rig.discovery = silent.endpoint();
            rig.module = (settings, seed, actions) -> new Scripted(actions) {
                @Override
                public void onList(long now, Api.ListMode mode, List<Api.Server> servers) {
                    told.add(mode + " " + servers.size());
                    if (mode == Api.ListMode.CACHED) {
                        actions.wakeAt(now, 1);
                    }
                }

                @Override
                public void onTimer(long now, int token) {
                    actions.subscribe();
                }
            };
            rig.start();
            assertEquals("CACHED 1", next(told));
            long first = next(askedAt);
            String watch = calls.peek();
            long waitMs = Long.parseLong(watch.replaceAll(".*timeout_ms=([0-9]+).*", "$1"));
            Long second = askedAt.poll(waitMs + Peer.LIMIT_MS, TimeUnit.MILLISECONDS);
            assertNotNull(second, "never asked again behind " + watch);
            long behindMs = TimeUnit.NANOSECONDS.toMillis(second - first) - waitMs;
            assertTrue(behindMs >= 0 && behindMs < TOLD_BEHIND_WAIT_MS, "asked again " + behindMs + " ms behind the wait");
            assertEquals("DELTA 1", next(told));
        } finally {
            over.countDown();
        }
    }

    private static void awaitUnlessInterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A refused connection can fail within the call that opens it; that once left the watch dead for good. */
    @Test
    void aRefusedConnectionIsAFailureAndIsAskedAgain() throws Exception {
        FakeHost discovery = discovery();
        discovery.stop();
        try (Rig rig = new Rig(FakeHost.serving())) {
            rig.discovery = discovery.endpoint();
            rig.module = (settings, seed, actions) -> recording(actions);
            rig.start();
            assertEquals("CACHED 1", next(told));
            assertEquals("FAILED 0", next(told));
            assertEquals("FAILED 0", next(told));
            assertEquals("FAILED 0", next(told));
        }
    }

    /**
     * A replaced configuration names another address: the watch moves there at once, asks for the whole list as
     * versions may not carry over, and the end of the old call is no failure.
     */
    @Test
    void aMovedDiscoveryIsAskedAtOnceAndTheOldCallsEndIsNoFailure() throws Exception {
        BlockingQueue<String> fresh = new LinkedBlockingQueue<>();
        FakeHost other = new FakeHost(peer -> {
            String request = peer.line();
            for (String line = request; line != null && !line.isEmpty(); ) {
                line = peer.line();
            }
            fresh.add(request);
            if (request.endsWith("/members HTTP/1.1")) {
                peer.write(list(3, true, Rig.target("s-9", "127.0.0.1:9", "Ready")));
            } else {
                peer.line();
            }
        });
        try (FakeHost discovery = discovery(); other; Rig rig = new Rig(FakeHost.serving())) {
            rig.discovery = discovery.endpoint();
            rig.module = (settings, seed, actions) -> recording(actions);
            rig.start();
            assertEquals("CACHED 1", next(told));
            assertTrue(next(calls) != null);
            Path config = Files.writeString(folder.resolve("config.json"), rig.config("127.0.0.1:0"));
            Reloads file = new Reloads(config);
            Files.writeString(config, "{\"discovery\":");
            reload(rig, file);
            rig.discovery = other.endpoint();
            Files.writeString(config, rig.config("127.0.0.1:0"));
            reload(rig, file);
            reload(rig, file);
            assertEquals("GET /catalog/members HTTP/1.1", next(fresh));
            assertEquals("FULL 1", next(told), "not FAILED");
            assertTrue(next(fresh).startsWith("GET /catalog/members?since=3&timeout_ms="));
            reload(rig, file);
            answers.add("");
            rig.discovery = discovery.endpoint();
            Files.writeString(config, rig.config("127.0.0.1:0"));
            answers.add(list(50, true));
            reload(rig, file);
            assertEquals("GET /catalog/members HTTP/1.1", next(calls));
            assertEquals("FULL 0", next(told), "of the two services that of the file");
            assertEquals(null, fresh.poll(), "signals for an address that has not changed ask nothing");
        }
    }

    /** Guards against stale lists behind a move: the first call to the new address may get lost, and its news count 4 s later. */
    @Test
    void aSilentFirstCallToAMovedDiscoveryIsMadeAgainInTime() throws Exception {
        BlockingQueue<String> fresh = new LinkedBlockingQueue<>();
        CountDownLatch over = new CountDownLatch(1);
        FakeHost other = new FakeHost(peer -> {
            fresh.add(peer.line());
            if (fresh.size() > 1) {
                peer.write(list(3, true, Rig.target("s-9", "127.0.0.1:9", "Ready")));
            } else {
                awaitUnlessInterrupted(over);
            }
        });
        try (FakeHost discovery = discovery(); other; Rig rig = new Rig(FakeHost.serving())) {
            rig.discovery = discovery.endpoint();
            rig.module = (settings, seed, actions) -> recording(actions);
            rig.start();
            assertEquals("CACHED 1", next(told));
            assertNotNull(next(calls));
            Path config = Files.writeString(folder.resolve("config.json"), rig.config("127.0.0.1:0"));
            rig.discovery = other.endpoint();
            Files.writeString(config, rig.config("127.0.0.1:0"));
            reload(rig, new Reloads(config));
            assertEquals("FULL 1", told.poll(TOLD_BEHIND_MOVE_MS, TimeUnit.MILLISECONDS));
        } finally {
            over.countDown();
        }
    }

    /** Guards against stale lists behind a move: where the first call to the new address failed, the next one had to wait its turn. */
    @Test
    void aFailedFirstCallToAMovedDiscoveryIsMadeAgainInTime() throws Exception {
        java.util.concurrent.atomic.AtomicInteger asked = new java.util.concurrent.atomic.AtomicInteger();
        FakeHost other = new FakeHost(peer -> {
            if (asked.incrementAndGet() < 3) {
                peer.reset();
            } else {
                peer.line();
                peer.write(list(3, true, Rig.target("s-9", "127.0.0.1:9", "Ready")));
            }
        });
        try (FakeHost discovery = discovery(); other; Rig rig = new Rig(FakeHost.serving())) {
            rig.discovery = discovery.endpoint();
            // Its turn to ask comes late.
            rig.module = (settings, seed, actions) -> new Scripted(actions) {
                @Override
                public void onList(long now, Api.ListMode mode, List<Api.Server> servers) {
                    told.add(mode + " " + servers.size());
                    if (mode == Api.ListMode.CACHED) {
                        actions.subscribe();
                    }
                }
            };
            rig.start();
            assertEquals("CACHED 1", next(told));
            assertNotNull(next(calls));
            Path config = Files.writeString(folder.resolve("config.json"), rig.config("127.0.0.1:0"));
            rig.discovery = other.endpoint();
            Files.writeString(config, rig.config("127.0.0.1:0"));
            long end = System.nanoTime() + TOLD_BEHIND_MOVE_MS * 1_000_000L;
            reload(rig, new Reloads(config));
            String last = "";
            while (!last.equals("FULL 1") && System.nanoTime() < end) {
                last = String.valueOf(told.poll(TOLD_BEHIND_MOVE_MS, TimeUnit.MILLISECONDS));
            }
            assertEquals("FULL 1", last, "within the time in which it counts as told");
        }
    }

    private static void reload(Rig rig, Reloads file) throws Exception {
        rig.loop.submit(() -> file.reload(rig.node)).get();
    }

    /** Rendezvous hashing needs one id for a host at all balancers, whose addresses for it differ. */
    @Test
    void aHostsIdComesFromItsUidAlone() throws Exception {
        Site site;
        try (Rig rig = new Rig()) {
            site = rig.site();
        }
        Catalog here = parse(Rig.target("s-5be2a07c", "127.0.0.1:11211", "Ready"), site);
        Catalog there = parse(Rig.target("s-5be2a07c", "127.9.0.1:11211", "Terminating"), site);
        Catalog other = parse(Rig.target("s-5be2a07d", "127.0.0.1:11211", "Gone"), site);
        assertEquals(here.members().get(0).server().id(), there.members().get(0).server().id());
        assertTrue(here.members().get(0).server().id() != other.members().get(0).server().id());
        assertEquals(Api.State.DRAINING, there.members().get(0).server().state());
        assertEquals(Api.State.GONE, other.members().get(0).server().state());
    }

    private static Catalog parse(String target, Site site) {
        String text = "{\"rev\":1,\"all\":true,\"targets\":[" + target + "]}";
        return Catalog.parse(Json.parse(text.getBytes(java.nio.charset.StandardCharsets.UTF_8)), site);
    }
}
