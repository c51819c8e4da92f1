package eiderscale.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every bad file is rejected, with the place and the key at fault, and with no other fault that follows from it. */
class BadFilesTest {
    static Stream<Cases.Case> bad() {
        return Cases.read("bad-files.txt", "127.0.0.1:21001", "127.0.0.1:21002").stream();
    }

    private static List<Problem> errors(AppFile file) {
        return file.problems().stream().filter(p -> p.severity() == Problem.Severity.ERROR).toList();
    }

    @ParameterizedTest
    @MethodSource("bad")
    void theFaultIsNamed(Cases.Case one) {
        AppFile file = Cases.file(one.text());
        List<Problem> errors = errors(file);
        assertFalse(file.isGood());
        assertTrue(errors.stream().anyMatch(p -> p.key().equals(one.key()) && p.at().equals(one.at())),
                one.key() + " at " + one.at() + ", but: " + errors);
        assertTrue(one.errors() < 0 || errors.size() == one.errors(), () -> "faults that follow: " + errors);
    }

    @Test
    void thereAreSixtyAtLeast() {
        assertTrue(bad().count() >= 60);
        assertEquals(bad().count(), bad().map(Cases.Case::name).distinct().count());
    }

    static Stream<Cases.Case> good() {
        return Cases.read("good-files.txt", "127.0.0.1:21001", "127.0.0.1:21002").stream();
    }

    @ParameterizedTest
    @MethodSource("good")
    void goodFilesAreAccepted(Cases.Case one) {
        AppFile file = AppFile.read(one.text().replace("@D@", "127.0.0.1:21003").getBytes(StandardCharsets.UTF_8),
                name -> name.endsWith("hosts.toml"));
        assertEquals(List.of(), errors(file));
        assertEquals(file.effective(), AppFile.read(file.show().getBytes(StandardCharsets.UTF_8), name -> true)
                .effective());
    }

    @Test
    void theBaseIsGoodAndWithoutWarnings() {
        AppFile file = Cases.file(Cases.base("127.0.0.1:21001", "127.0.0.1:21002"));
        assertEquals(List.of("listen[0]"), file.problems().stream().map(Problem::key).toList(), "port 0 alone");
    }

    @Test
    void allFaultsAreToldAtOnceInTheOrderOfTheText() {
        String text = Cases.base("127.0.0.1:21001", "127.0.0.1:21002").replace("window = \"1s\"", "window = \"2s\"")
                .replace("quantile = 0.95", "quantile = 2").replace("attempts = 4", "attempts = 9")
                .replace("effect = \"safe\"", "effect = \"sate\"");
        assertEquals(List.of("drain.window", "retry.attempts", "hedge.quantile", "classes[0].effect"),
                errors(Cases.file(text)).stream().map(Problem::key).toList());
    }

    @Test
    void typosGetTheNearestName() {
        String text = Cases.base("127.0.0.1:21001", "127.0.0.1:21002").replace("[hedge]", "[hegde]")
                .replace("class = \"request-copy\"", "class = \"reqest-copy\"").replace("\"keyed\"", "\"keyd\"");
        assertEquals(List.of("hedge", "keyed", "request-copy"),
                errors(Cases.file(text)).stream().map(Problem::nearest).toList());
    }

    @Test
    void bytesThatAreNoUtf8AreNamedByTheirPlace() {
        byte[] text = "application = \"a\"\n# x\u00e9".getBytes(StandardCharsets.ISO_8859_1);
        Problem problem = errors(AppFile.read(text, name -> false)).get(0);
        assertEquals(new Position(2, 4), problem.at());
        assertTrue(problem.message().contains("UTF-8"));
    }

    @Test
    void fiftyMegabytesAreRefusedUnread() {
        byte[] text = new byte[50 * 1024 * 1024];
        java.util.Arrays.fill(text, (byte) '#');
        assertTrue(errors(AppFile.read(text, name -> false)).get(0).message().contains("52428800 bytes"));
    }

    @Test
    void whatIsNestedWithoutEndIsRefused() {
        for (String deep : List.of("[", "{a=", "a.", "[[", "[{a=")) {
            String text = "application = \"a\"\nx = " + deep.repeat(100_000);
            List<Problem> errors = errors(Cases.file(text));
            assertFalse(errors.isEmpty(), deep);
        }
        assertTrue(errors(Cases.file("a" + ".a".repeat(100_000) + " = 1")).get(0).message().contains("nested"));
    }

    @Test
    void descriptorsMustLeaveAConnectionForEachHost() {
        StringBuilder hosts = new StringBuilder();
        for (int port = 30_000; port < 30_100; port++) {
            hosts.append("\"127.0.0.1:").append(port).append("\", ");
        }
        String text = Cases.base("127.0.0.1:21001", "127.0.0.1:21002").replace("descriptors = 1024",
                "descriptors = 128").replace("hosts = [", "hosts = [" + hosts);
        assertEquals(List.of("limits.descriptors"), errors(Cases.file(text)).stream().map(Problem::key).toList());
    }

    @Test
    void anEmptyFileLacksWhatIsNeeded() {
        assertEquals(List.of("application", "listen", "pool.hosts", "classes"),
                errors(Cases.file("")).stream().map(Problem::key).toList());
    }

    @Test
    void garbageNeverThrows() {
        java.util.Random random = new java.util.Random(20261201);
        String base = Cases.base("127.0.0.1:21001", "127.0.0.1:21002");
        for (int i = 0; i < 300; i++) {
            byte[] text = base.getBytes(StandardCharsets.UTF_8);
            for (int j = 0; j < 1 + random.nextInt(8); j++) {
                text[random.nextInt(text.length)] = (byte) random.nextInt(256);
            }
            AppFile.read(text, name -> false).problems();
        }
    }
}
