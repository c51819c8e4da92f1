package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.sidecar.HttpFleet.Web;
import eiderscale.standin.StandInHttpHost.Reply;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A reload whose file names the same tables in another order: what it changes is what it tells. */
class ReloadOrderTest {
    private static final String POOL = """
            [[http-pools]]
            name = "%s"
            hosts = ["%s"]
            connect-timeout = "5s"

            """;
    private static final String ROUTES = """
            [[http-routes]]
            path = "/"
            methods = ["GET"]
            class = "view"

            [[http-routes]]
            path = "/photos/"
            methods = ["GET"]
            class = "view"
            pool = "photos"

            """;

    @TempDir
    Path folder;

    /** The fleet's file with a pool for each host; the route of all paths has its pool by {@code named}, or by the order. */
    private static String file(HttpFleet fleet, boolean arePhotosFirst, String named) {
        String base = fleet.base();
        String statements = POOL.formatted("statements", fleet.first.endpoint());
        String photos = POOL.formatted("photos", fleet.second.endpoint());
        String routes = ROUTES.replaceFirst("class = \"view\"", "class = \"view\"" + named);
        String classes = base.substring(base.indexOf("[[classes]]"), base.indexOf("[[classes]]\nname = \"copy\""));
        return base.substring(0, base.indexOf("[[http-pools]]")) + (arePhotosFirst ? photos + statements : statements + photos) + routes
                + classes + "# end\n";
    }

    private static String reload(HttpFleet fleet, String text) throws Exception {
        Files.writeString(fleet.file, text);
        fleet.log.clear();
        fleet.sidecar.reload().get(Talk.LIMIT_MS, TimeUnit.MILLISECONDS);
        return fleet.log.stream().filter(line -> line.startsWith("reloaded")).findFirst().orElse(String.join("\n", fleet.log));
    }

    private static String answer(HttpFleet fleet, String target) throws Exception {
        try (Web client = fleet.client()) {
            return client.get(target).body();
        }
    }

    private void start(HttpFleet fleet, String text) throws Exception {
        fleet.start(text);
        fleet.first.script(request -> Reply.of(200, "cache-control: no-store\r\n", "statement"));
        fleet.second.script(request -> Reply.of(200, "cache-control: no-store\r\n", "photo"));
        assertEquals("statement", answer(fleet, "/1"));
        assertEquals("photo", answer(fleet, "/photos/1"));
    }

    /** Guards against foreign answers: pools were known by their place, and every request went to the other pool's hosts. */
    @Test
    void poolsKeepTheirHostsInAnyOrder() throws Exception {
        String named = "\npool = \"statements\"";
        try (HttpFleet fleet = new HttpFleet(folder)) {
            start(fleet, file(fleet, false, named));
            assertTrue(reload(fleet, file(fleet, true, named)).endsWith(" 0 changes"));
            for (int i = 0; i < 5; i++) {
                assertEquals("statement", answer(fleet, "/" + i));
                assertEquals("photo", answer(fleet, "/photos/" + i));
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }

    /** Guards against changes that are applied untold, or told and not applied: a route without a pool has the file's first. */
    @Test
    void aRouteThatGoesByTheOrderOfPoolsIsTold() throws Exception {
        try (HttpFleet fleet = new HttpFleet(folder)) {
            start(fleet, file(fleet, false, ""));
            assertTrue(reload(fleet, file(fleet, true, "")).endsWith(" 1 changes"));
            assertEquals("photo", answer(fleet, "/1"));
            assertEquals("photo", answer(fleet, "/photos/1"));
        }
    }
}
