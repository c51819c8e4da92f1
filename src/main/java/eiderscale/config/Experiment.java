package eiderscale.config;

import eiderscale.Api;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * An experiment of the laboratory as its file describes it: the fleet, the load, what goes wrong, and what must hold.
 * Times in nanoseconds. Reading never throws: what is wrong is in {@link #problems}.
 */
public final class Experiment {
    /** Hosts of one kind. */
    public record Hosts(String kind, int count, int slots, int queue, long work, double spread, int keeps, double weight,
                        double cold, long warm, int connections, double fails, double cost) {
        /** The part of its speed that one has so long after its start, from its cold share to 1. */
        public double speed(long age) {
            return age >= warm ? 1 : cold + (1 - cold) * age / warm;
        }

        /** Requests that one could do within {@code span} at that part of its speed. */
        public double canDo(double speed, long span) {
            return slots * speed * span / work;
        }
    }

    /** What stands behind hosts that keep copies. */
    public record Ledger(int places, int queue, long work, double spread) {
    }

    /** One way; {@code resets}: part of requests. */
    public record Network(long near, long far, long client, double jitter, double resets) {
    }

    /** How the list is told; {@code call}: how long an answer takes. */
    public record Discovery(long lag, long spread, long notices, long call) {
    }

    /** How the rate goes with time. */
    public enum Shape { STEADY, WAVE, RELEASE, TRACE }

    /** What clients ask. {@code trace}: null unless the shape is that. */
    public record Load(double rate, Shape shape, double peak, String trace, int keys, double zipf, double hot, int retries,
                       long backOff, double honours, int connections, long keeps) {
    }

    /** A class by its name, and its part of the requests. */
    public record Mix(String requestClass, double share) {
    }

    /** What goes wrong. {@code length}: 0 for good; {@code hosts}, {@code zone}: null for any. */
    public record Injury(long at, long length, String what, String hosts, String zone, double part, double factor) {
        /** Whether it is meant for this host, as far as names tell. */
        public boolean names(String host, String hostZone) {
            boolean named = hosts == null || host.equals(hosts) || host.startsWith(hosts.endsWith("-") ? hosts : hosts + "-");
            return named && (zone == null || zone.equals(hostZone));
        }

        /** How many of so many it meets, the first of them: at least one. */
        public int meets(int found) {
            return Math.min(found, Math.max(1, (int) Math.round(found * part)));
        }

        /** In one line, as a file would say it. */
        public String text() {
            return "at " + Type.DURATION.format(at) + (length > 0 ? " for " + Type.DURATION.format(length) : "") + " " + what
                    + (hosts == null ? "" : " hosts " + hosts) + (zone == null ? "" : " zone " + zone) + " part " + part
                    + " factor " + factor;
        }
    }

    /** One way of settings; {@code load}: beside the experiment's rate. */
    public record Variant(String name, List<String> set, double load) {
    }

    /** What must hold of each run. {@code p99}: 0 for any. */
    public record Limits(double served, double worstSecond, long p99, double attempts, double hits, double ledger,
                         double lastTenth) {
    }

    /** The settings of a variant, as its balancers have them. */
    public record Settings(Api.Settings module, JoinRules joining, DescriptorPlan plan, ClientLimits clients, List<String> classes,
                           List<String> tenants) {
    }

    private final List<Problem> problems;
    private final Values root;

    private Experiment(Values root, List<Problem> problems) {
        this.root = root;
        this.problems = problems;
    }

    /** {@code file}: the bytes of a file that the text names, or null if there is none. */
    public static Experiment read(byte[] text, Function<String, byte[]> file) {
        Report report = new Report();
        Values root = Reader.read(text, LabSpec.ROOT, report);
        if (root == null) {
            return new Experiment(null, report.problems());
        }
        Experiment made = new Experiment(root, List.of());
        made.check(report, file);
        return new Experiment(root, report.problems());
    }

    private void check(Report report, Function<String, byte[]> file) {
        if (root.tables("hosts").isEmpty()) {
            report.error("hosts", "is missing", "tables [[hosts]]");
        }
        Set<String> kinds = new HashSet<>();
        for (Values hosts : root.tables("hosts")) {
            if (!kinds.add(hosts.text("kind"))) {
                report.error(hosts.path + ".kind", "a second kind '" + hosts.text("kind") + "'", "kinds of their own");
            }
        }
        Set<String> names = new HashSet<>();
        for (Values variant : root.tables("variants")) {
            if (variant.has("name") && !names.add(variant.text("name"))) {
                report.error(variant.path + ".name", "a second variant '" + variant.text("name") + "'", "names of their own");
            }
        }
        if (root.table("load").has("trace") != "trace".equals(root.table("load").text("shape"))) {
            report.error("load.trace", "goes with shape = \"trace\"", "both or neither", "load.shape");
        } else if (root.table("load").has("trace") && file.apply(root.table("load").text("trace")) == null) {
            report.error("load.trace", "there is no file " + Type.shown(root.table("load").text("trace")), null);
        }
        zones(report);
        double shares = 0;
        for (Values mix : root.tables("mix")) {
            shares += mix.real("share");
        }
        if (!root.tables("mix").isEmpty() && Math.abs(shares - 1) > 0.001) {
            report.error("mix", "the shares make " + Math.round(shares * 1e6) / 1e6, "shares that make 1");
        }
        if (root.whole("settle") >= root.whole("length")) {
            report.error("settle", "leaves nothing to measure", "less than length", "length");
        }
        application(report, file);
    }

    private void zones(Report report) {
        List<?> zones = root.table("fleet").list("zones");
        for (Values injury : root.tables("injuries")) {
            if (injury.has("zone") && !zones.contains(injury.text("zone"))) {
                report.unknownName(injury.path + ".zone", injury.text("zone"), zones.stream().map(String::valueOf).toList(), "zone");
            }
            if ("cut".equals(injury.text("what")) && !injury.has("zone")) {
                report.error(injury.path + ".what", "needs the zone that is cut off", "a zone beside cut");
            }
            if ("crowd".equals(injury.text("what")) && root.table("load").whole("connections") == 0) {
                report.error(injury.path + ".what", "needs connections that can be counted", "load.connections above 0", "load.connections");
            }
            if (List.of("balancer-kill", "balancer-gone").contains(String.valueOf(injury.text("what")))
                    && root.table("load").whole("connections") > 0) {
                report.error(injury.path + ".what", "is not played with clients' connections", "load.connections = 0", "load.connections");
            }
            if (injury.whole("at") >= root.whole("length")) {
                report.error(injury.path + ".at", "is after the end", "less than length", "length");
            }
        }
    }

    /** The application's file with each variant's changes is checked as for a start. */
    private void application(Report report, Function<String, byte[]> file) {
        byte[] text = root.has("application") ? file.apply(root.text("application")) : null;
        if (text == null) {
            report.error("application", "there is no file " + Type.shown(root.text("application")), null);
            return;
        }
        for (Variant variant : variants()) {
            AppFile app = AppFile.read(text, name -> true, variant.set);
            for (Problem problem : app.problems()) {
                if (problem.severity() == Problem.Severity.ERROR) {
                    report.error("application", "variant '" + variant.name + "': " + problem.text(), null);
                }
            }
            if (!app.isGood()) {
                continue;
            }
            for (Values mix : root.tables("mix")) {
                if (mix.has("class") && !app.classNames().contains(mix.text("class"))) {
                    report.unknownName(mix.path + ".class", mix.text("class"), app.classNames(), "class");
                }
            }
        }
    }

    /** All that is wrong, in the order of the text. */
    public List<Problem> problems() {
        return problems;
    }

    /** Whether it can be run. */
    public boolean isGood() {
        return root != null && problems.stream().noneMatch(problem -> problem.severity() == Problem.Severity.ERROR);
    }

    /** What it is called. */
    public String name() {
        return root.text("name");
    }

    /** The sentence that it proves. */
    public String proves() {
        return root.text("proves");
    }

    /** The name of its application's file, as the text has it. */
    public String application() {
        return root.text("application");
    }

    /** How long clients ask. */
    public long length() {
        return root.whole("length");
    }

    /** What comes before this is not measured. */
    public long settle() {
        return root.whole("settle");
    }

    /** Runs of each variant. */
    public int seeds() {
        return (int) root.whole("seeds");
    }

    /** The seed of the first run. */
    public long firstSeed() {
        return root.whole("first-seed");
    }

    /** A run is ended after so many requests. */
    public long mostRequests() {
        return root.whole("most-requests");
    }

    /** How many balancers there are. */
    public int balancers() {
        return (int) root.table("fleet").whole("balancers");
    }

    /** How long a balancer's process takes until it listens, in virtual time. */
    public long start() {
        return root.table("fleet").whole("start");
    }

    /** Attempts a second that one balancer can do, for the planner; 0 if that is not known. */
    public double balancerRate() {
        return root.table("fleet").real("balancer-rate");
    }

    /** Where hosts and balancers stand. */
    public List<String> zones() {
        return root.table("fleet").list("zones").stream().map(String::valueOf).toList();
    }

    /** The kinds of hosts. */
    public List<Hosts> hosts() {
        return root.tables("hosts").stream().map(h -> new Hosts(h.text("kind"), (int) h.whole("count"), (int) h.whole("slots"),
                (int) h.whole("queue"), h.whole("work"), h.real("spread"), (int) h.whole("keeps"), h.real("weight"), h.real("cold"),
                h.whole("warm"), (int) h.whole("connections"), h.real("fails"), h.real("cost"))).toList();
    }

    /** What stands behind them. */
    public Ledger ledger() {
        Values l = root.table("ledger");
        return new Ledger((int) l.whole("places"), (int) l.whole("queue"), l.whole("work"), l.real("spread"));
    }

    /** The ways between. */
    public Network network() {
        Values n = root.table("network");
        return new Network(n.whole("near"), n.whole("far"), n.whole("client"), n.real("jitter"), n.real("resets"));
    }

    /** How the list is told. */
    public Discovery discovery() {
        Values d = root.table("discovery");
        return new Discovery(d.whole("lag"), d.whole("spread"), d.whole("notices"), d.whole("call"));
    }

    /** What clients ask. */
    public Load load() {
        Values l = root.table("load");
        return new Load(l.real("rate"), Shape.valueOf(l.text("shape").toUpperCase(java.util.Locale.ROOT)), l.real("peak"),
                l.text("trace"), (int) l.whole("keys"), l.real("zipf"), l.real("hot"), (int) l.whole("retries"),
                l.whole("back-off"), l.real("honours"), (int) l.whole("connections"), l.whole("keeps"));
    }

    /** What they ask for; empty for the first class alone. */
    public List<Mix> mix() {
        return root.tables("mix").stream().map(m -> new Mix(m.text("class"), m.real("share"))).toList();
    }

    /** What goes wrong. */
    public List<Injury> injuries() {
        return root.tables("injuries").stream().map(i -> new Injury(i.whole("at"), i.whole("for"), i.text("what"), i.text("hosts"),
                i.text("zone"), i.real("part"), i.real("factor"))).toList();
    }

    /** All variants, each with every value of the sweeps; at least one. */
    public List<Variant> variants() {
        List<Variant> made = new ArrayList<>();
        for (Values v : root.tables("variants")) {
            made.add(new Variant(v.text("name"), v.list("set").stream().map(String::valueOf).toList(), v.real("load")));
        }
        if (made.isEmpty()) {
            made.add(new Variant("as-is", List.of(), 1));
        }
        for (Values sweep : root.tables("sweeps")) {
            List<Variant> swept = new ArrayList<>();
            for (Variant variant : made) {
                for (Object value : sweep.list("values")) {
                    List<String> set = new ArrayList<>(variant.set);
                    set.add(sweep.text("key") + " = " + value);
                    swept.add(new Variant(variant.name + "/" + sweep.text("key") + "=" + value, set, variant.load));
                }
            }
            made = swept;
        }
        return made;
    }

    /** What must hold. */
    public Limits limits() {
        Values l = root.table("limits");
        return new Limits(l.real("served"), l.real("worst-second"), l.whole("p99"), l.real("attempts"), l.real("hits"),
                l.real("ledger"), l.real("last-tenth"));
    }

    /** The settings that a variant's balancers have; {@code application}: the bytes of its file. */
    public Settings settings(Variant variant, byte[] application) {
        AppFile app = AppFile.read(application, name -> true, variant.set);
        Config config = app.config(0, null);
        return new Settings(config.site().settings, config.site().joining, config.plan(), config.clients(), app.classNames(),
                app.tenantNames());
    }
}
