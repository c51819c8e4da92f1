package eiderscale.config;

import eiderscale.Api;
import eiderscale.Api.Effect;
import eiderscale.config.Application.Host;
import eiderscale.config.Application.Route;
import eiderscale.config.Application.ServiceClass;
import eiderscale.config.Application.Source;
import eiderscale.config.Routes.Operation;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** What must hold between the keys of a file, each of which may hold what it does. */
final class Checks {
    private static final long KB = 1024;
    /** What a process takes that serves nothing, and what each descriptor and open request adds at most. */
    private static final long FIXED_BYTES = 88 * KB * KB;
    private static final long HEAP_BYTES = 16 * KB * KB;
    private static final long DESCRIPTOR_BYTES = 8 * KB;
    private static final long REQUEST_BYTES = 4 * KB;
    private static final long WAITER_BYTES = KB;
    /** Values are held when they come and once more when they go on. */
    private static final int VALUE_COPIES = 2;
    /** Shares are stated with few digits. */
    private static final double SHARES_SLACK = 0.001;

    private final Application app;
    private final Report report;

    private Checks(Application app, Report report) {
        this.app = app;
        this.report = report;
    }

    /** {@code exists}: whether a file that the text names is there. */
    static void run(Application app, Report report, Predicate<String> exists) {
        Checks checks = new Checks(app, report);
        checks.listeners();
        checks.limits();
        checks.operators();
        checks.peers();
        checks.members();
        checks.pool(exists);
        checkHosts(app.hosts(), app.values().table("fleet").list("zones"), app.values().flag("allow-non-loopback"),
                report);
        checks.ownHosts();
        checks.cold();
        checks.fleet();
        checks.tenants();
        checks.classes();
        checks.routes();
        checks.hedging();
        checks.joining();
        checks.resending();
        new HttpChecks(app, report).run();
    }

    /** The rule itself; where a check above has told of the keys that a violation comes from, it is not told twice. */
    private void resending() {
        for (ResendRule.Violation violation : ResendRule.violations(app)) {
            Set<String> keys = new HashSet<>(violation.others());
            keys.add(violation.key());
            if (!report.tellsOf(keys)) {
                report.error(violation.key(), violation.why(), violation.allowed(),
                        violation.others().toArray(String[]::new));
            }
        }
    }

    private void listeners() {
        boolean anywhere = app.values().flag("allow-non-loopback");
        boolean needed = false;
        if (!app.servesMeta() && !app.servesHttp()) {
            report.error("listen", "is missing", "an address here or in http.listen", "http.listen");
        }
        List<InetSocketAddress> all = new ArrayList<>(app.listeners());
        all.addAll(app.http().listeners());
        for (int i = 0; i < all.size(); i++) {
            InetSocketAddress address = all.get(i);
            int meta = app.listeners().size();
            String key = i < meta ? "listen[" + i + "]" : "http.listen[" + (i - meta) + "]";
            needed |= !address.getAddress().isLoopbackAddress();
            if (!anywhere && !address.getAddress().isLoopbackAddress()) {
                report.error(key, Type.address(address) + " is not loopback", "an address of 127.0.0.0/8 or [::1], "
                        + "or allow-non-loopback = true", "allow-non-loopback", "listen");
            }
            for (int j = 0; j < i && address.getPort() != 0; j++) {
                InetSocketAddress other = all.get(j);
                boolean same = other.getAddress().equals(address.getAddress())
                        || other.getAddress().isAnyLocalAddress() || address.getAddress().isAnyLocalAddress();
                if (same && other.getPort() == address.getPort()) {
                    report.error(key, "two listeners on port " + address.getPort(), "one listener on each port",
                            "listen", "http.listen");
                }
            }
            if (address.getPort() == 0) {
                report.warn(key, "port 0 is another port at each start", "listen");
            }
        }
        needed |= app.hosts().stream().anyMatch(host -> !host.address().getAddress().isLoopbackAddress())
                || app.http().pools().stream().flatMap(pool -> pool.hosts().stream())
                        .anyMatch(host -> !host.address().getAddress().isLoopbackAddress())
                || app.source() != Source.STATIC;
        if (anywhere && !needed) {
            report.warn("allow-non-loopback", "nothing here needs it", "listen", "pool.hosts");
        }
    }

