package eiderscale.lab;

import eiderscale.Router;
import eiderscale.config.Experiment;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** A small experiment with everything that can go wrong, changed by each test as it needs. */
public final class Small {
    static final String BASE = """
            name = "small"
            proves = "nothing"
            application = "statements.toml"
            length = "4s"
            settle = "500ms"
            [fleet]
            balancers = 2
            zones = ["a", "b"]
            [[hosts]]
            count = 6
            warm = "3s"
            [network]
            resets = 0.002
            [discovery]
            lag = "100ms"
            spread = "100ms"
            notices = "300ms"
            [load]
            rate = 400.0
            keys = 500
            [[mix]]
            class = "view-statement"
            share = 0.7
            [[mix]]
            class = "request-copy"
            share = 0.2
            [[mix]]
            class = "update-nominee"
            share = 0.1
            """;

    private Small() {
    }

    static Experiment experiment(String... more) {
        return Experiment.read((BASE + String.join("\n", more)).getBytes(StandardCharsets.UTF_8), Small::file);
    }

    static byte[] file(String name) {
        try {
            return Files.readAllBytes(Path.of("lab", name));
        } catch (IOException e) {
            return null;
        }
    }

    static World world(Experiment experiment, long seed, World.Module module, String... set) {
        Experiment.Variant variant = new Experiment.Variant("v", java.util.List.of(set), 1);
        return new World(experiment, experiment.settings(variant, file("statements.toml")), 1, seed, module);
    }

    static RunResult run(Experiment experiment, long seed, String... set) {
        return world(experiment, seed, Router::new, set).run();
    }

    /** One injury of an experiment's file. */
    public static String injury(String what, String at, String more) {
        return "[[injuries]]\nwhat = \"" + what + "\"\nat = \"" + at + "\"\n" + more + "\n";
    }
}
