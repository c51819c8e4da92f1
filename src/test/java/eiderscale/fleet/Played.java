package eiderscale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.config.Experiment;
import eiderscale.lab.World;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Small experiments on real processes, and the same in virtual time. */
final class Played {
    private final Experiment experiment;
    private final Experiment.Settings settings;

    private Played(Experiment experiment, Experiment.Settings settings) {
        this.experiment = experiment;
        this.settings = settings;
    }

    /** {@code more}: what stands behind the head, beginning with its keys. */
    static Played of(String more) throws Exception {
        byte[] application = Files.readAllBytes(Path.of("lab/statements.toml"));
        String text = "name = \"small\"\nproves = \"what its test says\"\napplication = \"statements.toml\"\n" + more;
        Experiment read = Experiment.read(text.getBytes(StandardCharsets.UTF_8), name -> application);
        assertEquals(List.of(), read.problems());
        return new Played(read, read.settings(read.variants().get(0), application));
    }

    /** On processes; nothing may break. */
    FleetResult onProcesses(Path folder) throws Exception {
        FleetResult result = new FleetRun(experiment, settings, 1, Machine.Program.here(), folder, 1).run();
        assertTrue(result.broken().isEmpty(), () -> result.text(true));
        return result;
    }

    /** In virtual time; nothing may break. */
    eiderscale.lab.RunResult inVirtualTime(long seed) {
        eiderscale.lab.RunResult result = new World(experiment, settings, 1, seed).run();
        assertEquals(List.of(), result.broken(experiment.limits()), () -> result.findings().examples().toString());
        return result;
    }
}