    private void limits() {
        Values limits = app.values().table("limits");
        long fixed = FIXED_BYTES + limits.whole("descriptors") * DESCRIPTOR_BYTES;
        long waiters = app.values().table("joining").whole("waiters") * WAITER_BYTES;
        long left = limits.whole("memory") - waiters - fixed - limits.whole("values") * VALUE_COPIES - cacheBytes();
        if (left < limits.whole("open-requests") * REQUEST_BYTES) {
            long need = limits.whole("memory") - left + limits.whole("open-requests") * REQUEST_BYTES;
            String key = limits.states("memory") ? "limits.memory" : limits.states("values") ? "limits.values"
                    : limits.states("open-requests") ? "limits.open-requests" : "limits.descriptors";
            report.error(key, "the other limits need " + Type.SIZE.format((need / KB / KB + 1) * KB * KB)
                    + " of memory", "limits that fit into limits.memory", "limits.memory", "limits.values",
                    "limits.open-requests", "limits.descriptors");
        }
        DescriptorPlan plan = Application.plan(app.values());
        if (limits.whole("clients-per-source") > plan.clients()) {
            report.error("limits.clients-per-source", "is more than the " + plan.clients() + " that all clients may "
                    + "have", "at most that many, or 0", "limits.clients", "limits.descriptors");
        }
        if (limits.whole("clients-per-tenant") > plan.clients()) {
            report.error("limits.clients-per-tenant", "is more than the " + plan.clients() + " that all clients may "
                    + "have", "at most that many, or 0", "limits.clients", "limits.descriptors");
        } else if (limits.whole("clients-per-tenant") > 0 && app.values().tables("tenants").isEmpty()) {
            report.error("limits.clients-per-tenant", "needs tenants to count for", "0, or a list of [[tenants]]",
                    "tenants");
        }
        if (limits.has("clients") && limits.whole("clients") + plan.surplus() >= limits.whole("descriptors") * 3 / 4) {
            report.error("limits.clients", "leaves too few of " + limits.whole("descriptors") + " descriptors for "
                    + "hosts", "under three quarters of limits.descriptors", "limits.descriptors");
        } else if (app.hosts().size() > plan.links()) {
            report.error("limits.descriptors", "leaves " + plan.links() + " connections to " + app.hosts().size()
                    + " hosts", "enough for one connection to each", "pool.hosts");
        } else if (limits.states("open-requests") && limits.whole("open-requests") > plan.links()) {
            report.warn("limits.open-requests", "of so many, " + plan.links() + " at most can be out at hosts",
                    "limits.descriptors");
        }
    }

    private long cacheBytes() {
        return app.servesHttp() ? app.values().table("http").whole("cache") : 0;
    }

    /** What is held on the heap at most: what open requests, their values and the connections take. */
    static long heapBytes(Values limits, long cache) {
        return cache + limits.whole("open-requests") * REQUEST_BYTES + limits.whole("values") * VALUE_COPIES
                + limits.whole("descriptors") * DESCRIPTOR_BYTES / 2 + HEAP_BYTES;
    }

    private static final int MOST_MEMBER_NAME = 16;

    private void members() {
        Values members = app.values().table("members");
        if (members.has("listen") && !members.has("name")) {
            report.error("members.name", "is missing", "a name of its own among the members", "members.listen");
        } else if (!members.has("listen") && (members.has("name") || members.has("seeds"))) {
            report.error("members." + (members.has("name") ? "name" : "seeds"), "says nothing here", "only with members.listen");
        }
        if (members.has("name") && members.text("name").length() > MOST_MEMBER_NAME) {
            report.error("members.name", "is longer than " + MOST_MEMBER_NAME + " characters", "a shorter one");
        }
        if (members.get("listen") instanceof InetSocketAddress address && !address.getAddress().isLoopbackAddress()
                && !app.values().flag("allow-non-loopback")) {
            report.error("members.listen", Type.address(address) + " is not loopback",
                    "an address of 127.0.0.0/8, or allow-non-loopback = true", "allow-non-loopback");
        }
    }

    private void peers() {
        Values peers = app.values().table("peers");
        if (!peers.has("control")) {
            return;
        }
        for (Object peer : peers.list("control")) {
            if (!((InetSocketAddress) peer).getAddress().isLoopbackAddress() && !app.values().flag("allow-non-loopback")) {
                report.error("peers.control", Type.address((InetSocketAddress) peer) + " is not loopback",
                        "addresses of 127.0.0.0/8 or [::1], or allow-non-loopback = true", "allow-non-loopback");
            }
        }
        if (!app.values().table("operators").has("control")) {
            report.error("peers.control", "peers cannot ask this one", "operators.control", "operators.control");
        }
    }

