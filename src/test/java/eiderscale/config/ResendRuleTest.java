package eiderscale.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api;
import eiderscale.Router;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * The rule on resending, held against the decision module itself: whatever the file, if some request that anything
 * says must not run twice is sent again after an attempt that may have run, the file is rejected.
 */
class ResendRuleTest {
    private static final long MS = 1_000_000L;
    private static final List<String> KEYS = List.of("a:1", "a:b:1", "b:1", "z");
    private static int accepted;
    private static int rejected;

    @BeforeContainer
    static void begin() {
        accepted = 0;
        rejected = 0;
    }

    @AfterContainer
    static void bothKindsWereSeen() {
        assertTrue(accepted > 20 && rejected > 20, "accepted " + accepted + ", rejected " + rejected);
    }

    @Provide
    Arbitrary<String> texts() {
        return Configurations.texts("127.0.0.1:21001", "127.0.0.1:21002");
    }

    @Property(tries = 1500, seed = "20261201", edgeCases = EdgeCasesMode.NONE)
    void whatTheModuleWouldResendAgainstSomebodysWordIsRejected(@ForAll("texts") String text) {
        AppFile file = Cases.file(text);
        Report report = new Report();
        Application app = Application.of(Reader.read(text.getBytes(StandardCharsets.UTF_8), Spec.ROOT, report));
        assertTrue(report.problems().isEmpty(), () -> "every value can be read: " + report.problems());
        boolean known = app.routes().stream().allMatch(route -> route.requestClass() != null);
        String resent = known ? resent(app) : null;
        if (resent != null) {
            assertFalse(file.isGood(), resent);
        }
        accepted += file.isGood() ? 1 : 0;
        rejected += file.isGood() ? 0 : 1;
    }

    /** Plays every shape of request against a module with these settings; tells of the first one resent. */
    private static String resent(Application app) {
        Site site = app.config(1, null).site();
        for (String key : KEYS) {
            for (boolean write : new boolean[] {false, true}) {
                for (int hint = -1; hint < app.classes().size(); hint++) {
                    int served = served(site, write, key, hint < 0 ? null : app.classes().get(hint).name());
                    Api.Effect strictest = served < 0 ? null : strictest(app, write, key, hint, served);
                    if (served >= 0 && sendsTwice(site, served, write, strictest, app)) {
                        return key + (write ? " write" : " read") + " as " + hint + " served under " + served
                                + " though " + strictest;
                    }
                }
            }
        }
        return null;
    }

    private static int served(Site site, boolean write, String key, String hint) {
        try {
            return site.routes.choose(write, key, hint);
        } catch (Routes.Unroutable e) {
            return -1;
        }
    }

    /** What anything says: plain words about the file, not the code that is tested. */
    private static Api.Effect strictest(Application app, boolean write, String key, int hint, int served) {
        Api.Effect strictest = app.classes().get(served).effect();
        for (Values route : app.values().tables("routes")) {
            Application.ServiceClass c = app.classes().get(Integer.parseInt(route.text("class").substring(1)));
            boolean reads = route.text("operation").equals("any") ? c.operation() == Routes.Operation.READ
                    : route.text("operation").equals("read");
            if (key.startsWith(route.text("prefix")) && reads != write) {
                strictest = max(strictest, c.effect());
                if (route.has("effect")) {
                    strictest = max(strictest, route.text("effect").equals("unsafe") ? Api.Effect.FRAGILE
                            : Api.Effect.RETRYABLE);
                }
            }
        }
        return hint < 0 ? strictest : max(strictest, app.classes().get(hint).effect());
    }

    private static Api.Effect max(Api.Effect a, Api.Effect b) {
        return a.compareTo(b) > 0 ? a : b;
    }

    /** One request whose attempts are slow, then end as resets: the worst for unsafe work. */
    private static boolean sendsTwice(Site site, int served, boolean write, Api.Effect strictest, Application app) {
        if (strictest == Api.Effect.RETRYABLE) {
            return false;
        }
        Recorder recorder = new Recorder();
        Router router = new Router(site.settings, 3, recorder);
        List<Api.Server> hosts = new ArrayList<>();
        for (int id = 1; id <= 4; id++) {
            hosts.add(new Api.Server(id, 0, 0, 0, Api.State.READY, 1, 0));
        }
        router.onList(MS, Api.ListMode.FULL, hosts);
        Api.RequestClass c = site.settings.classes().get(served);
        long now = 1000 * MS;
        router.onRequest(now, new Api.Request(1, served, 0, 77, now + c.deadline(), 0, false, write));
        for (int attempt = 0; attempt < recorder.sends && attempt < 10; attempt++) {
            now += 40 * MS;
            router.onTimer(now, 1);
            router.onOutcome(now, new Api.Outcome(1, attempt, Api.Reason.RESET, 40 * MS, false, new float[0]));
        }
        boolean keyDropsRepeats = strictest == Api.Effect.DEDUP && c.effect() == Api.Effect.DEDUP
                && app.hostKind() == Site.HostKind.META && now - 1000 * MS <= c.window();
        return recorder.sends > 1 && !keyDropsRepeats;
    }

    private static final class Recorder implements Api.Actions {
        int sends;

        @Override
        public void send(long request, long server, long cutAt) {
            sends++;
        }

        @Override
        public void cancel(long request, int attempt) {
        }

        @Override
        public void refuse(long request, long retryAfter) {
        }

        @Override
        public void fail(long request) {
        }

        @Override
        public void wakeAt(long moment, int token) {
        }

        @Override
        public void closeIdle(long server) {
        }

        @Override
        public void subscribe() {
        }
    }

    @Property(tries = 300, seed = "7", edgeCases = EdgeCasesMode.NONE)
    void aStricterWordOfTheClientIsNeverServedUnderALooserClass(@ForAll("texts") String text) throws Exception {
        AppFile file = Cases.file(text);
        if (!file.isGood()) {
            return;
        }
        Routes routes = file.config(1, null).site().routes;
        List<Api.RequestClass> classes = file.config(1, null).site().settings.classes();
        for (String key : KEYS) {
            for (int hint = 0; hint < classes.size(); hint++) {
                for (boolean write : new boolean[] {false, true}) {
                    int served = served(file.config(1, null).site(), write, key, "c" + hint);
                    assertTrue(served < 0 || classes.get(hint).effect().compareTo(classes.get(served).effect()) <= 0);
                    assertEquals(served, served < 0 ? -1 : routes.choose(write, key, "c" + hint));
                }
            }
        }
    }
}
