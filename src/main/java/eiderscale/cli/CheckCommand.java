package eiderscale.cli;

import eiderscale.Api.Effect;
import eiderscale.check.Bounds;
import eiderscale.check.Checker;
import eiderscale.check.SmallWorld;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Plays every order of events of a small world against the four rules. */
@Command(name = "check", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Plays every order of events of a small world (hosts, requests, timers, lists, operators' calls, reloads) against "
        + "the rules, on the ledger and the decision module that serve. A broken rule is printed with the shortest way to it.",
        exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:no rule was broken", "1:a rule was broken", "2:bad usage"})
final class CheckCommand implements Callable<Integer> {
    private static final long TELL_NS = 2_000_000_000L;

    @Spec
    private CommandSpec spec;

    @Option(names = "--hosts", paramLabel = "N", defaultValue = "2", description = "Hosts. Default: 2.")
    private int hosts;

    @Option(names = "--effects", paramLabel = "LIST", defaultValue = "safe,unsafe", description = "One request of each: safe, keyed, "
            + "unsafe, in the order in which they may come. Default: ${DEFAULT-VALUE}.")
    private String effects;

    @Option(names = "--depth", paramLabel = "N", defaultValue = "60", description = "Events in one run at the most. Default: 60.")
    private int depth;

    @Option(names = "--faults", paramLabel = "N", defaultValue = "1", description = "Connects refused, connections broken, requests turned "
            + "away or failed, clients that leave, in one run. Default: 1.")
    private int faults;

    @Option(names = "--lists", paramLabel = "N", defaultValue = "0", description = "Words of the list in one run. Default: 0.")
    private int lists;

    @Option(names = "--calls", paramLabel = "N", defaultValue = "0", description = "Operators' calls in one run. Default: 0.")
    private int calls;

    @Option(names = "--renewals", paramLabel = "N", defaultValue = "0", description = "Reloads of other settings in one run. Default: 0.")
    private int renewals;

    @Option(names = "--hearsay", paramLabel = "N", defaultValue = "0", description = "Words of a lying instance in one run. Default: 0.")
    private int hearsay;

    @Option(names = "--stands", paramLabel = "N", defaultValue = "0", description = "Standstills of the process in one run. Default: 0.")
    private int stands;

    @Option(names = "--stop", description = "The process may be told to end.")
    private boolean stops;

    @Option(names = "--streams", description = "Answers may come in pieces.")
    private boolean streams;

    @Option(names = "--states", paramLabel = "N", defaultValue = "1000000", description = "Ends after so many states. Default: a million "
            + "(some 40 bytes each).")
    private int states;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "0", description = "Ends after so long; 0: when it is done.")
    private long seconds;

    @Option(names = "--walks", paramLabel = "N", defaultValue = "0", description = "Walks at random in place of the search, for worlds that "
            + "are too large for it.")
    private long walks;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Of these walks. Default: 1.")
    private long seed;

    @Override
    public Integer call() {
        if (states < 1 || seconds < 0 || walks < 0) {
            throw new ParameterException(spec.commandLine(), "--states: 1 or more; --seconds and --walks: 0 or more");
        }
        Checker checker = new Checker(bounds(), SmallWorld.TRUE);
        long begun = System.nanoTime();
        long[] told = {begun};
        PrintWriter err = spec.commandLine().getErr();
        Checker.Progress progress = (seen, transitions, at) -> {
            long now = System.nanoTime();
            if (now - told[0] > TELL_NS) {
                told[0] = now;
                err.printf(Locale.ROOT, "%,d states, %,d events, depth %d, %,.0f states a second%n", seen, transitions, at,
                        seen * 1e9 / (now - begun));
                err.flush();
            }
            return seconds == 0 || now - begun < seconds * 1_000_000_000L;
        };
        Checker.Result result = walks > 0 ? checker.walk(walks, seed, progress) : checker.search(states, progress);
        double took = (System.nanoTime() - begun) / 1e9;
        PrintWriter out = spec.commandLine().getOut();
        out.printf(Locale.ROOT, "%,d states, %,d events tried, depth %d, %.1f s: %s%n", result.states(), result.transitions(), result.depth(),
                took, result.violation() != null ? "a rule is broken" : result.exhausted() ? "all there are, no rule broken" : "no rule broken");
        StringBuilder kinds = new StringBuilder("tried:");
        result.coverage().forEach((kind, count) -> kinds.append(' ').append(kind.name().toLowerCase(Locale.ROOT)).append(' ').append(count));
        out.println(kinds);
        if (result.violation() != null) {
            out.println(result.violation().text());
        }
        out.flush();
        return result.violation() == null ? Stairshelf.GOOD : Stairshelf.CANNOT_RUN;
    }

    private Bounds bounds() {
        List<Effect> each = new ArrayList<>();
        for (String word : effects.split(",")) {
            each.add(switch (word.trim()) {
                case "safe" -> Effect.RETRYABLE;
                case "keyed" -> Effect.DEDUP;
                case "unsafe" -> Effect.FRAGILE;
                default -> throw new ParameterException(spec.commandLine(), "--effects: safe, keyed or unsafe, not " + word);
            });
        }
        try {
            return new Bounds(hosts, each, depth, faults, lists, calls, renewals, stops, streams, stands, hearsay);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage());
        }
    }
}