    private void operators() {
        Values operators = app.values().table("operators");
        if (operators.get("control") instanceof InetSocketAddress address) {
            if (!address.getAddress().isLoopbackAddress() && !app.values().flag("allow-non-loopback")) {
                report.error("operators.control", Type.address(address) + " is not loopback",
                        "an address of 127.0.0.0/8 or [::1], or allow-non-loopback = true", "allow-non-loopback");
            }
            if (address.getPort() != 0 && (app.listeners().contains(address) || app.http().listeners().contains(address))) {
                report.error("operators.control", "is a listener for clients", null, "listen");
            }
        }
    }

    private void pool(Predicate<String> exists) {
        Values pool = app.values().table("pool");
        Source source = app.source();
        boolean meta = app.servesMeta() || !app.servesHttp();
        demand(pool, "hosts", source == Source.STATIC && meta, "static");
        demand(pool, "file", source == Source.FILE, "file");
        demand(pool, "discovery", source == Source.DISCOVERY, "discovery");
        if (source == Source.FILE && pool.has("file") && !exists.test(pool.text("file"))) {
            report.error("pool.file", "there is no file " + Type.shown(pool.text("file")), null);
        }
        if (pool.get("discovery") instanceof InetSocketAddress address) {
            if (!address.getAddress().isLoopbackAddress() && !app.values().flag("allow-non-loopback")) {
                report.error("pool.discovery", Type.address(address) + " is not loopback",
                        "an address of 127.0.0.0/8 or [::1], or allow-non-loopback = true", "allow-non-loopback");
            }
            if (address.getPort() == 0 || app.listeners().contains(address)) {
                report.error("pool.discovery", address.getPort() == 0 ? "port 0 cannot be connected to"
                        : "is a listener of this balancer", null, "listen");
            }
        }
        if (app.hostKind() == Site.HostKind.MEMCACHED && !pool.list("load-report").isEmpty()) {
            report.error("pool.load-report", "memcached reports no load", "[] with kind = \"memcached\"", "pool.kind");
        }
        Set<Object> fields = new HashSet<>();
        for (Object field : pool.list("load-report")) {
            if (!fields.add(field)) {
                report.error("pool.load-report", "names '" + field + "' twice", null);
            }
        }
    }

    private void demand(Values pool, String key, boolean needed, String source) {
        if (needed && !pool.has(key)) {
            report.error("pool." + key, "is missing", "with source = \"" + source + "\" it is needed", "pool.source");
        } else if (!needed && pool.states(key)) {
            report.error("pool." + key, "says nothing here", "only with source = \"" + source + "\" and a listener for it",
                    "pool.source", "listen");
        }
    }

    /** Checks a list of hosts, in whatever file it stands. */
    static void checkHosts(List<Host> hosts, List<?> zones, boolean anywhere, Report report) {
        Map<String, String> ids = new HashMap<>();
        Map<InetSocketAddress, String> addresses = new HashMap<>();
        for (Host host : hosts) {
            InetSocketAddress address = host.address();
            if (ids.putIfAbsent(host.id(), host.path()) != null) {
                report.error(host.path(), "a second host with the id '" + host.id() + "'", "ids of their own");
            } else if (addresses.putIfAbsent(address, host.path()) != null) {
                report.error(host.path(), "a second host at " + Type.address(address), "addresses of their own");
            }
            if (!anywhere && !address.getAddress().isLoopbackAddress()) {
                report.error(host.path(), Type.address(address) + " is not loopback",
                        "an address of 127.0.0.0/8 or [::1], or allow-non-loopback = true", "allow-non-loopback");
            }
            if (address.getPort() == 0) {
                report.error(host.path(), "port 0 cannot be connected to", "a port from 1 to 65535");
            }
            if (!zones.isEmpty() && !host.zone().isEmpty() && !zones.contains(host.zone())) {
                report.unknownName(host.path() + ".zone", host.zone(), names(zones), "zone");
            }
        }
    }

    private static List<String> names(List<?> list) {
        return list.stream().map(String::valueOf).toList();
    }

