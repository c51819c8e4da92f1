package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.sidecar.HttpFleet.Web;
import eiderscale.standin.StandInHttpHost.Reply;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients of the HTTP front that send more than is good for others. */
class HttpFloodTest {
    private static final int FLOOD_MS = 2_000;
    /** Asks with this much time are due in it. */
    private static final long DEADLINE_MS = 2_500;
    private static final int MOST_FIELDS = 128;

    @TempDir
    Path folder;

    /** Guards against one client that keeps the loop for itself: what it asks for is answered here, at once. */
    @Test
    void smallRequestsAtFullSpeedLeaveOthersTheirTurn() throws Exception {
        try (HttpFleet fleet = new HttpFleet(folder).start(); Web usual = fleet.client()) {
            Web flooding = fleet.client();
            fleet.script(request -> Reply.of(200, "", "x"));
            AtomicBoolean over = new AtomicBoolean();
            String some = Web.head("PUT", "/").repeat(500);
            Thread writer = daemon(() -> {
                while (!over.get()) {
                    flooding.send(some);
                }
            });
            Thread reader = daemon(() -> {
                while (flooding.line() != null) {
                    // Taken, so that the flood goes on.
                }
            });
            long end = System.nanoTime() + FLOOD_MS * 1_000_000L;
            long worst = 0;
            int served = 0;
            while (System.nanoTime() < end) {
                long begun = System.nanoTime();
                assertEquals(200, usual.get("/" + served).status());
                worst = Math.max(worst, System.nanoTime() - begun);
                served++;
            }
            over.set(true);
            System.out.println("http flood: served " + served + " worst " + TimeUnit.NANOSECONDS.toMillis(worst) + " ms");
            assertTrue(TimeUnit.NANOSECONDS.toMillis(worst) < DEADLINE_MS, "worst " + worst);
            assertTrue(served > 100, "served " + served);
            flooding.close();
            writer.join(Talk.LIMIT_MS);
            reader.join(Talk.LIMIT_MS);
        }
    }

    /** Guards against lost requests: one that has ended its sending is answered to its last request, rests or not. */
    @Test
    void allThatWasSentBeforeTheEndOfSendingIsAnswered() throws Exception {
        int requests = 100;
        try (HttpFleet fleet = new HttpFleet(folder).start();
                java.net.Socket client = new java.net.Socket(fleet.sidecar.httpAddresses().get(0).getAddress(),
                        fleet.sidecar.httpAddresses().get(0).getPort())) {
            client.setSoTimeout(Talk.LIMIT_MS);
            client.getOutputStream().write(Web.head("PUT", "/").repeat(requests).getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            client.shutdownOutput();
            String all = new String(client.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.US_ASCII);
            assertEquals(requests, all.split("HTTP/1.1 ", -1).length - 1, all.substring(0, Math.min(200, all.length())));
        }
    }

    private interface Task {
        void run() throws IOException;
    }

    private static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The far end is done.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Guards against running out of memory: a field of four bytes takes a hundred once it is read. */
    @Test
    void aHeadOfVeryManyFieldsIsRefused() throws Exception {
        try (HttpFleet fleet = new HttpFleet(folder).start(); Web good = fleet.client(); Web bad = fleet.client()) {
            fleet.script(request -> Reply.of(200, "", "x"));
            StringBuilder fields = new StringBuilder();
            for (int i = 0; i < MOST_FIELDS - 1; i++) {
                fields.append("a").append(i).append(":\r\n");
            }
            String head = "GET / HTTP/1.1\r\nHost: " + HttpFleet.AUTHORITY + "\r\n";
            good.send(head + fields + "\r\n");
            assertEquals(200, good.page("GET").status());
            bad.send(head + fields + "b:\r\nc:\r\n\r\n");
            assertEquals(431, bad.page("GET").status());
            assertTrue(bad.ends());
        }
    }
}
