package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.sidecar.HttpFleet.Page;
import eiderscale.sidecar.HttpFleet.Web;
import eiderscale.standin.StandInHttpHost.Reply;
import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that send hundreds of GETs of one stored response at once, and read what they are sent. */
class PipelinedHitsTest {
    private static final int CROWD = 3;
    private static final int GETS = 900;
    private static final int BODY_BYTES = 1_000_000;
    private static final int OTHERS = 5;
    /** From so many waiting bytes on a client is behind, and gets one answer more at most. */
    private static final int HIGH_MARK_BYTES = 128 * 1024;
    private static final int HEAD_BYTES = 1024;
    private static final int DEADLINE_MS = 500;
    /** An answer is lost half a second behind its time, and each limit is 50 ms longer. */
    private static final int LOST_MS = DEADLINE_MS + 550;

    @TempDir
    Path folder;

    /** Reads answers of a known size, without a look at them. */
    private static Void readAll(InetSocketAddress address) throws Exception {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(Talk.LIMIT_MS);
            InputStream in = new BufferedInputStream(client.getInputStream(), 64 * 1024);
            client.getOutputStream().write(Web.head("GET", "/hot").repeat(GETS).getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < GETS; i++) {
                assertEquals("HTTP/1.1 200 OK", Talk.line(in), "answer " + i);
                for (String line = Talk.line(in); !line.isEmpty(); line = Talk.line(in)) {
                    assertTrue(!line.startsWith("content-length") || line.endsWith(" " + BODY_BYTES), line);
                }
                in.skipNBytes(BODY_BYTES);
            }
            return null;
        }
    }

    /** Asks for something short until it is told to stop; the longest wait for an answer, in milliseconds. */
    private static long askOn(HttpFleet fleet, String name, AtomicBoolean over) throws Exception {
        long worstMs = 0;
        try (Web client = fleet.client()) {
            for (int i = 0; !over.get(); i++) {
                long asked = System.nanoTime();
                Page page = client.get("/" + name + "-" + i);
                worstMs = Math.max(worstMs, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked));
                assertEquals(200, page.status());
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        return worstMs;
    }

    private static void startWithAStoredResponse(HttpFleet fleet) throws Exception {
        fleet.start(fleet.base().replace("2500ms", DEADLINE_MS + "ms").replace("750ms", "300ms").replace("listen = [\"127.0.0.1:0\"]\npurge",
                "listen = [\"127.0.0.1:0\"]\ncache = \"64MB\"\nlargest-object = \"2MB\"\npurge"));
        String body = "v".repeat(BODY_BYTES);
        fleet.script(request -> request.target().equals("/hot") ? Reply.of(200, "cache-control: max-age=300\r\n", body)
                : Reply.of(200, "cache-control: no-store\r\n", "short"));
        try (Web first = fleet.client()) {
            first.get("/hot");
            assertTrue(first.get("/hot").field("cache-status").contains("hit"));
        }
    }

    /** Guards against lost requests: their answers went out in ever smaller pieces, until nobody else was answered in time. */
    @Test
    void othersAreAnsweredInTimeBesidePipelinedHits() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        try (HttpFleet fleet = new HttpFleet(folder)) {
            startWithAStoredResponse(fleet);
            AtomicBoolean over = new AtomicBoolean();
            List<Future<Long>> others = new ArrayList<>();
            for (int i = 0; i < OTHERS; i++) {
                String name = "other-" + i;
                others.add(threads.submit(() -> askOn(fleet, name, over)));
            }
            List<Future<Void>> crowd = new ArrayList<>();
            for (int i = 0; i < CROWD; i++) {
                crowd.add(threads.submit(() -> readAll(fleet.sidecar.httpAddresses().get(0))));
            }
            for (Future<Void> one : crowd) {
                one.get();
            }
            over.set(true);
            for (Future<Long> one : others) {
                long worstMs = one.get();
                assertTrue(worstMs < LOST_MS, "answered after " + worstMs + " ms");
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /** Guards against memory and time that one peer takes: its requests were taken in however much of their answers it had yet to take. */
    @Test
    void requestsWaitWhileTheirClientIsBehind() throws Exception {
        try (HttpFleet fleet = new HttpFleet(folder)) {
            startWithAStoredResponse(fleet);
            try (Web client = fleet.client()) {
                client.send(Web.head("GET", "/hot").repeat(GETS));
                long most = 0;
                for (int i = 0; i < 100; i++) {
                    TimeUnit.MILLISECONDS.sleep(5);
                    most = Math.max(most, unsent(fleet));
                }
                assertTrue(most > 0, "some waits");
                assertTrue(most <= HIGH_MARK_BYTES + BODY_BYTES + HEAD_BYTES, most + " bytes wait");
                for (int i = 0; i < GETS; i++) {
                    Page page = client.page("GET");
                    assertEquals(BODY_BYTES, page.body().length(), "answer " + i);
                }
            }
        }
    }

    private static long unsent(HttpFleet fleet) throws Exception {
        String gauges = fleet.sidecar.gauges();
        return Long.parseLong(gauges.replaceAll("(?s).* unsent (\\d+).*", "$1"));
    }
}
