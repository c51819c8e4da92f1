package eiderscale.lab.report;

import eiderscale.config.ConfigException;
import eiderscale.config.Experiment;
import eiderscale.config.Problem;
import eiderscale.lab.RunResult;
import eiderscale.lab.World;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An experiment's file with what it names, ready to run. */
public final class Bench {
    private static final int MOST_TRACED = 50_000_000;

    private final Path file;
    private final Experiment experiment;
    private final byte[] application;
    private final List<World.Traced> trace = new ArrayList<>();

    /** Throws {@link ConfigException} that names all that is wrong with the file. */
    public Bench(Path file) throws IOException {
        this.file = file;
        byte[] text = bytes(file);
        if (text == null) {
            throw new ConfigException(file + ": cannot be read");
        }
        experiment = Experiment.read(text, name -> bytes(file.toAbsolutePath().resolveSibling(name)));
        if (!experiment.isGood()) {
            List<String> lines = new ArrayList<>();
            for (Problem problem : experiment.problems()) {
                lines.add(file + ":" + problem.text());
            }
            throw new ConfigException(String.join("\n", lines));
        }
        application = bytes(file.toAbsolutePath().resolveSibling(experiment.application()));
        if (experiment.load().shape() == Experiment.Shape.TRACE) {
            readTrace(file.toAbsolutePath().resolveSibling(experiment.load().trace()));
        }
    }

    private static byte[] bytes(Path path) {
        try {
            return Files.isRegularFile(path) ? Files.readAllBytes(path) : null;
        } catch (IOException e) {
            return null;
        }
    }

    private void readTrace(Path path) throws IOException {
        List<String> classes = settings(experiment.variants().get(0)).classes();
        int number = 0;
        try (java.io.BufferedReader lines = Files.newBufferedReader(path)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                number++;
                String[] words = line.trim().split("[\\s,]+");
                if (line.isBlank() || line.startsWith("#")) {
                    continue;
                }
                int requestClass = words.length == 3 ? classes.indexOf(words[2]) : -1;
                if (requestClass < 0 || !words[0].matches("[0-9]{1,9}(\\.[0-9]{1,9})?") || trace.size() >= MOST_TRACED) {
                    throw new ConfigException(path + ":" + number + ": not MILLISECONDS KEY CLASS, with a class of " + classes);
                }
                long key = words[1].matches("[0-9]{1,18}") ? Long.parseLong(words[1]) : eiderscale.config.Catalog.hash(words[1]);
                trace.add(new World.Traced((long) (Double.parseDouble(words[0]) * 1e6), key, requestClass));
            }
        }
    }

    /** Where it stands. */
    public Path file() {
        return file;
    }

    /** What it describes. */
    public Experiment experiment() {
        return experiment;
    }

    /** A variant by its name; throws {@link ConfigException} if there is none. */
    public Experiment.Variant variant(String name) {
        for (Experiment.Variant variant : experiment.variants()) {
            if (name == null || variant.name().equals(name)) {
                return variant;
            }
        }
        throw new ConfigException(file + ": no variant is called '" + name + "'");
    }

    /** What the balancers of a variant are told. */
    public Experiment.Settings settings(Experiment.Variant variant) {
        return experiment.settings(variant, application);
    }

    /** A world of its own for one run. */
    public World world(Experiment.Variant variant, long seed) {
        return new World(experiment, settings(variant), variant.load(), seed).traced(trace);
    }

    /** Runs one. */
    public RunResult run(Experiment.Variant variant, long seed) {
        return world(variant, seed).run();
    }
}