    private void ownHosts() {
        for (Host host : app.hosts()) {
            for (InetSocketAddress listener : app.listeners()) {
                if (listener.equals(host.address()) && listener.getPort() != 0) {
                    report.error(host.path(), "is a listener of this balancer", "another address", "listen");
                }
            }
        }
        if (app.servesMeta() && app.source() == Source.STATIC && app.hosts().size() == 1) {
            report.warn("pool.hosts", "with one host there is none to go to when it fails");
        }
    }

    private void cold() {
        Values cold = app.values().table("cold");
        double most = cold.real("falls-at") * Application.MARGIN;
        if (cold.real("multiple") > most) {
            report.error("cold.multiple", "a host that falls over at " + cold.real("falls-at")
                    + " times what it can do would be pushed over", "half of falls-at at most, here "
                    + Type.NUMBER.format(most), "cold.falls-at");
        }
    }

    /** What is answered to one reader was fetched for another: that must be harmless, and nothing may depend on whose it was. */
    private void joining() {
        for (ServiceClass c : app.classes()) {
            if (!c.join()) {
                continue;
            }
            if (c.effect() != Effect.RETRYABLE || c.operation() != Operation.READ) {
                report.error(c.path() + ".join", "an " + (c.operation() == Operation.READ ? ResendRule.word(c.effect())
                        + " class" : "operation that writes") + " may not be answered by what was fetched for another",
                        "false but for safe reads", c.path() + ".effect", c.path() + ".operation");
            } else if (c.inOrder()) {
                report.error(c.path() + ".join", "requests in order run one at a time and share nothing",
                        "false with in-order = true", c.path() + ".in-order");
            } else if (!app.servesMeta()) {
                report.warn(c.path() + ".join", "says nothing of HTTP, where http.collapse does", "http.collapse");
            }
        }
        Values joining = app.values().table("joining");
        if (joining.whole("waiters-per-key") > joining.whole("waiters")) {
            report.error("joining.waiters-per-key", "is more than all that may wait", "at most joining.waiters",
                    "joining.waiters");
        }
    }

    private void hedging() {
        Values hedge = app.values().table("hedge");
        if (!hedge.flag("enabled")) {
            for (ServiceClass c : app.classes()) {
                if (c.hedge() && values(c.path()).states("hedge")) {
                    report.error(c.path() + ".hedge", "is on where [hedge] is off", "false with hedge.enabled = false",
                            "hedge.enabled");
                }
            }
        }
        if (hedge.flag("enabled") && app.values().table("retry").whole("attempts") == 1) {
            report.warn("retry.attempts", "with one attempt there are neither retries nor copies");
        }
    }

    private Values values(String path) {
        for (Values c : app.values().tables("classes")) {
            if (c.path.equals(path)) {
                return c;
            }
        }
        throw new IllegalArgumentException(path);
    }

    private void fleet() {
        Values fleet = app.values().table("fleet");
        if (fleet.whole("rank") >= fleet.whole("balancers")) {
            report.error("fleet.rank", "is " + fleet.whole("rank") + " of " + fleet.whole("balancers")
                    + " balancers", "from 0 to one less than fleet.balancers", "fleet.balancers");
        }
        List<String> zones = names(fleet.list("zones"));
        if (fleet.has("zone") && !zones.isEmpty() && !zones.contains(fleet.text("zone"))) {
            report.unknownName("fleet.zone", fleet.text("zone"), zones, "zone");
        }
        duplicates("zone", zones, "fleet.zones", "");
    }

    private void tenants() {
        List<Values> tenants = app.values().tables("tenants");
        double sum = 0;
        boolean whole = true;
        for (Values tenant : tenants) {
            sum += tenant.real("share");
            whole &= tenant.has("share");
        }
        if (!tenants.isEmpty() && whole && Math.abs(sum - 1) > SHARES_SLACK) {
            report.error("tenants", "the shares make " + Math.round(sum * 1e6) / 1e6, "shares that make 1");
        }
        List<String> names = tenants.stream().filter(t -> t.has("name")).map(t -> t.text("name")).toList();
        duplicates("tenant", names, "tenants", ".name");
        Values clients = app.values().table("clients");
        if (clients.has("tenant") && !names.contains(clients.text("tenant"))) {
            report.unknownName("clients.tenant", clients.text("tenant"), names, "tenant");
        }
        if (!tenants.isEmpty() && app.values().table("quota").real("rate") == 0) {
            report.warn("tenants", "without quota.rate nobody is held to a share", "quota.rate");
        }
    }

