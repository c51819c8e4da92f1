package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.config.AppFile;
import eiderscale.config.Configurations;
import eiderscale.standin.HostCommand;
import eiderscale.standin.Injury;
import eiderscale.standin.StandInHost;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * Whatever file is accepted, no request of an unsafe class runs twice before hosts that time out, reset, answer late,
 * spoilt or cut short. What ran is counted at the hosts.
 */
class UnsafeOnceTest {
    /** What becomes of a command is its id's business, so that an attempt that follows fares alike or otherwise. */
    private static final List<StandInHost.Turn> TURNS = List.of(new StandInHost.Turn(Injury.RESET, 0),
            new StandInHost.Turn(Injury.DROP, 0), new StandInHost.Turn(Injury.FAIL, 0),
            new StandInHost.Turn(Injury.NONE, 280), new StandInHost.Turn(Injury.SPOIL, 5),
            new StandInHost.Turn(Injury.CUT, 5), new StandInHost.Turn(Injury.RESET, 60),
            new StandInHost.Turn(Injury.TURN_AWAY, 0));
    private static Fleet fleet;
    private static Path folder;
    private static int asked;
    private static int ranOnce;
    private static int resentSafe;
    private static long number;

    @BeforeContainer
    static void begin() throws Exception {
        folder = Files.createTempDirectory("unsafe-once");
        fleet = new Fleet(folder);
        fleet.first.script(command -> turn(command, 0));
        fleet.second.script(command -> turn(command, 1));
    }

    private static StandInHost.Turn turn(HostCommand command, int host) {
        return TURNS.get(Math.floorMod(command.id().hashCode() * 31 + host * 3, TURNS.size()));
    }

    @AfterContainer
    static void end() throws Exception {
        fleet.close();
        Files.deleteIfExists(fleet.file);
        Files.deleteIfExists(folder);
        assertTrue(ranOnce > 50, "unsafe requests that ran: " + ranOnce + " of " + asked);
        assertTrue(resentSafe > 10, "safe ones that ran again, so that a resend would be seen: " + resentSafe);
    }

    @Provide
    Arbitrary<String> good() {
        return Configurations.texts("127.0.0.1:1", "127.0.0.1:2").filter(text ->
                AppFile.read(text.getBytes(StandardCharsets.UTF_8), name -> false).isGood()
                && text.contains("\"unsafe\"") && text.contains("\"safe\""));
    }

    private record Asked(String id, boolean unsafe, Talk talk) {
    }

    @Property(tries = 30, seed = "20261201", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void nothingUnsafeRunsTwice(@ForAll("good") String text) throws Exception {
        fleet.write(text.replace("127.0.0.1:1\"", fleet.first.endpoint() + "\"").replace("127.0.0.1:2\"",
                fleet.second.endpoint() + "\"")).start();
        Map<String, String> effects = Sidecar.read(fleet.file).effective();
        List<Asked> all = new ArrayList<>();
        Sidecar.read(fleet.file).operations().forEach((name, operation) -> {
            boolean unsafe = effects.get("classes." + name + ".effect").equals("\"unsafe\"");
            for (int i = 0; i < 6; i++) {
                String id = "x" + ++number;
                String list = " O" + id + " Pc=" + name + ",k=" + id;
                String key = new String[] {"a:", "a:b:", "b:", "z"}[i % 4] + number;
                all.add(ask(id, unsafe, operation.equals("read") ? "mg " + key + " v" + list + "\r\n"
                        : "ms " + key + " 1" + list + "\r\nx\r\n"));
            }
        });
        for (Asked one : all) {
            try (Talk talk = one.talk) {
                assertNotNull(talk.answer(), "every request is answered: " + one.id);
            }
        }
        // An attempt that is out when its request ends may still reach its host.
        Thread.sleep(30);
        for (Asked one : all) {
            int runs = fleet.first.runs(one.id) + fleet.second.runs(one.id);
            assertTrue(!one.unsafe || runs <= 1, one.id + " ran " + runs + " times:\n" + text);
            asked += one.unsafe ? 1 : 0;
            ranOnce += one.unsafe && runs == 1 ? 1 : 0;
            resentSafe += !one.unsafe && runs > 1 ? 1 : 0;
        }
    }

    private static Asked ask(String id, boolean unsafe, String line) {
        try {
            return new Asked(id, unsafe, fleet.client().send(line));
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
