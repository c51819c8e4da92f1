package eiderscale.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.Effect;
import eiderscale.config.Routes.ClientClass;
import eiderscale.config.Routes.Operation;
import java.util.List;
import org.junit.jupiter.api.Test;

class RoutesTest {
    private static final List<Routes.Named> CLASSES = List.of(
            new Routes.Named("view", Operation.READ, Effect.RETRYABLE),
            new Routes.Named("copy", Operation.WRITE, Effect.FRAGILE),
            new Routes.Named("old", Operation.READ, Effect.RETRYABLE),
            new Routes.Named("once", Operation.READ, Effect.FRAGILE));
    private static final List<Routes.Route> ROUTES = List.of(new Routes.Route("stmt:", Operation.READ, 0),
            new Routes.Route("stmt:old:", Operation.READ, 2), new Routes.Route("stmt:", Operation.WRITE, 1));

    private static String choose(ClientClass worth, boolean write, String key, String named) {
        try {
            return CLASSES.get(new Routes(CLASSES, ROUTES, worth).choose(write, key, named)).name();
        } catch (Routes.Unroutable e) {
            return e.getMessage();
        }
    }

    @Test
    void theLongestPrefixCounts() {
        assertEquals("view", choose(ClientClass.CHECKED, false, "stmt:1", null));
        assertEquals("old", choose(ClientClass.CHECKED, false, "stmt:old:1", null));
        assertEquals("view", choose(ClientClass.CHECKED, false, "stmt:old", null), "not the whole prefix");
        assertEquals("copy", choose(ClientClass.CHECKED, true, "stmt:old:1", null), "reads' routes are not writes'");
    }

    @Test
    void aClientsWordIsWorthWhatTheFileSays() {
        assertEquals("class does not match the key's route", choose(ClientClass.CHECKED, false, "stmt:1", "old"));
        assertEquals("view", choose(ClientClass.FALLBACK, false, "stmt:1", "old"));
        assertEquals("old", choose(ClientClass.FIRST, false, "stmt:1", "old"));
        for (ClientClass worth : ClientClass.values()) {
            assertEquals("old", choose(worth, false, "other", "old"), "no route says otherwise");
            assertEquals("view", choose(worth, false, "stmt:1", "view"));
        }
    }

    @Test
    void aStricterWordIsNeverOverridden() {
        assertEquals("class is stricter than the key's route", choose(ClientClass.FALLBACK, false, "stmt:1", "once"));
        assertEquals("once", choose(ClientClass.FIRST, false, "stmt:1", "once"));
    }

    @Test
    void whatNoClassIsForIsSaid() {
        assertEquals("no class for this key", choose(ClientClass.CHECKED, false, "other", null));
        assertEquals("unknown class", choose(ClientClass.FALLBACK, false, "stmt:1", "view2"));
        assertEquals("class takes no writes", choose(ClientClass.CHECKED, true, "other", "view"));
        assertEquals("class takes no reads", choose(ClientClass.CHECKED, false, "other", "copy"));
    }

    @Test
    void routesMeetWhereSomeRequestMatchesBoth() {
        assertTrue(ROUTES.get(0).meets(ROUTES.get(1)));
        assertTrue(!ROUTES.get(1).meets(ROUTES.get(2)));
        assertTrue(new Routes.Route("", Operation.ANY, 0).meets(ROUTES.get(2)));
        assertTrue(!new Routes.Route("a", Operation.ANY, 0).meets(new Routes.Route("b", Operation.ANY, 0)));
    }

    @Test
    void namesThatAreNearAreFound() {
        assertEquals("deadline", Nearest.to("dedline", List.of("aim", "deadline")));
        assertEquals("aim", Nearest.to("ami", List.of("aim", "deadline")));
        assertEquals(null, Nearest.to("entirely-else", List.of("aim", "deadline")));
        assertEquals(null, Nearest.to("x".repeat(1000), List.of("x".repeat(1000) + "y")));
        assertEquals(1, Nearest.distance("ab", "ba"));
        assertEquals(3, Nearest.distance("kitten", "sitting"));
    }

    @Test
    void aClassThatDoesNotExistCannotBeNamed() {
        assertThrows(IndexOutOfBoundsException.class, () -> new Routes(CLASSES, ROUTES, ClientClass.FIRST).name(9));
    }
}
