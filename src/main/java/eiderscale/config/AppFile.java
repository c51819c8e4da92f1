package eiderscale.config;

import java.nio.charset.StandardCharsets;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;

/**
 * An application's file, read and checked. Reading a file never throws: what is wrong with it is in
 * {@link #problems}. Nothing here does I/O but for asking whether files that it names are there.
 */
public final class AppFile {
    private final List<Problem> problems;
    private final boolean marked;
    /** Null if the text could not be read at all. */
    private final Application app;

    private AppFile(Application app, List<Problem> problems, boolean marked) {
        this.app = app;
        this.problems = problems;
        this.marked = marked;
    }

    /** {@code exists}: whether a file that the text names, by a path as the text has it, is there. */
    public static AppFile read(byte[] text, Predicate<String> exists) {
        return read(text, exists, List.of());
    }

    /**
     * The same with some keys changed, each as {@code key = value} with the key's whole path, such as
     * {@code hedge.enabled = false} or {@code classes[0].deadline = "1s"}. They are checked as the file itself is.
     */
    public static AppFile read(byte[] text, Predicate<String> exists, List<String> changes) {
        Report report = new Report();
        Values values = Reader.read(text, Spec.ROOT, report);
        if (values != null) {
            Changes.apply(values, changes, report);
        }
        boolean marked = isMarked(text);
        if (values == null) {
            return new AppFile(null, report.problems(), marked);
        }
        Application app = Application.of(values);
        Checks.run(app, report, exists);
        if (!marked) {
            report.warn("", "the last line is not '" + Spec.END + "', so that half of the file cannot be told from "
                    + "all of it at a reload");
        }
        return new AppFile(app, report.problems(), marked);
    }

    /** Whether the text ends with the line that only a whole file has. */
    static boolean isMarked(byte[] text) {
        int from = Math.max(0, text.length - 16);
        String tail = new String(text, from, text.length - from, StandardCharsets.ISO_8859_1);
        return tail.replace("\r", "").endsWith("\n" + Spec.END + "\n");
    }

    /** The names of its classes, in the order of their numbers. */
    public List<String> classNames() {
        return good().classes().stream().map(Application.ServiceClass::name).toList();
    }

    /** The names of its tenants, in the order of their numbers. */
    public List<String> tenantNames() {
        return good().values().tables("tenants").stream().map(tenant -> tenant.text("name")).toList();
    }

    /** All that is wrong or unwise, in the order of the text. */
    public List<Problem> problems() {
        return problems;
    }

    /** Whether a balancer may be started with it. */
    public boolean isGood() {
        return problems.stream().noneMatch(problem -> problem.severity() == Problem.Severity.ERROR);
    }

    /** Whether its last line says that it is whole. */
    public boolean isMarked() {
        return marked;
    }

    /** What a balancer is started with, or, with the site in service, renewed with; only of a good file. */
    public Config config(long seed, Site previous) {
        return good().config(seed, previous);
    }

    /** Whether clients of the meta protocol are served. */
    public boolean servesMeta() {
        return good().servesMeta();
    }

    /** What its HTTP part is started or renewed with: one for each pool of hosts; none where it has no such part. */
    public List<Config> httpConfigs(long seed, List<Site> previous) {
        return good().httpConfigs(seed, previous);
    }

    /** The file that holds the hosts, as this one names it; null if they are named otherwise. */
    public String hostsFile() {
        return good().source() == Application.Source.FILE ? app.values().table("pool").text("file") : null;
    }

    /** Where operators call; null for nowhere. */
    public InetSocketAddress control() {
        return (InetSocketAddress) good().values().table("operators").get("control");
    }

    /** The folder that processes of this balancer share, as this file names it; null where they share none. */
    public String sharedFolder() {
        Values operators = good().values().table("operators");
        return operators.has("folder") ? operators.text("folder") : null;
    }

    /** Where datagrams of other members come; null where it is nobody's member. */
    public InetSocketAddress memberListener() {
        return (InetSocketAddress) good().values().table("members").get("listen");
    }

    /** Its name among members. */
    public String memberName() {
        return good().values().table("members").text("name");
    }

    /** Where other members listen. */
    public List<InetSocketAddress> memberSeeds() {
        Values members = good().values().table("members");
        return members.has("seeds") ? members.list("seeds").stream().map(InetSocketAddress.class::cast).toList() : List.of();
    }

    /** Where other instances are called; empty for none. */
    public List<InetSocketAddress> peers() {
        Values peers = good().values().table("peers");
        return peers.has("control") ? peers.list("control").stream().map(InetSocketAddress.class::cast).toList() : List.of();
    }

    /** The folder for what outlives the process, as this file names it; null where nothing is kept. */
    public String stateFolder() {
        Values state = good().values().table("state");
        return state.has("folder") ? state.text("folder") : null;
    }

    /** How often what was learnt is kept, in nanoseconds. */
    public long stateEvery() {
        return good().values().table("state").whole("every");
    }

    /** How old a list from before a start may be to be served by, in nanoseconds. */
    public long stateList() {
        return good().values().table("state").whole("list");
    }

    /** The application's name. */
    public String application() {
        return good().name();
    }

    /** How often that file is to be looked at, in nanoseconds. */
    public long hostsPoll() {
        return good().values().table("pool").whole("poll");
    }

    /** Whether the hosts are those that this file names. */
    public boolean hasOwnHosts() {
        return good().source() == Application.Source.STATIC;
    }

    /** Reads the text of a hosts file; {@code problems} takes what is wrong, and the result is null if anything is. */
    public HostList hosts(byte[] text, List<Problem> problems) {
        Report report = new Report();
        Values values = Reader.read(text, Spec.HOSTS_FILE, report);
        List<Application.Host> hosts = List.of();
        if (values != null) {
            hosts = Application.hosts(values);
            Checks.checkHosts(hosts, good().values().table("fleet").list("zones"),
                    app.values().flag("allow-non-loopback"), report);
        }
        problems.addAll(report.problems());
        return report.problems().isEmpty() ? new HostList(hosts, isMarked(text)) : null;
    }

    /** The configuration in effect, defaults filled in, as a file that means the same. */
    public String show() {
        return Writer.effective(good().values());
    }

    /** Every key in effect and its value, in the order of the description; items of lists by their names. */
    public Map<String, String> effective() {
        return Diff.flatten(good().values());
    }

    /** What another file, taken instead of this one, would change. */
    public List<Change> changes(AppFile later) {
        return Diff.between(effective(), later.effective());
    }

    /** The names of its classes with what they do, for those that try it out: {@code read} or {@code write}. */
    public Map<String, String> operations() {
        Map<String, String> operations = new LinkedHashMap<>();
        good().classes().forEach(c -> operations.put(c.name(), c.operation().name().toLowerCase(Locale.ROOT)));
        return operations;
    }

    /** The sum of what open requests, values and connections may hold, in bytes of the heap. */
    public long heapBytes() {
        Values limits = good().values().table("limits");
        return Checks.heapBytes(limits, app.servesHttp() ? app.values().table("http").whole("cache") : 0);
    }

    /** Descriptors that the process may open. */
    public long descriptors() {
        return good().values().table("limits").whole("descriptors");
    }

    private Application good() {
        if (app == null || !isGood()) {
            List<String> lines = new ArrayList<>();
            problems.forEach(problem -> lines.add(problem.text()));
            throw new ConfigException(String.join("\n", lines));
        }
        return app;
    }
}
