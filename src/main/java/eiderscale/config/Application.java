package eiderscale.config;

import eiderscale.Api;
import eiderscale.config.Routes.ClientClass;
import eiderscale.config.Routes.Operation;
import java.net.InetSocketAddress;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What an application's file means: the model that checks look at and that the balancer's settings are made from.
 * Times in nanoseconds.
 */
record Application(Values values, List<InetSocketAddress> listeners, ClientClass clientClass,
                   Site.HostKind hostKind, Source source, List<Host> hosts, List<ServiceClass> classes,
                   List<Route> routes, HttpPart http) {
    /** Where hosts are named. */
    enum Source { STATIC, FILE, DISCOVERY }

    /** A cache host; {@code path}: where in the file it stands. */
    record Host(String path, InetSocketAddress address, String id, String zone, int cell, double capacity,
                boolean draining, long startedAt) {
    }

    /** A request class; {@code retry} and {@code hedge} as they are in effect. */
    record ServiceClass(String path, String name, Operation operation, Api.Effect effect, long aim, long deadline,
                        double worth, double lateWorth, boolean retry, boolean hedge, long window, Api.Group group,
                        boolean inOrder, boolean join) {
        /** Whether the file has it sent again after an attempt that may have run, or beside one. */
        boolean resends() {
            return retry || hedge;
        }
    }

    /** A route; {@code requestClass}: null for one that does not exist. {@code effect}: null where not stated. */
    record Route(String path, String prefix, Operation operation, ServiceClass requestClass, Api.Effect effect) {
        /** What it matches: where it names no operation, that of its class. */
        Routes.Route matching(int number) {
            return new Routes.Route(prefix, operation == Operation.ANY && requestClass != null
                    ? requestClass.operation() : operation, number);
        }
    }

    /** The module spreads its first question over this part of the time that it is told to ask within. */
    private static final double ASK_SPREAD = 0.5;
    /** How long a key in order rests after an attempt that may still be running. */
    private static final long KEY_QUIET = Units.SECOND;
    /** The module sends half of the multiple that it is told, for chance. */
    static final double MARGIN = 0.5;
    private static final double NO_LIMIT = 1e12;
    private static final Map<String, String> REPORT_FIELDS = Map.of("inflight", "rif", "queue", "q", "util", "busy");

    /** Reads what the file says; what could not be read counts as its strictest. */
    static Application of(Values root) {
        Values pool = root.table("pool");
        List<InetSocketAddress> listeners = root.list("listen").stream().map(InetSocketAddress.class::cast).toList();
        List<ServiceClass> classes = root.tables("classes").stream()
                .map(c -> requestClass(c, root.table("hedge").flag("enabled"))).toList();
        Map<String, ServiceClass> named = new HashMap<>();
        classes.forEach(c -> named.putIfAbsent(c.name, c));
        List<Route> routes = new ArrayList<>();
        for (Values route : root.tables("routes")) {
            routes.add(new Route(route.path, route.has("prefix") ? route.text("prefix") : "",
                    word(route, "operation", Operation.ANY), named.get(route.text("class")),
                    effect(route, null)));
        }
        return new Application(root, listeners, word(root.table("clients"), "class", ClientClass.CHECKED),
                word(pool, "kind", Site.HostKind.META), word(pool, "source", Source.STATIC), hosts(pool), classes,
                routes, HttpPart.of(root, named));
    }

    private static <E extends Enum<E>> E word(Values values, String key, E otherwise) {
        return values.has(key) ? Enum.valueOf(otherwise.getDeclaringClass(),
                values.text(key).toUpperCase(Locale.ROOT)) : otherwise;
    }

    private static Api.Effect effect(Values values, Api.Effect otherwise) {
        String word = values.has("effect") ? values.text("effect") : "";
        return switch (word) {
            case "safe" -> Api.Effect.RETRYABLE;
            case "keyed" -> Api.Effect.DEDUP;
            case "unsafe" -> Api.Effect.FRAGILE;
            default -> otherwise;
        };
    }

    private static ServiceClass requestClass(Values c, boolean copies) {
        Api.Effect effect = effect(c, Api.Effect.FRAGILE);
        Operation operation = word(c, "operation", Operation.READ);
        boolean retry = c.has("retry") ? c.flag("retry") : effect != Api.Effect.FRAGILE;
        boolean hedge = c.has("hedge") ? c.flag("hedge")
                : copies && effect == Api.Effect.RETRYABLE && operation == Operation.READ;
        c.put("retry", retry, c.states("retry"));
        c.put("hedge", hedge, c.states("hedge"));
        return new ServiceClass(c.path, c.has("name") ? c.text("name") : "", operation, effect, c.whole("aim"),
                c.whole("deadline"), c.real("worth"), c.real("late-worth"), retry, hedge, c.whole("window"),
                word(c, "group", Api.Group.ALL), c.flag("in-order"), c.flag("join"));
    }

    /** The hosts that a table names under {@code hosts}. */
    static List<Host> hosts(Values table) {
        List<Host> hosts = new ArrayList<>();
        for (Object item : table.list("hosts")) {
            Values host = (Values) item;
            InetSocketAddress address = (InetSocketAddress) host.get("address");
            if (address != null) {
                hosts.add(new Host(host.path, address, host.has("id") ? host.text("id") : Type.address(address),
                        host.has("zone") ? host.text("zone") : "", (int) host.whole("cell"), host.real("capacity"),
                        "draining".equals(host.text("state")), host.get("started") instanceof OffsetDateTime at
                        ? at.toInstant().toEpochMilli() * Units.MILLISECOND : 0));
            }
        }
        return hosts;
    }

    Routes routeTable() {
        Map<String, Integer> numbers = new HashMap<>();
        List<Routes.Named> named = new ArrayList<>();
        for (ServiceClass c : classes) {
            numbers.putIfAbsent(c.name, named.size());
            named.add(new Routes.Named(c.name, c.operation, c.effect));
        }
        List<Routes.Route> matching = new ArrayList<>();
        for (Route route : routes) {
            if (route.requestClass != null) {
                matching.add(route.matching(numbers.get(route.requestClass.name)));
            }
        }
        return new Routes(named, matching, clientClass);
    }

    String name() {
        return values.text("application");
    }

    /** Whether it serves clients of the meta protocol. */
    boolean servesMeta() {
        return !listeners.isEmpty();
    }

    /** Whether it serves clients that speak HTTP. */
    boolean servesHttp() {
        return !http.listeners().isEmpty();
    }

    /**
     * How the descriptors are dealt out; where the file does not say how many are for clients, as usual. Where two
     * protocols are served, each has half of all.
     */
    static DescriptorPlan plan(Values root) {
        Values limits = root.table("limits");
        boolean both = !root.list("listen").isEmpty() && !root.table("http").list("listen").isEmpty();
        int all = (int) limits.whole("descriptors") / (both ? 2 : 1);
        DescriptorPlan usual = DescriptorPlan.of(all);
        int clients = limits.has("clients") ? (int) limits.whole("clients") / (both ? 2 : 1) : usual.clients();
        boolean ease = root.table("clients").flag("ease");
        return DescriptorPlan.of(all, clients, !ease ? Integer.MAX_VALUE
                : limits.has("clients") ? clients * 3 / 4 : usual.easy());
    }

    /** What the HTTP part of the balancer is started with: one of these for each pool, none where it is not there. */
    List<Config> httpConfigs(long seed, List<Site> previous) {
        List<Config> configs = new ArrayList<>();
        for (int i = 0; servesHttp() && i < http.pools().size(); i++) {
            HttpPart.Pool pool = http.pools().get(i);
            Site.Builder made = builder(Site.HostKind.HTTP);
            made.connectTimeout = pool.connectTimeout();
            made.idleTime = pool.idle();
            made.sendBuffer = (int) pool.sendBuffer();
            made.http = http.rules(classes);
            made.stallTime = made.http.limits().stall();
            Site site = i < previous.size() ? made.keepNames(previous.get(i)).build() : made.build();
            configs.add(new Config(name(), http.listeners(), null, seed + i, plan(values), clientLimits(),
                    values.table("limits").whole("values"), site, new Catalog(0, true, members(pool.hosts(), site)), null));
        }
        return configs;
    }

    /** What the balancer is started with. {@code previous}: the site in service, whose names keep their numbers. */
    Config config(long seed, Site previous) {
        Site site = site(previous);
        Values pool = values.table("pool");
        return new Config(name(), listeners, source == Source.DISCOVERY ? (InetSocketAddress) pool.get("discovery")
                : null, seed, plan(values),
                clientLimits(), values.table("limits").whole("values"), site, new Catalog(0, true, members(hosts, site)), null);
    }

    private ClientLimits clientLimits() {
        Values limits = values.table("limits");
        Values clients = values.table("clients");
        return new ClientLimits((int) limits.whole("clients-per-source"), (int) limits.whole("clients-per-tenant"),
                clients.whole("idle"), clients.flag("half-close"));
    }

    static List<Catalog.Member> members(List<Host> hosts, Site site) {
        return hosts.stream().map(host -> new Catalog.Member(new Api.Server(Catalog.hash(host.id),
                site.zone(host.zone), site.kind(""), host.cell,
                host.draining ? Api.State.DRAINING : Api.State.READY, host.capacity, host.startedAt),
                host.address)).toList();
    }

    private Site site(Site previous) {
        Site.Builder site = builder(hostKind);
        return previous == null ? site.build() : site.keepNames(previous).build();
    }

    private Site.Builder builder(Site.HostKind kind) {
        Site.Builder site = new Site.Builder(settings(kind));
        site.connectTimeout = values.table("pool").whole("connect-timeout");
        site.idleTime = values.table("pool").whole("idle");
        site.sendBuffer = (int) values.table("pool").whole("send-buffer");
        site.maxOpen = (int) values.table("limits").whole("open-requests");
        site.joining = joining(kind);
        site.hostKind = kind;
        site.durable = values.tables("classes").stream().map(c -> c.flag("durable")).toList();
        site.routes = routeTable();
        site.classes = numbers(classes.stream().map(ServiceClass::name).toList());
        site.tenants = numbers(values.tables("tenants").stream().map(t -> t.text("name")).toList());
        site.defaultTenant = values.table("clients").text("tenant");
        site.zones = numbers(zones());
        site.fields = numbers(values.table("pool").list("load-report").stream().map(REPORT_FIELDS::get).toList());
        return site;
    }

    /** Over HTTP all safe reads join where the file does not say that they do not; what may be shared the answer says. */
    private JoinRules joining(Site.HostKind kind) {
        Values joining = values.table("joining");
        Values retry = values.table("retry");
        boolean http = kind == Site.HostKind.HTTP;
        return new JoinRules(classes.stream().map(c -> http ? c.effect == Api.Effect.RETRYABLE : c.join).toList(),
                (int) joining.whole("waiters-per-key"), (int) joining.whole("waiters"), "alone".equals(joining.text("beyond")),
                joining.whole("longest"), joining.whole("failed-for"), (int) joining.whole("further"), joining.whole("spread"),
                joining.real("early"), new Api.Budget(retry.real("free"), retry.real("share"), retry.whole("span")));
    }

    private List<String> zones() {
        List<String> zones = new ArrayList<>();
        values.table("fleet").list("zones").forEach(zone -> zones.add((String) zone));
        String own = values.table("fleet").text("zone");
        if (zones.isEmpty() && own != null) {
            zones.add(own);
        }
        return zones;
    }

    private static Map<String, Integer> numbers(List<String> names) {
        Map<String, Integer> numbers = new HashMap<>();
        names.forEach(name -> numbers.put(name, numbers.size()));
        return numbers;
    }

    private Api.Settings settings(Site.HostKind kind) {
        Values fleet = values.table("fleet");
        Values cold = values.table("cold");
        Values retry = values.table("retry");
        Values hedge = values.table("hedge");
        Values refusal = values.table("refusal");
        double rate = values.table("quota").real("rate");
        List<Api.Tenant> tenants = values.tables("tenants").stream().map(t -> new Api.Tenant(
                rate > 0 ? rate * t.real("share") : NO_LIMIT, t.real("share"))).toList();
        List<String> fields = Arrays.asList(values.table("pool").list("load-report").stream()
                .map(REPORT_FIELDS::get).toArray(String[]::new));
        return new Api.Settings(classes.stream().map(Application::requestClass).toList(), tenants,
                zones().indexOf(fleet.text("zone")), (int) fleet.whole("rank"), (int) fleet.whole("balancers"),
                false, -1, source == Source.DISCOVERY, (int) retry.whole("attempts"), hedge.flag("enabled"),
                hedge.flag("cancel"), refusal.flag("wait"), refusal.whole("longest"),
                values.table("drain").whole("window"),
                (long) (values.table("pool").whole("discovery-spread") / ASK_SPREAD), cold.real("share"), cold.whole("warm-within"),
                cold.real("multiple") / MARGIN, cold.whole("falls-after"), 1, KEY_QUIET,
                new Api.Budget(retry.real("free"), retry.real("share"), retry.whole("span")),
                new Api.ReportLayout(fields.indexOf("rif"), fields.indexOf("q"), fields.indexOf("busy")),
                hedge.real("quantile"), kind == Site.HostKind.MEMCACHED ? 1 : Api.Settings.CANDIDATES);
    }

    private static Api.RequestClass requestClass(ServiceClass c) {
        return new Api.RequestClass(c.aim, 0, c.deadline, c.worth, c.lateWorth * c.worth, c.effect, c.group, c.window,
                false, c.inOrder, c.retry, c.hedge);
    }
}
