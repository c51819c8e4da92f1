package eiderscale.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import eiderscale.config.ConfigException;
import eiderscale.lab.report.Bench;
import eiderscale.lab.report.Page;
import eiderscale.plan.Fleet;
import eiderscale.plan.Forecast;
import eiderscale.plan.Limit;
import eiderscale.plan.Loss;
import eiderscale.plan.Planner;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The capacity planner. */
@Command(name = "plan", mixinStandardHelpOptions = true, description = "What breaks first as load grows, how many hosts a goal needs, and "
        + "what a loss would do. Fleets are described as the laboratory's experiments are, so that each answer can be played.",
        subcommands = {PlanCommand.Limits.class, PlanCommand.Sizes.class, PlanCommand.WhatIf.class, PlanCommand.Compare.class})
final class PlanCommand implements Runnable {
    private static final int POINTS = 50;
    private static final Pattern GOAL = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,6})?)%<([0-9]{1,9}(?:\\.[0-9]{1,6})?)(ms|s)");
    private static final Pattern FACTOR = Pattern.compile("([0-9]{1,6}(?:\\.[0-9]{1,6})?)x?");

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "which command?");
    }

    /** What all commands take. */
    static final class Given {
        @Spec(Spec.Target.MIXEE)
        private CommandSpec spec;
        @Option(names = "--load", paramLabel = "FACTOR", description = "So many times the file's rate, such as 2.4x.")
        private String load = "1x";
        @Option(names = "--variant", paramLabel = "NAME", description = "Settings of this variant. Default: the first.")
        private String variant;
        @Option(names = "--json", description = "Prints JSON.")
        private boolean json;

        private Fleet fleet(Path file) throws IOException {
            Bench bench = new Bench(file);
            Fleet fleet = Fleet.of(bench.experiment(), bench.settings(bench.variant(variant)));
            Matcher factor = FACTOR.matcher(load);
            if (!factor.matches() || Double.parseDouble(factor.group(1)) <= 0) {
                throw new ParameterException(spec.commandLine(), "--load: a number above 0 and an x, such as 2.4x, not " + load);
            }
            return fleet.loaded(Double.parseDouble(factor.group(1)));
        }

        private Planner.Goal goal(String text) {
            Matcher goal = GOAL.matcher(text);
            double share = goal.matches() ? Double.parseDouble(goal.group(1)) / 100 : 2;
            if (share > 1) {
                throw new ParameterException(spec.commandLine(), "--goal: SHARE%<TIME, such as 99.5%<750ms, not " + text);
            }
            return new Planner.Goal(share, Double.parseDouble(goal.group(2)) / (goal.group(3).equals("ms") ? 1e3 : 1));
        }

        private PrintWriter out() {
            return spec.commandLine().getOut();
        }

        private void print(Map<String, Object> facts, List<String> lines) throws IOException {
            if (json) {
                out().println(JSON.std.asString(facts));
            } else {
                lines.forEach(out()::println);
            }
            out().flush();
        }
    }

    private static Map<String, Object> facts(Forecast f) {
        Map<String, Object> facts = new LinkedHashMap<>();
        facts.put("load", f.load());
        facts.put("served", f.served());
        facts.put("in-aim", f.inAim());
        facts.put("p50-ms", known(f.p50() * 1e3));
        facts.put("p99-ms", known(f.p99() * 1e3));
        facts.put("attempts", f.attempts());
        facts.put("tries", f.tries());
        facts.put("hits", f.hits());
        facts.put("fetches", f.fetches());
        Map<String, Object> use = new LinkedHashMap<>();
        f.use().forEach((limit, part) -> use.put(limit.name().toLowerCase(Locale.ROOT).replace('_', '-'), part));
        facts.put("use", use);
        facts.put("not-sure", f.sure());
        return facts;
    }

    /** JSON has no word for what is not known but null. */
    private static Double known(double value) {
        return Double.isNaN(value) ? null : Double.valueOf(value);
    }

    private static String line(String name, Forecast f) {
        String times = Double.isNaN(f.p50()) ? "times not told" : String.format(Locale.ROOT, "p50 %.1f ms  p99 %.1f ms", f.p50() * 1e3, f.p99() * 1e3);
        return String.format(Locale.ROOT, "%-22s %9.0f/s  served %.4f  %s  attempts %.3f  tries %.3f  hits %.3f  fetches %.0f/s  most used: %s %.0f%%%s",
                name, f.load(), f.served(), times, f.attempts(), f.tries(), f.hits(), f.fetches(), f.first().words(), 100 * f.use().get(f.first()),
                f.sure().isEmpty() ? "" : "\n    " + f.sure());
    }

    private static String hosts(Fleet fleet) {
        Map<String, Integer> kinds = new LinkedHashMap<>();
        fleet.hosts().forEach(one -> kinds.merge(one.kind(), one.count(), Integer::sum));
        List<String> words = new ArrayList<>();
        kinds.forEach((kind, count) -> words.add(count + " " + kind));
        return String.join(", ", words);
    }

    @Command(name = "limits", mixinStandardHelpOptions = true, description = "The limits in the order in which a growing load reaches them, "
            + "how far each is used now, and whether a breakdown would last.")
    static final class Limits implements Callable<Integer> {
        @Mixin
        private Given given;
        @Parameters(paramLabel = "FILE", description = "The fleet.")
        private Path file;
        @Option(names = "--habits", paramLabel = "N", description = "Also with clients that try again up to so often. Default: 4.")
        private int habits = 4;
        @Option(names = "--html", paramLabel = "FILE", description = "Also writes a page with plots over the load.")
        private Path html;

        @Override
        public Integer call() throws IOException {
            Fleet fleet = given.fleet(file);
            Forecast now = Planner.forecast(fleet);
            List<Planner.Reached> limits = Planner.limits(fleet);
            Planner.Stuck stuck = Planner.stuck(fleet);
            List<String> lines = new ArrayList<>();
            lines.add(line("now", now));
            lines.add("");
            lines.add(String.format("%-28s %8s %12s  %s", "limit", "used now", "reached at", "by"));
            List<Map<String, Object>> rows = new ArrayList<>();
            for (Planner.Reached one : limits) {
                Limit limit = one.limit();
                lines.add(String.format(Locale.ROOT, "%-28s %7.1f%% %10.0f/s  %s; %s", limit.words(), 100 * now.use().get(limit), one.load(),
                        limit.formula(), limit.source()));
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("limit", limit.name().toLowerCase(Locale.ROOT).replace('_', '-'));
                row.put("used", now.use().get(limit));
                row.put("reached-at", one.load());
                row.put("formula", limit.formula());
                row.put("source", limit.source());
                rows.add(row);
            }
            if (!now.use().containsKey(Limit.BALANCERS)) {
                lines.add("balancers' cores: not known; give fleet.balancer-rate, attempts a second that one balancer can do");
            }
            lines.add("");
            for (Map.Entry<Integer, Forecast> one : Planner.habits(fleet, Math.max(0, Math.min(20, habits))).entrySet()) {
                lines.add(line("clients' tries again " + one.getKey(), one.getValue()));
            }
            lines.add(Double.isNaN(stuck.stuckFrom()) ? "no load was found at which a breakdown lasts"
                    : String.format(Locale.ROOT, "a breakdown lasts at loads from %.0f/s to %.0f/s%s: load must fall below %.0f/s before it recovers",
                    stuck.recoversAt(), stuck.stuckFrom(), stuck.now() ? ", the present one among them" : "", stuck.recoversAt()));
            Map<String, Object> facts = new LinkedHashMap<>();
            facts.put("now", facts(now));
            facts.put("limits", rows);
            facts.put("stuck", Map.of("now", stuck.now(), "any", !Double.isNaN(stuck.stuckFrom()), "from", Double.isNaN(stuck.recoversAt()) ? 0
                    : stuck.recoversAt(), "to", Double.isNaN(stuck.stuckFrom()) ? 0 : stuck.stuckFrom()));
            if (html != null) {
                Files.writeString(html, page(file, fleet, limits, lines));
                lines.add("page: " + html);
            }
            given.print(facts, lines);
            return Stairshelf.GOOD;
        }

        /** Figures from a fiftieth of the load at the first limit to twice that. */
        private static String page(Path file, Fleet fleet, List<Planner.Reached> limits, List<String> lines) throws IOException {
            double top = limits.isEmpty() ? 2 * fleet.demand().rate() : 2 * limits.get(0).load();
            double[] loads = new double[POINTS];
            Map<String, double[]> shares = points("served", "served once broken down", "hits");
            Map<String, double[]> times = points("p50", "p99");
            Map<String, double[]> use = new LinkedHashMap<>();
            for (int i = 0; i < POINTS; i++) {
                loads[i] = top * (i + 1) / POINTS;
                Fleet loaded = fleet.loaded(loads[i] / fleet.demand().rate());
                Forecast f = Planner.forecast(loaded);
                shares.get("served")[i] = f.served();
                shares.get("served once broken down")[i] = Planner.afterBreakdown(loaded).served();
                shares.get("hits")[i] = f.hits();
                times.get("p50")[i] = f.p50() * 1e3;
                times.get("p99")[i] = f.p99() * 1e3;
                int at = i;
                f.use().forEach((limit, part) -> use.computeIfAbsent(limit.words(), words -> new double[POINTS])[at] = part);
            }
            return Page.page(file.getFileName().toString(), "What the planner expects as load grows; times are not told where more is asked "
                    + "than can be done.", "<pre>" + Page.escaped(String.join("\n", lines)) + "</pre>", List.of(
                    Page.plot("parts of all", "operations a second", loads, shares), Page.plot("milliseconds", "operations a second", loads, times),
                    Page.plot("use of each limit, 1 where it is reached", "operations a second", loads, use)));
        }

        private static Map<String, double[]> points(String... names) {
            Map<String, double[]> made = new LinkedHashMap<>();
            for (String name : names) {
                made.put(name, new double[POINTS]);
            }
            return made;
        }
    }

    @Command(name = "size", mixinStandardHelpOptions = true, description = "The fewest hosts, by cost, that keep a goal. Exits 1 if no number does.")
    static final class Sizes implements Callable<Integer> {
        @Mixin
        private Given given;
        @Parameters(paramLabel = "FILE", description = "The fleet; what it says of each kind but the number counts.")
        private Path file;
        @Option(names = "--goal", required = true, paramLabel = "SHARE%<TIME", description = "Such as 99.5%%<750ms.")
        private String goal;
        @Option(names = "--any-zone-lost", description = "It must hold with any one zone lost.")
        private boolean zoneLost;
        @Option(names = "--away", paramLabel = "PART", description = "And with this part of each kind away, as in a rolling restart.")
        private double away;

        @Override
        public Integer call() throws IOException {
            if (!(away >= 0 && away < 1)) {
                throw new ParameterException(given.spec.commandLine(), "--away: from 0 to below 1, not " + away);
            }
            Fleet fleet = given.fleet(file);
            Planner.Size size = Planner.size(fleet, given.goal(goal), zoneLost, away);
            Map<String, Object> facts = new LinkedHashMap<>();
            facts.put("kept", size.fleet() != null);
            facts.put("hosts", size.fleet() == null ? null : hosts(size.fleet()));
            facts.put("cost", size.fleet() == null ? null : size.fleet().cost());
            facts.put("why-not", size.why());
            facts.put("forecast", facts(size.forecast()));
            given.print(facts, size.fleet() == null ? List.of(size.why()) : List.of("hosts: " + hosts(size.fleet())
                    + String.format(Locale.ROOT, "; cost %.2f (%.2f now, with %s)", size.fleet().cost(), fleet.cost(), hosts(fleet)),
                    line("then", size.forecast())));
            return size.fleet() == null ? Stairshelf.CANNOT_RUN : Stairshelf.GOOD;
        }
    }

    @Command(name = "what-if", mixinStandardHelpOptions = true, description = "What the loss of a zone does, moment by moment.")
    static final class WhatIf implements Callable<Integer> {
        @Mixin
        private Given given;
        @Parameters(paramLabel = "FILE", description = "The fleet.")
        private Path file;
        @Option(names = "--lose-zone", required = true, paramLabel = "ZONE", description = "This zone goes dark.")
        private String zone;
        @Option(names = "--seconds", paramLabel = "N", description = "For so long. Default: 300.")
        private int seconds = 300;
        @Option(names = "--every", paramLabel = "N", description = "A line for so many seconds. Default: 20.")
        private int every = 20;

        @Override
        public Integer call() throws IOException {
            Fleet fleet = given.fleet(file);
            List<String> zones = new Bench(file).experiment().zones();
            int number = zones.indexOf(zone);
            if (number < 0 || zones.size() == 1) {
                throw new ConfigException(file + ": no zone '" + zone + "' beside others: " + String.join(", ", zones));
            }
            if (seconds < 1 || seconds > 86_400 || every < 1) {
                throw new ParameterException(given.spec.commandLine(), "--seconds: from 1 to 86400; --every: at least 1");
            }
            List<String> lines = new ArrayList<>();
            lines.add(line("before", Planner.forecast(fleet)));
            lines.add(line("in the end", Planner.forecast(fleet.without(number))));
            lines.add(String.format("%8s %8s %8s %12s %12s %12s", "second", "served", "hits", "hosts used", "ledger used", "in its line"));
            List<Map<String, Object>> rows = new ArrayList<>();
            for (Loss.Moment one : Loss.of(fleet, number, seconds, every)) {
                lines.add(String.format(Locale.ROOT, "%8.0f %8.4f %8.3f %11.0f%% %11.0f%% %12.0f", one.second(), one.served(), one.hits(),
                        100 * one.hosts(), 100 * one.ledger(), one.line()));
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("second", one.second());
                row.put("served", one.served());
                row.put("hits", one.hits());
                row.put("hosts", one.hosts());
                row.put("ledger", one.ledger());
                row.put("line", one.line());
                rows.add(row);
            }
            Map<String, Object> facts = new LinkedHashMap<>();
            facts.put("before", facts(Planner.forecast(fleet)));
            facts.put("end", facts(Planner.forecast(fleet.without(number))));
            facts.put("moments", rows);
            given.print(facts, lines);
            return Stairshelf.GOOD;
        }
    }

    @Command(name = "compare", mixinStandardHelpOptions = true, description = "Two fleets side by side.")
    static final class Compare implements Callable<Integer> {
        @Mixin
        private Given given;
        @Parameters(index = "0", paramLabel = "A", description = "A fleet.")
        private Path first;
        @Parameters(index = "1", paramLabel = "B", description = "Another.")
        private Path second;

        @Override
        public Integer call() throws IOException {
            List<String> lines = new ArrayList<>();
            Map<String, Object> facts = new LinkedHashMap<>();
            for (Path file : List.of(first, second)) {
                Fleet fleet = given.fleet(file);
                Forecast now = Planner.forecast(fleet);
                Planner.Reached limit = Planner.limits(fleet).get(0);
                lines.add(line(file.getFileName().toString(), now));
                lines.add(String.format(Locale.ROOT, "    %s, cost %.2f; first limit: %s at %.0f/s", hosts(fleet), fleet.cost(), limit.limit().words(),
                        limit.load()));
                Map<String, Object> one = facts(now);
                one.put("cost", fleet.cost());
                one.put("first-limit", limit.limit().name().toLowerCase(Locale.ROOT).replace('_', '-'));
                one.put("first-limit-at", limit.load());
                facts.put(file.toString(), one);
            }
            given.print(facts, lines);
            return Stairshelf.GOOD;
        }
    }
}
