package eiderscale.cli;

import eiderscale.config.Experiment;
import eiderscale.fleet.FleetResult;
import eiderscale.fleet.FleetRun;
import eiderscale.fleet.Machine;
import eiderscale.lab.RunResult;
import eiderscale.lab.report.Bench;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Fleets of real processes. */
@Command(name = "fleet", mixinStandardHelpOptions = true, description = "Fleets of real processes on loopback with faults between "
        + "them, by the laboratory's experiment files.", subcommands = {FleetCommand.Run.class, FleetCommand.Compare.class})
final class FleetCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "which command?");
    }

    /** What both commands are told. */
    static final class Which {
        @Parameters(paramLabel = "FILE", description = "The experiment's file.")
        private Path file;
        @Option(names = "--variant", paramLabel = "NAME", description = "Default: the first.")
        private String variant;
        @Option(names = "--seed", paramLabel = "N", description = "Default: the file's first.")
        private Long seed;
        @Option(names = "--logs", paramLabel = "FOLDER", description = "Writes what each balancer's last process said there.")
        private Path logs;

        Bench bench() throws IOException {
            return new Bench(file);
        }

        long seed(Bench bench) {
            return seed != null ? seed : bench.experiment().firstSeed();
        }

        FleetResult play(Bench bench) throws IOException, InterruptedException {
            Experiment.Variant chosen = bench.variant(variant);
            Path folder = Files.createTempDirectory("fleet");
            try {
                FleetRun run = new FleetRun(bench.experiment(), bench.settings(chosen), chosen.load(), Machine.Program.here(), folder,
                        seed(bench));
                FleetResult result = run.run();
                if (logs != null) {
                    run.writeLogs(logs);
                }
                return result;
            } finally {
                try (Stream<Path> all = Files.walk(folder)) {
                    for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                        Files.deleteIfExists(path);
                    }
                }
            }
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Plays an experiment on processes of the deploy file. Exits 1 if "
            + "a rule or a limit was broken.")
    static final class Run implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Mixin
        private Which which;
        @Option(names = "--table", description = "Counts by quarters of a second.")
        private boolean table;

        @Override
        public Integer call() throws Exception {
            FleetResult result = which.play(which.bench());
            spec.commandLine().getOut().print(result.text(table));
            spec.commandLine().getOut().flush();
            return result.broken().isEmpty() ? Stairshelf.GOOD : Stairshelf.CANNOT_RUN;
        }
    }

    @Command(name = "compare", mixinStandardHelpOptions = true, description = "Plays an experiment in virtual time and on processes, and "
            + "prints both beside each other.")
    static final class Compare implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Mixin
        private Which which;

        @Override
        public Integer call() throws Exception {
            Bench bench = which.bench();
            RunResult virtual = bench.world(bench.variant(which.variant), which.seed(bench)).run();
            FleetResult real = which.play(bench);
            PrintWriter out = spec.commandLine().getOut();
            int from = (int) (bench.experiment().settle() / eiderscale.fleet.Tally.WINDOW);
            int to = real.tally().windows();
            out.printf(Locale.ROOT, "%-10s %12s %12s%n", "", "laboratory", "processes");
            row(out, "operations", virtual.asked(), real.operations());
            row(out, "served", virtual.served(), real.served());
            row(out, "p50 ms", virtual.p50(), real.tally().quantile(0.5, from, to));
            row(out, "p99 ms", virtual.p99(), real.tally().quantile(0.99, from, to));
            List<String> broken = virtual.broken(bench.experiment().limits());
            out.println("laboratory: " + (broken.isEmpty() ? "all rules held" : String.join("; ", broken)));
            out.print(real.text(false));
            out.flush();
            return broken.isEmpty() && real.broken().isEmpty() ? Stairshelf.GOOD : Stairshelf.CANNOT_RUN;
        }

        private static void row(PrintWriter out, String name, double virtual, double real) {
            out.printf(Locale.ROOT, "%-10s %12.4f %12.4f%n", name, virtual, real);
        }
    }
}
