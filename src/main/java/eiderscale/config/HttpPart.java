package eiderscale.config;

import eiderscale.Api.Effect;
import eiderscale.config.Application.Host;
import eiderscale.config.Application.ServiceClass;
import eiderscale.config.Routes.Operation;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What an application's file says of HTTP. Times in nanoseconds.
 *
 * @param pools in the order of their names, which are their numbers' order: a file that names them in another order means the same
 * @param firstPool the name of the file's first pool, for routes that name none; empty where there is none
 */
record HttpPart(Values values, List<InetSocketAddress> listeners, List<Pool> pools, String firstPool, List<Route> routes) {
    /** Hosts that speak HTTP. */
    record Pool(String path, String name, List<Host> hosts, long connectTimeout, long idle, long sendBuffer) {
    }

    /** A route; {@code requestClass}: null for one that does not exist. */
    record Route(String path, Values values, String prefix, List<String> methods, ServiceClass requestClass) {
    }

    /** Methods that change nothing (RFC 9110 section 9.2.1), but for TRACE, which is not served. */
    private static final Set<String> READS = Set.of("GET", "HEAD", "OPTIONS");
    /** Further methods that have the same effect however often they come (section 9.2.2). */
    private static final Set<String> IDEMPOTENT = Set.of("PUT", "DELETE");

    static HttpPart of(Values root, Map<String, ServiceClass> classes) {
        Values http = root.table("http");
        List<Pool> pools = new ArrayList<>();
        for (Values pool : root.tables("http-pools")) {
            pools.add(new Pool(pool.path, pool.has("name") ? pool.text("name") : "", Application.hosts(pool),
                    pool.whole("connect-timeout"), pool.whole("idle"), pool.whole("send-buffer")));
        }
        String firstPool = pools.isEmpty() ? "" : pools.get(0).name();
        pools.sort(Comparator.comparing(Pool::name));
        List<Route> routes = new ArrayList<>();
        for (Values route : root.tables("http-routes")) {
            routes.add(new Route(route.path, route, route.has("path") ? route.text("path") : "/",
                    route.list("methods").stream().map(String::valueOf).toList(), classes.get(route.text("class"))));
        }
        return new HttpPart(http, http.list("listen").stream().map(InetSocketAddress.class::cast).toList(), pools, firstPool,
                routes);
    }

    /** Whether requests with a method change nothing. */
    static boolean isRead(String method) {
        return READS.contains(method);
    }

    /**
     * Whether a class may serve a method at all: one that says nothing of repeats goes to a class that is never sent again
     * after it may have run; one whose repeats do no harm still changes something, so that only hosts which drop repeats
     * may see it twice.
     */
    static boolean bears(ServiceClass c, String method) {
        boolean operation = c.operation() == Operation.ANY || (c.operation() == Operation.READ) == isRead(method);
        boolean effect = isRead(method) || c.effect() == Effect.FRAGILE
                || IDEMPOTENT.contains(method) && c.effect() == Effect.DEDUP;
        return operation && effect;
    }

    /** The number of the pool that a route names; negative if there is none of that name. */
    int pool(Route route) {
        String name = route.values.has("pool") ? route.values.text("pool") : firstPool;
        for (int i = 0; i < pools.size(); i++) {
            if (pools.get(i).name.equals(name)) {
                return i;
            }
        }
        return -1;
    }

    /** What the front goes by; of a file without faults. */
    HttpRules rules(List<ServiceClass> classes) {
        List<HttpRules.Route> made = new ArrayList<>();
        for (Route route : routes) {
            ServiceClass c = route.requestClass;
            for (String method : route.methods) {
                if (!bears(c, method)) {
                    throw new IllegalArgumentException("class " + c.name() + " for " + method);
                }
            }
            long wait = route.values.has("deadline") ? route.values.whole("deadline") : c.deadline();
            made.add(new HttpRules.Route(new LinkedHashSet<>(route.methods), route.prefix, classes.indexOf(c),
                    !isRead(route.methods.get(0)), c.effect() == Effect.DEDUP, route.values.text("tenant"),
                    route.values.has("tenant-field") ? route.values.text("tenant-field").toLowerCase(Locale.ROOT) : null,
                    "path".equals(route.values.text("key")) ? HttpRules.KeyOf.PATH : HttpRules.KeyOf.TARGET,
                    wait / Units.MILLISECOND, pool(route)));
        }
        Set<Integer> turnedAway = new HashSet<>();
        values.list("turned-away").forEach(status -> turnedAway.add(Integer.valueOf((String) status)));
        return new HttpRules(new HttpRules.Limits(values.text("name"), values.whole("cache"), values.whole("largest-object"),
                (int) values.whole("hold"), values.whole("largest-body"), values.whole("stall"), values.flag("collapse"),
                values.flag("purge"), turnedAway), made);
    }
}
