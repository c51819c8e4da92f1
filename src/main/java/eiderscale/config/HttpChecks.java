package eiderscale.config;

import eiderscale.config.Application.Host;
import eiderscale.config.Application.ServiceClass;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What must hold between the keys that are about HTTP. */
final class HttpChecks {
    private final Application app;
    private final HttpPart http;
    private final Report report;

    HttpChecks(Application app, Report report) {
        this.app = app;
        this.http = app.http();
        this.report = report;
    }

    void run() {
        if (!app.servesHttp()) {
            unused("http-pools");
            unused("http-routes");
            return;
        }
        if (http.pools().isEmpty()) {
            report.error("http.listen", "has no hosts behind it", "one [[http-pools]] at least");
        }
        if (http.routes().isEmpty()) {
            report.error("http.listen", "has no routes", "one [[http-routes]] at least");
        }
        pools();
        http.routes().forEach(this::route);
        overlaps();
    }

    private void unused(String list) {
        if (!app.values().tables(list).isEmpty()) {
            report.error(list, "says nothing here", "only with http.listen", "http.listen");
        }
    }

    private void pools() {
        Set<String> names = new HashSet<>();
        for (HttpPart.Pool pool : http.pools()) {
            if (!names.add(pool.name())) {
                report.error(pool.path() + ".name", "a second pool called '" + pool.name() + "'", "names of their own");
            }
            Checks.checkHosts(pool.hosts(), app.values().table("fleet").list("zones"),
                    app.values().flag("allow-non-loopback"), report);
            for (Host host : pool.hosts()) {
                for (InetSocketAddress listener : http.listeners()) {
                    if (listener.equals(host.address()) && listener.getPort() != 0) {
                        report.error(host.path(), "is a listener of this balancer", "another address", "http.listen");
                    }
                }
            }
        }
    }

    private void route(HttpPart.Route route) {
        String at = route.path();
        Values values = route.values();
        if (!route.prefix().startsWith("/")) {
            report.error(at + ".path", "is " + Type.shown(route.prefix()), "a path, which begins with '/'");
        }
        if (values.has("pool") && http.pool(route) < 0) {
            report.unknownName(at + ".pool", values.text("pool"), http.pools().stream().map(HttpPart.Pool::name).toList(),
                    "pool");
        }
        ServiceClass c = route.requestClass();
        if (c == null) {
            if (values.has("class")) {
                report.unknownName(at + ".class", values.text("class"),
                        app.classes().stream().map(ServiceClass::name).toList(), "class");
            }
            return;
        }
        methods(route, c);
        if (values.has("deadline") && values.whole("deadline") > c.deadline()) {
            report.error(at + ".deadline", "is later than that of class '" + c.name() + "'",
                    "at most " + Type.DURATION.format(c.deadline()), c.path() + ".deadline");
        }
        tenant(route);
    }

    private void methods(HttpPart.Route route, ServiceClass c) {
        String at = route.path() + ".methods";
        Set<String> seen = new HashSet<>();
        for (String method : route.methods()) {
            if (!seen.add(method)) {
                report.error(at, "names " + method + " twice", "each once");
            } else if (method.equals("CONNECT") || method.equals("TRACE")) {
                report.error(at, method + " is not served", "other methods");
            } else if (!method.equals(method.toUpperCase(java.util.Locale.ROOT))) {
                report.error(at, "is " + Type.shown(method) + ", and methods are told apart by case", "capital letters");
            } else if (!HttpPart.bears(c, method)) {
                report.error(at, method + " would be served under '" + c.name() + "', which is " + ResendRule.word(c.effect())
                        + " and for " + (c.operation() == Routes.Operation.READ ? "reads" : "writes"),
                        HttpPart.isRead(method) ? "a class for reads" : method.equals("PUT") || method.equals("DELETE")
                        ? "a keyed or unsafe class for writes" : "an unsafe class for writes", route.path() + ".class",
                        c.path() + ".effect", c.path() + ".operation");
            }
        }
        if (route.methods().stream().anyMatch(HttpPart::isRead)
                && !route.methods().stream().allMatch(HttpPart::isRead)) {
            report.error(at, "holds methods that read and methods that write", "two routes", route.path() + ".class");
        }
    }

    private void tenant(HttpPart.Route route) {
        Values values = route.values();
        List<Values> tenants = app.values().tables("tenants");
        List<String> names = tenants.stream().map(t -> t.text("name")).toList();
        if (values.has("tenant") && values.has("tenant-field")) {
            report.error(route.path() + ".tenant", "stands beside tenant-field", "one of them", route.path() + ".tenant-field");
        } else if (values.has("tenant") && !names.contains(values.text("tenant"))) {
            report.unknownName(route.path() + ".tenant", values.text("tenant"), names, "tenant");
        }
        boolean told = values.has("tenant") || values.has("tenant-field") || app.values().table("clients").has("tenant");
        if (!tenants.isEmpty() && !told) {
            report.error(route.path(), "tells nobody whom its requests are for", "tenant, tenant-field or clients.tenant",
                    "tenants");
        }
    }

    private void overlaps() {
        Set<String> seen = new HashSet<>();
        for (HttpPart.Route route : http.routes()) {
            for (String method : route.methods()) {
                if (!seen.add(method + " " + route.prefix())) {
                    report.error(route.path() + ".path", "another route has it for " + method, "paths of their own");
                    break;
                }
            }
        }
    }
}
