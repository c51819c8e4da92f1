package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.standin.Injury;
import eiderscale.standin.StandInHost.Turn;
import eiderscale.standin.StandInHttpHost.Reply;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** All that a sidecar has read is answered before the earliest SIGKILL, whatever its classes' deadlines are. */
class StopBeforeKillTest {
    /** The longest deadline, which counts as 3 s at most, and 0.7 s. */
    private static final long KILL_MS = 3_000 + 700;
    private static final long HANG_MS = 30_000;

    @TempDir
    Path folder;

    /** Fails unless an answer is here by the earliest kill. */
    private static <T> T before(long stoppedAt, Callable<T> answer) throws Exception {
        T given = answer.call();
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedAt);
        assertTrue(tookMs < KILL_MS, "answered " + tookMs + " ms behind the stop");
        return given;
    }

    private static void send(HttpFleet.Web client, String method, String target, String body) throws IOException {
        client.send(HttpFleet.Web.head(method, target, "Content-Length", String.valueOf(body.length())) + body);
    }

    /** Guards against lost requests over HTTP: a stop let requests stay open behind the earliest SIGKILL. */
    @Test
    void httpRequestsAreAnsweredBeforeTheEarliestKill() throws Exception {
        try (HttpFleet fleet = new HttpFleet(folder)) {
            fleet.start(fleet.base().replace("2500ms", "20s").replace("window = \"10s\"", "window = \"60s\""));
            fleet.script(request -> Reply.of(200, "", "late").after(HANG_MS));
            try (HttpFleet.Web read = fleet.client(); HttpFleet.Web joins = fleet.client(); HttpFleet.Web write = fleet.client();
                    HttpFleet.Web late = fleet.client()) {
                read.send(HttpFleet.Web.head("GET", "/statement/1"));
                send(write, "POST", "/copies/1", "hello");
                Fleet.await(() -> fleet.came() == 2, "both are at hosts");
                joins.send(HttpFleet.Web.head("GET", "/statement/1"));
                // Half of a request, so that its connection is not idle at the stop.
                late.send("GET /statement/2 HTT");
                TimeUnit.MILLISECONDS.sleep(100);
                long stoppedAt = System.nanoTime();
                fleet.sidecar.stop();
                TimeUnit.MILLISECONDS.sleep(400);
                late.send("P/1.1\r\nHost: " + HttpFleet.AUTHORITY + "\r\n\r\n");
                assertEquals(503, before(stoppedAt, () -> read.page("GET")).status());
                assertEquals("?0", before(stoppedAt, () -> write.page("POST")).field("retry-harmless"), "it may have run");
                assertEquals(503, before(stoppedAt, () -> joins.page("GET")).status());
                assertEquals(503, before(stoppedAt, () -> late.page("GET")).status());
            }
        }
    }

    /** Guards against lost requests: reads that wait for another's fetch stayed open behind the earliest SIGKILL. */
    @Test
    void joinedReadsAreAnsweredBeforeTheEarliestKill() throws Exception {
        Fleet fleet = new Fleet(folder);
        String patient = fleet.base().replace("effect = \"safe\"", "effect = \"safe\"\njoin = true")
                .replace("deadline = \"1500ms\"", "deadline = \"20s\"").replace("aim = \"750ms\"", "aim = \"15s\"")
                .replace("deadline = \"2500ms\"", "deadline = \"20s\"").replace("window = \"5s\"", "window = \"60s\"");
        try (Fleet started = fleet.write(patient).start(); Talk first = started.client(); Talk second = started.client()) {
            started.first.script(command -> new Turn(Injury.NONE, HANG_MS));
            started.second.script(command -> new Turn(Injury.NONE, HANG_MS));
            first.send("mg stmt:1 v O1 Pc=view-statement,d=20000\r\n");
            second.send("mg stmt:1 v O2 Pc=view-statement,d=20000\r\n");
            Fleet.await(() -> started.sidecar.gauges().contains(" waiting 2 "), "both wait");
            long stoppedAt = System.nanoTime();
            started.sidecar.stop();
            assertTrue(before(stoppedAt, first::answer).startsWith("SERVER_ERROR"));
            assertTrue(before(stoppedAt, second::answer).startsWith("SERVER_ERROR"));
        }
    }
}
