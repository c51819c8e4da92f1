package eiderscale.cli;

import eiderscale.config.Catalog;
import eiderscale.config.ConfigException;
import eiderscale.config.Experiment;
import eiderscale.lab.RunResult;
import eiderscale.lab.World;
import eiderscale.lab.load.OpenLoad;
import eiderscale.lab.report.Bench;
import eiderscale.lab.report.Campaign;
import eiderscale.lab.report.Comparison;
import eiderscale.lab.report.Page;
import eiderscale.lab.report.Results;
import eiderscale.lab.report.Shrink;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The laboratory. */
@Command(name = "lab", mixinStandardHelpOptions = true, description = "Whole fleets in virtual time on the real decisions, "
        + "comparisons and reports; and an open load on real sockets.",
        subcommands = {LabCommand.Run.class, LabCommand.Compare.class, LabCommand.Replay.class, LabCommand.Shrinks.class,
            LabCommand.Loads.class})
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "which command?");
    }

    /** A condition of {@code --fail-if}: a figure, a comparison, a number. */
    private record Condition(String value, char sign, double bound) {
        static Condition of(String text, CommandSpec spec) {
            int at = Math.max(text.indexOf('<'), text.indexOf('>'));
            try {
                return new Condition(text.substring(0, at).trim(), text.charAt(at), Double.parseDouble(text.substring(at + 1).trim()));
            } catch (StringIndexOutOfBoundsException | NumberFormatException e) {
                throw new ParameterException(spec.commandLine(), "--fail-if: FIGURE<NUMBER or FIGURE>NUMBER, not " + text);
            }
        }

        boolean holds(Results.One one) {
            double is = one.value(value);
            return sign == '<' ? is < bound : is > bound;
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs an experiment: all variants, all seeds, on all "
            + "cores. Writes runs.jsonl, runs.csv and report.html. Exits 1 if a rule or a limit was broken.")
    static final class Run implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Parameters(paramLabel = "FILE", description = "The experiment's file.")
        private Path file;
        @Option(names = "--out", paramLabel = "FOLDER", description = "Where results go. Default: found/NAME.")
        private Path out;
        @Option(names = "--seeds", paramLabel = "N", description = "Runs of each variant, instead of the file's number.")
        private Integer seeds;
        @Option(names = "--jobs", paramLabel = "N", description = "Runs at one time. Default: one a core.")
        private int jobs = Runtime.getRuntime().availableProcessors();
        @Option(names = "--resume", description = "Goes on with what the folder holds.")
        private boolean resume;
        @Option(names = "--fail-if", paramLabel = "FIGURE<N", description = "Exits 1 if this is so of any run, such as served<0.99.")
        private List<String> failIf = new ArrayList<>();

        @Override
        public Integer call() throws Exception {
            List<Condition> conditions = failIf.stream().map(text -> Condition.of(text, spec)).toList();
            Bench bench = new Bench(file);
            Path folder = out != null ? out : Path.of("found", bench.experiment().name());
            PrintWriter err = spec.commandLine().getErr();
            Campaign campaign = new Campaign(bench, folder, Math.max(1, jobs), System.console() == null ? null : err);
            Thread main = Thread.currentThread();
            CountDownLatch written = new CountDownLatch(1);
            Thread hook = new Thread(() -> {
                main.interrupt();
                try {
                    written.await(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }, "interrupt");
            // Ctrl-C keeps what is done, with its report.
            Runtime.getRuntime().addShutdownHook(hook);
            List<Results.One> runs = campaign.run(seeds != null ? seeds : bench.experiment().seeds(), resume);
            boolean stopped = Thread.interrupted();
            Files.writeString(folder.resolve("runs.csv"), ResultsText.csv(runs));
            Files.writeString(folder.resolve("report.html"), Page.of(bench.experiment(), runs));
            written.countDown();
            if (!stopped) {
                Runtime.getRuntime().removeShutdownHook(hook);
            }
            PrintWriter text = spec.commandLine().getOut();
            text.print(ResultsText.table(bench.experiment(), runs));
            text.println("report: " + folder.resolve("report.html"));
            long broken = runs.stream().filter(one -> !one.broken().isEmpty()
                    || conditions.stream().anyMatch(condition -> condition.holds(one))).count();
            text.println(stopped ? "stopped; go on with --resume" : broken == 0 ? "all rules and limits held"
                    : broken + " of " + runs.size() + " runs broke a rule or a limit");
            text.flush();
            return broken == 0 && !stopped ? Stairshelf.GOOD : Stairshelf.CANNOT_RUN;
        }
    }

    @Command(name = "compare", mixinStandardHelpOptions = true, description = "Compares two variants seed by seed: FILE or "
            + "FOLDER of results, with :VARIANT where it holds several.")
    static final class Compare implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Parameters(paramLabel = "A", description = "Results, such as found/hot-key:as-is.")
        private String first;
        @Parameters(paramLabel = "B", description = "Those to hold beside them.")
        private String second;
        @Option(names = "--figure", paramLabel = "NAME", description = "By these figures. Default: the usual ones.")
        private List<String> figures = List.of("served", "worst-second", "last-tenth", "refused", "p50", "p99", "attempts", "hits", "ledger");

        @Override
        public Integer call() throws Exception {
            PrintWriter out = spec.commandLine().getOut();
            List<Results.One> one = runs(first);
            List<Results.One> other = runs(second);
            out.printf(Locale.ROOT, "%-13s %12s %12s  %12s  95%% by bootstrap%n", "", "A", "B", "B - A");
            for (Comparison.Row row : Comparison.of(one, other, figures)) {
                out.println(row.text());
                if (row.down().size() + row.up().size() <= 12 && !row.down().isEmpty()) {
                    out.println("              down: " + row.down());
                }
            }
            out.flush();
            return Stairshelf.GOOD;
        }

        private List<Results.One> runs(String name) throws IOException {
            int colon = name.indexOf(':');
            Path path = Path.of(colon < 0 ? name : name.substring(0, colon));
            List<Results.One> all = Results.read(Files.isDirectory(path) ? path.resolve("runs.jsonl") : path);
            List<String> variants = all.stream().map(Results.One::variant).distinct().toList();
            String wanted = colon < 0 ? variants.get(0) : name.substring(colon + 1);
            if (!variants.contains(wanted)) {
                throw new ConfigException(path + ": no variant is called '" + wanted + "': " + String.join(", ", variants));
            }
            return all.stream().filter(one -> one.variant().equals(wanted)).toList();
        }
    }

    @Command(name = "replay", mixinStandardHelpOptions = true, description = "Plays one run again and tells the story of a key, "
            + "a host or a request, event by event.")
    static final class Replay implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Parameters(paramLabel = "FILE", description = "The experiment's file.")
        private Path file;
        @Option(names = "--seed", required = true, paramLabel = "N", description = "The run's seed.")
        private long seed;
        @Option(names = "--variant", paramLabel = "NAME", description = "Default: the first.")
        private String variant;
        @Option(names = "--trace", paramLabel = "key:N|host:NAME|request:N", description = "What is told of.")
        private String trace;
        @Option(names = "--lines", paramLabel = "N", description = "At most so many. Default: 2000.")
        private int most = 2000;

        @Override
        public Integer call() throws Exception {
            Bench bench = new Bench(file);
            PrintWriter out = spec.commandLine().getOut();
            int[] told = new int[1];
            World world = bench.world(bench.variant(variant), seed);
            if (trace != null) {
                String[] parts = trace.split(":", 2);
                boolean number = parts.length == 2 && parts[1].matches("[0-9]{1,18}");
                if (parts.length != 2 || !parts[0].equals("host") && !(number && (parts[0].equals("key") || parts[0].equals("request")))) {
                    throw new ParameterException(spec.commandLine(), "--trace: key:N, host:NAME or request:N, not " + trace);
                }
                world.telling(new World.Story(parts[0].equals("key") ? Long.valueOf(parts[1]) : null,
                        parts[0].equals("host") ? parts[1] : null, parts[0].equals("request") ? Long.valueOf(parts[1]) : null, line -> {
                            if (++told[0] <= most) {
                                out.println(line);
                            }
                        }));
            }
            RunResult run = world.run();
            if (told[0] > most) {
                out.println("and " + (told[0] - most) + " more lines");
            }
            out.printf(Locale.ROOT, "served %.4f, refused %.4f, failed %.4f, p50 %.2f ms, p99 %.2f ms, %d requests, %d events, digest %s%n",
                    run.served(), run.refused(), run.failed(), run.p50(), run.p99(), run.requests(), run.events(), run.digest());
            List<String> broken = run.broken(bench.experiment().limits());
            broken.forEach(out::println);
            run.findings().examples().forEach(out::println);
            out.flush();
            return broken.isEmpty() ? Stairshelf.GOOD : Stairshelf.CANNOT_RUN;
        }
    }

    @Command(name = "shrink", mixinStandardHelpOptions = true, description = "Cuts a failing seed's script of injuries down to what "
            + "still fails.")
    static final class Shrinks implements Callable<Integer> {
        @Spec
        private CommandSpec spec;
        @Parameters(paramLabel = "FILE", description = "The experiment's file.")
        private Path file;
        @Option(names = "--seed", required = true, paramLabel = "N", description = "The run's seed.")
        private long seed;
        @Option(names = "--variant", paramLabel = "NAME", description = "Default: the first.")
        private String variant;

        @Override
        public Integer call() throws Exception {
            Bench bench = new Bench(file);
            PrintWriter out = spec.commandLine().getOut();
            Shrink shrink = new Shrink(bench, bench.variant(variant), seed);
            List<Experiment.Injury> left = shrink.shrink(out::println);
            if (left == null) {
                out.println("this run breaks nothing");
            } else {
                out.println(left.isEmpty() ? "it fails without any injury" : "what is needed:");
                left.forEach(injury -> out.println("  " + injury.text()));
                out.println(shrink.runs() + " runs");
            }
            out.flush();
            return left == null ? Stairshelf.CANNOT_RUN : Stairshelf.GOOD;
        }
    }

    @Command(name = "load", mixinStandardHelpOptions = true, description = "An open load on real sockets at a stated rate, each "
            + "latency counted from the moment at which its request was due.")
    static final class Loads implements Callable<Integer> {
        private static final int MOST_CONNECTIONS = 10_000;

        @Spec
        private CommandSpec spec;
        @Parameters(paramLabel = "ADDRESS:PORT", description = "Who is asked.")
        private String to;
        @Option(names = "--http", description = "HTTP; otherwise the meta protocol.")
        private boolean http;
        @Option(names = "--rate", paramLabel = "N", description = "Requests a second. Default: 100.")
        private double rate = 100;
        @Option(names = "--seconds", paramLabel = "N", description = "How long. Default: 10; at most 3600.")
        private int seconds = 10;
        @Option(names = "--connections", paramLabel = "N", description = "Default: 16.")
        private int connections = 16;
        @Option(names = "--deadline", paramLabel = "MS", description = "What comes later is late. Default: 1000.")
        private long deadline = 1000;
        @Option(names = "--keys", paramLabel = "N", description = "How many keys. Default: 1000.")
        private int keys = 1000;
        @Option(names = "--zipf", paramLabel = "S", description = "The exponent of their popularity. Default: 0.9.")
        private double zipf = 0.9;
        @Option(names = "--ask", paramLabel = "TEXT", description = "The command's line, or the HTTP target, with {key}, {id} and {ms}.")
        private String ask;
        @Option(names = "--seed", paramLabel = "N", description = "Default: 1.")
        private long seed = 1;
        @Option(names = "--log", paramLabel = "FILE", description = "Writes the histogram's percentiles there.")
        private Path log;
        @Option(names = "--anywhere", description = "Also addresses that are not loopback.")
        private boolean anywhere;

        @Override
        public Integer call() throws Exception {
            InetSocketAddress address = Catalog.address(to);
            if (!anywhere && !address.getAddress().isLoopbackAddress()) {
                throw new ParameterException(spec.commandLine(), to + " is not loopback; --anywhere lets that be");
            }
            if (!(rate > 0 && rate <= 1e6) || seconds < 1 || seconds > 3600 || connections < 1 || connections > MOST_CONNECTIONS
                    || deadline < 1 || keys < 1 || zipf < 0) {
                throw new ParameterException(spec.commandLine(), "--rate above 0 and up to 1000000, --seconds 1 to 3600, --connections 1 to "
                        + MOST_CONNECTIONS + ", --deadline and --keys 1 or more, --zipf 0 or more");
            }
            String text = ask != null ? ask : http ? "/load/{key}" : "mg load:{key} v O{id}";
            EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("load", true)).next();
            CountDownLatch done = new CountDownLatch(1);
            OpenLoad load = new OpenLoad(new OpenLoad.Plan(http, address, rate, connections, (long) (rate * seconds), deadline, keys, zipf,
                    text, seed), loop, done::countDown);
            load.start();
            boolean ended = done.await(seconds + 3 * deadline / 1000 + 30, TimeUnit.SECONDS);
            OpenLoad.Counts counts = load.counts();
            print(counts, load.latency(), ended);
            return ended && counts.addUp() ? Stairshelf.GOOD : Stairshelf.CANNOT_RUN;
        }

        private void print(OpenLoad.Counts counts, Histogram latency, boolean ended) throws FileNotFoundException {
            PrintWriter out = spec.commandLine().getOut();
            out.printf(Locale.ROOT, "asked %d = served %d + late %d + refused %d + failed %d + lost %d%s%n", counts.asked(), counts.served(),
                    counts.late(), counts.refused(), counts.failed(), counts.lost(), counts.addUp() ? "" : ended ? " DOES NOT ADD UP"
                    : " STOPPED BEFORE ALL HAD ENDED");
            Map<String, Double> quantiles = new LinkedHashMap<>();
            quantiles.put("p50", 50.0);
            quantiles.put("p90", 90.0);
            quantiles.put("p99", 99.0);
            quantiles.put("p99.9", 99.9);
            quantiles.put("max", 100.0);
            quantiles.forEach((name, at) -> out.printf(Locale.ROOT, "%s %.3f ms  ", name, latency.getValueAtPercentile(at) / 1e3));
            out.println();
            out.flush();
            if (log != null) {
                try (PrintStream file = new PrintStream(log.toFile())) {
                    latency.outputPercentileDistribution(file, 1000.0);
                }
            }
        }
    }
}
