package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.sidecar.HttpFleet.Page;
import eiderscale.sidecar.HttpFleet.Web;
import eiderscale.standin.Injury;
import eiderscale.standin.StandInHost.Turn;
import eiderscale.standin.StandInHttpHost.End;
import eiderscale.standin.StandInHttpHost.Reply;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request whose class was chosen before a reload, and which goes to a host behind it: it goes by the settings that it came under. */
class ReloadAmidRequestTest {
    private static final String SAFE_CLASS = """
            [[classes]]
            name = "balance"
            operation = "read"
            effect = "safe"
            aim = "750ms"
            deadline = "2500ms"

            """;
    private static final String UNSAFE_CLASS = """
            [[classes]]
            name = "other-write"
            operation = "write"
            effect = "unsafe"
            aim = "750ms"
            deadline = "2500ms"

            """;
    private static final String BODY = "copy of a statement, please ".repeat(20);

    @TempDir
    Path folder;

    private static void reload(HttpFleet fleet, String text) throws Exception {
        Files.writeString(fleet.file, text);
        fleet.log.clear();
        fleet.sidecar.reload().get(Talk.LIMIT_MS, TimeUnit.MILLISECONDS);
        assertTrue(fleet.log.stream().anyMatch(line -> line.startsWith("reloaded")), () -> String.join("\n", fleet.log));
    }

    private static String before(String text, String where, String added) {
        int at = text.indexOf(where);
        return text.substring(0, at) + added + text.substring(at);
    }

    private static String without(String text, String from, String to) {
        int at = text.indexOf(from);
        return text.substring(0, at) + text.substring(text.indexOf(to, at + 1));
    }

    /** Guards against effects that happen twice: a reload amid the body of a POST had it go by another class's effect. */
    @ParameterizedTest
    @ValueSource(strings = {"a class is added", "its class is dropped", "all that is before it is dropped"})
    void anUnsafePostKeepsItsClassOverAReload(String change) throws Exception {
        try (HttpFleet fleet = new HttpFleet(folder)) {
            fleet.start();
            fleet.script(request -> Reply.raw("").then(End.RESET));
            String copy = "[[classes]]\nname = \"copy\"";
            String nominee = "[[classes]]\nname = \"nominee\"";
            String changed = switch (change) {
                case "a class is added" -> before(fleet.base(), copy, SAFE_CLASS);
                case "its class is dropped" -> without(without(fleet.base(), copy, nominee),
                        "[[http-routes]]\npath = \"/\"\nmethods = [\"POST\"", "[[http-routes]]\npath = \"/nominee/\"");
                default -> without(without(fleet.base(), "[[classes]]\nname = \"view\"", copy), "[[http-routes]]\npath = \"/\"\nmethods = [\"GET\"",
                        "[[http-routes]]\npath = \"/\"\nmethods = [\"POST\"");
            };
            try (Web client = fleet.client()) {
                client.send(Web.head("POST", "/copies/7", "Content-Length", String.valueOf(BODY.length())) + BODY.substring(0, 100));
                TimeUnit.MILLISECONDS.sleep(100);
                reload(fleet, changed);
                client.send(BODY.substring(100));
                Page answer = client.page("POST");
                assertEquals("?0", answer.field("retry-harmless"), "it may have run: " + answer);
            }
            assertEquals(1, fleet.came(), "it goes to a host once");
        }
    }

    /** Guards against lost requests: a fetch that followed a failed one behind a reload went by another class, or by none. */
    @ParameterizedTest
    @ValueSource(strings = {"an unsafe class stands in its place", "its place is beyond the classes that are left"})
    void joinedReadsKeepTheirClassOverAReload(String change) throws Exception {
        Fleet started = new Fleet(folder);
        String base = started.base().replace("effect = \"safe\"", "effect = \"safe\"\njoin = true").replace("[hedge]", "[hedge]\nenabled = false")
                .replace("attempts = 4", "attempts = 2");
        int classes = base.indexOf("[[classes]]");
        int secondClass = base.indexOf("[[classes]]", classes + 1);
        String view = base.substring(classes, secondClass);
        String behindOthers = before(base.substring(0, classes) + base.substring(secondClass), "# end", view);
        boolean isShrunk = change.startsWith("its place");
        String begun = isShrunk ? behindOthers : base;
        String changed = isShrunk ? onlyView(behindOthers) : before(base, "[[classes]]", UNSAFE_CLASS);
        try (Fleet fleet = started.write(begun).start(); Talk one = fleet.client(); Talk two = fleet.client()) {
            AtomicInteger came = new AtomicInteger();
            // Both attempts of the first fetch break, and the first attempt of the second.
            List.of(fleet.first, fleet.second).forEach(host -> host.script(command -> came.getAndIncrement() < 3
                    ? new Turn(Injury.RESET, came.get() == 1 ? 400 : 0) : new Turn(Injury.NONE, 0)));
            one.send("mg stmt:1 v O1 Pc=view-statement,d=1500\r\n");
            two.send("mg stmt:1 v O2 Pc=view-statement,d=1500\r\n");
            Fleet.await(() -> came.get() == 1 && fleet.sidecar.gauges().contains(" waiting 2 "), "both wait for one fetch");
            String line = fleet.write(changed).reload();
            assertTrue(line.startsWith("reloaded"), line);
            assertEquals(List.of("VA 26 O1", "VA 26 O2"), List.of(one.answer(), two.answer()), "after " + came + " attempts");
        }
    }

    private static String onlyView(String text) {
        int first = text.indexOf("[[classes]]");
        int view = text.indexOf("[[classes]]\nname = \"view-statement\"");
        String classes = text.substring(0, first) + text.substring(view);
        return classes.replaceAll("\\[\\[routes]]\nprefix = \"copy:\"[^\\[#]*", "");
    }
}
