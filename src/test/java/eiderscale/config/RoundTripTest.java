package eiderscale.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** What is written means what was read, and comparing tells what differs. */
class RoundTripTest {
    private static final String BASE = Cases.base("127.0.0.1:21001", "127.0.0.1:21002");

    @Provide
    Arbitrary<String> texts() {
        return Configurations.texts("127.0.0.1:21001", "127.0.0.1:21002");
    }

    @Property(tries = 300, seed = "11", edgeCases = EdgeCasesMode.NONE)
    void aShownFileMeansTheSame(@ForAll("texts") String text) {
        AppFile file = Cases.file(text);
        if (file.isGood()) {
            AppFile shown = Cases.file(file.show());
            assertTrue(shown.isGood(), () -> shown.problems() + "\n" + file.show());
            assertEquals(file.effective(), shown.effective());
            assertTrue(shown.isMarked());
        }
    }

    @Property(tries = 300, seed = "12", edgeCases = EdgeCasesMode.NONE)
    void durationsAndSizesAreReadAsTheyAreWritten(@ForAll @LongRange(min = 1, max = 4_000_000_000_000L) long value)
            throws Exception {
        Key any = Key.of("x", Type.DURATION, "");
        long micros = value * 1000;
        assertEquals(micros, Type.DURATION.read(Type.DURATION.format(micros).replace("\"", ""), any));
        assertEquals(value, Type.SIZE.read(Type.SIZE.format(value).replace("\"", ""), any));
    }

    @Test
    void theShownBaseMeansTheSame() {
        AppFile file = Cases.file(BASE);
        assertEquals(file.effective(), Cases.file(file.show()).effective());
        assertTrue(file.show().contains("id = \"second\""), "hosts keep what they state");
    }

    @Test
    void whatIsWrittenFromAnswersIsGoodAndStatesEveryDefault() {
        Map<String, String> answers = new HashMap<>(Map.of("application", "\"portal\"",
                "listen", "[\"127.0.0.1:11311\"]", "pool.hosts", "[\"127.0.0.1:1\", \"127.0.0.1:2\"]"));
        String text = Writer.fresh(answers, List.of(new Writer.NewClass("view", "read", "safe", "1s"),
                new Writer.NewClass("copy", "write", "unsafe", "2s"), new Writer.NewClass("put", "write", "keyed", "2s")));
        AppFile file = Cases.file(text);
        assertEquals(List.of(), file.problems());
        for (Section section : Spec.ROOT.sections()) {
            for (Key key : section.keys()) {
                assertTrue(text.contains(key.name() + " = "), section.name() + "." + key.name());
            }
        }
        assertTrue(text.lines().allMatch(line -> line.length() <= 120));
    }

    @Test
    void aDifferenceIsToldByItsKeyAndWhetherItNeedsARestart() {
        AppFile old = Cases.file(BASE);
        AppFile fresh = Cases.file(BASE.replace("quantile = 0.95", "quantile = 0.9")
                .replace("memory = \"192MB\"", "memory = \"256MB\"").replace("name = \"update-nominee\"", "name = \"nominee\"")
                .replace("deadline = \"1500ms\"", "deadline = \"1200ms\""));
        Map<String, Change> changes = new HashMap<>();
        old.changes(fresh).forEach(change -> changes.put(change.key(), change));
        assertEquals(5, changes.size(), changes.toString());
        assertTrue(changes.get("limits.memory").restart());
        assertFalse(changes.get("hedge.quantile").restart());
        assertEquals("0.9", changes.get("hedge.quantile").after());
        assertEquals("\"1200ms\"", changes.get("classes.view-statement.deadline").after());
        assertEquals(null, changes.get("classes.nominee").before());
        assertEquals(null, changes.get("classes.update-nominee").after());
        assertEquals(List.of(), old.changes(Cases.file("# a comment\n" + BASE)));
    }

    @Test
    void halfOfAMarkedFileIsNotMarked() {
        for (int length = 0; length < BASE.length() - 1; length++) {
            assertFalse(AppFile.isMarked(BASE.substring(0, length).getBytes()));
        }
        assertTrue(AppFile.isMarked(BASE.getBytes()));
        assertTrue(AppFile.isMarked(BASE.replace("\n", "\r\n").getBytes()));
    }
}