    /** Of names in the order of their items. */
    private void duplicates(String what, List<String> names, String list, String key) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < names.size(); i++) {
            if (!seen.add(names.get(i))) {
                report.error(list + "[" + i + "]" + key, "a second " + what + " called '" + names.get(i) + "'",
                        "names of their own");
            }
        }
    }

    private void classes() {
        if (app.classes().isEmpty()) {
            report.error("classes", "there is no class", "one [[classes]] at least");
        }
        duplicates("class", app.classes().stream().map(ServiceClass::name).toList(), "classes", ".name");
        long retries = app.values().table("clients").whole("retries");
        for (ServiceClass c : app.classes()) {
            String at = c.path();
            if (c.deadline() < c.aim()) {
                report.error(at + ".deadline", "is sooner than the aim", "at least " + Type.DURATION.format(c.aim()),
                        at + ".aim");
            }
            Values values = values(at);
            boolean keyed = c.effect() == Effect.DEDUP;
            if (keyed && !values.has("window")) {
                report.error(at + ".window", "is missing", "for how long hosts drop repeats", at + ".effect");
            }
            if (!keyed && (values.states("window") || c.group() != Api.Group.ALL)) {
                report.error(at + (values.states("window") ? ".window" : ".group"), "says nothing here",
                        "only for keyed classes", at + ".effect");
            }
            if (values.flag("durable") && c.effect() == Effect.RETRYABLE) {
                report.error(at + ".durable", "says nothing here", "only for unsafe and keyed classes", at + ".effect");
            } else if (values.flag("durable") && !app.values().table("state").has("folder")) {
                report.error(at + ".durable", "needs a place to be kept", "state.folder", "state.folder");
            }
            if (keyed && c.operation() == Operation.READ) {
                report.warn(at + ".operation", "a read that is keyed", at + ".effect");
            }
            if (c.effect() == Effect.RETRYABLE && c.operation() == Operation.WRITE && c.resends()) {
                report.warn(at + ".effect", "a write that may run more than once", at + ".operation");
            }
            if (keyed && values.has("window") && c.window() < c.deadline() * (retries + 1)) {
                report.warn(at + ".window", "clients that retry " + retries + " times may outlast it",
                        "clients.retries", at + ".deadline");
            }
        }
    }

    private void routes() {
        List<String> names = app.classes().stream().map(ServiceClass::name).toList();
        for (int i = 0; i < app.routes().size(); i++) {
            Route route = app.routes().get(i);
            String at = route.path();
            String stated = app.values().tables("routes").get(i).text("class");
            if (route.requestClass() == null) {
                if (stated != null) {
                    report.unknownName(at + ".class", stated, names, "class");
                }
                continue;
            }
            ServiceClass c = route.requestClass();
            String[] related = {at + ".operation", at + ".prefix", at + ".class", c.path() + ".effect",
                c.path() + ".operation"};
            if (route.operation() != Operation.ANY && route.operation() != c.operation()) {
                report.error(at + ".operation", "class '" + c.name() + "' is for "
                        + (c.operation() == Operation.READ ? "reads" : "writes"), '"'
                        + (c.operation() == Operation.READ ? "read" : "write") + "\", or a class for the other",
                        related);
            }
            if (route.effect() != null && route.effect() != c.effect()) {
                report.error(at + ".effect", "class '" + c.name() + "' is " + ResendRule.word(c.effect()),
                        '"' + ResendRule.word(c.effect()) + "\", or another class", related);
            }
            overlaps(i, route, related);
        }
    }

    private void overlaps(int i, Route route, String[] related) {
        Routes.Route mine = route.matching(0);
        for (Route other : app.routes().subList(0, i)) {
            if (other.requestClass() == null || !mine.meets(other.matching(0))) {
                continue;
            }
            ServiceClass a = route.requestClass();
            ServiceClass b = other.requestClass();
            Position place = report.position(other.path());
            if (mine.prefix().equals(other.prefix())) {
                report.error(route.path() + ".prefix", "the route in line " + place.line() + " has the same",
                        "prefixes of their own", related);
            } else if (a.effect() != b.effect()) {
                report.error(route.path() + ".prefix", "overlaps the route in line " + place.line() + ", whose class '"
                        + b.name() + "' is " + ResendRule.word(b.effect()) + " where '" + a.name() + "' is "
                        + ResendRule.word(a.effect()), "overlapping routes to classes of one effect", related);
            }
        }
    }
}
