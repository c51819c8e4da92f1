package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderscale.sidecar.HttpFleet.Page;
import eiderscale.sidecar.HttpFleet.Web;
import eiderscale.standin.StandInHttpHost.Came;
import eiderscale.standin.StandInHttpHost.Reply;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What was asked of a host before a write of its target, and is answered behind that, serves nobody else. */
class FetchedAcrossAWriteTest {
    private static final String TARGET = "/nominee/7";
    private static final long LATE_MS = 600;

    @TempDir
    Path folder;

    private static Reply version(String text, String more) {
        return Reply.of(200, "cache-control: max-age=60\r\n" + more, text);
    }

    private static void write(HttpFleet fleet, String method, String target) throws Exception {
        try (Web writer = fleet.client()) {
            Page page = method.equals("DELETE") ? writer.ask(method, target, "Idempotency-Key", "k1")
                    : writer.post(method, target, "new", "Idempotency-Key", "k1");
            assertEquals(204, page.status());
        }
    }

    private HttpFleet start(boolean collapses) throws Exception {
        HttpFleet fleet = new HttpFleet(folder);
        return fleet.start(fleet.base().replace("purge = true", "cache = \"16MB\"\ncollapse = " + collapses));
    }

    /** A host that answers writes at once and reads as they were when they came, late while {@code isSlow}. */
    private static Reply serve(Came request, AtomicInteger version, AtomicBoolean isSlow, String invalidated) {
        if (!request.method().equals("GET")) {
            version.incrementAndGet();
            return Reply.raw("HTTP/1.1 204 X\r\n" + invalidated + "\r\n");
        }
        return version("version " + version.get(), "").after(isSlow.get() ? LATE_MS : 0);
    }

    /** Guards against stale answers behind a write: only requests with a body marked what was under way for their target. */
    @ParameterizedTest
    @CsvSource({"DELETE, /nominee/7, true", "DELETE, /nominee/7, false", "PUT, /nominee/7, true", "PUT, /nominee/7, false",
        "PUT, /nominee/8, true", "DELETE, /nominee/8, false"})
    void aLateAnswerFromBeforeAWriteIsNotStored(String method, String writtenTarget, boolean collapses) throws Exception {
        AtomicInteger version = new AtomicInteger();
        AtomicBoolean isSlow = new AtomicBoolean(true);
        // A write of another target names this one.
        String invalidated = writtenTarget.equals(TARGET) ? "" : "content-location: " + TARGET + "\r\n";
        try (HttpFleet fleet = start(collapses); Web reader = fleet.client(); Web after = fleet.client()) {
            fleet.script(request -> serve(request, version, isSlow, invalidated));
            reader.send(Web.head("GET", TARGET));
            Fleet.await(() -> fleet.came() == 1, "the read is out");
            write(fleet, method, writtenTarget);
            isSlow.set(false);
            assertEquals("version 0", reader.page("GET").body(), "it was asked before");
            TimeUnit.MILLISECONDS.sleep(50);
            assertEquals("version 1", after.get(TARGET).body());
        }
    }

    /** Guards against stale answers behind a write: a late 304 to a question from before it made a new copy fresh for longer. */
    @Test
    void aLate304FromBeforeAWriteFreshensNothing() throws Exception {
        AtomicInteger version = new AtomicInteger();
        AtomicBoolean isSlow = new AtomicBoolean();
        try (HttpFleet fleet = start(true); Web reader = fleet.client(); Web after = fleet.client()) {
            // The validator stays the same: a date has whole seconds.
            String modified = "last-modified: Sat, 05 Dec 2026 10:00:00 GMT\r\n";
            fleet.script(request -> {
                if (!request.method().equals("GET")) {
                    version.incrementAndGet();
                    return Reply.raw("HTTP/1.1 204 X\r\n\r\n");
                }
                boolean isLate = request.field("if-modified-since") != null && isSlow.get();
                return isLate ? Reply.raw("HTTP/1.1 304 X\r\ncache-control: max-age=60\r\n" + modified + "\r\n").after(LATE_MS)
                        : Reply.of(200, "cache-control: max-age=0\r\n" + modified, "version " + version.get());
            });
            assertEquals("version 0", reader.get(TARGET).body());
            isSlow.set(true);
            reader.send(Web.head("GET", TARGET));
            Fleet.await(() -> fleet.came() == 2, "the question is out");
            write(fleet, "DELETE", TARGET);
            isSlow.set(false);
            assertEquals("version 1", after.get(TARGET).body(), "a copy from behind the write");
            version.incrementAndGet();
            assertEquals("version 2", reader.page("GET").body(), "asked anew");
            int came = fleet.came();
            after.get(TARGET);
            assertEquals(came + 1, fleet.came(), "the copy is as stale as its host said");
        }
    }
}
