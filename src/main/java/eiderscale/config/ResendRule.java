package eiderscale.config;

import eiderscale.Api.Effect;
import eiderscale.config.Application.Route;
import eiderscale.config.Application.ServiceClass;
import eiderscale.config.Routes.ClientClass;
import eiderscale.config.Routes.Operation;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The rule that no file may break: <em>whatever a request is, if anything in the file or its client's own word says
 * that it must not run twice, the class under which it is served is one that is never sent again after an attempt
 * that may have run; and if anything says that its repeats are dropped by key and for a while only, that class is
 * sent again only by that key and within that while.</em>
 *
 * <p>A request is, for this, an operation, a key and the class that its client names. What says something of it: the
 * class it is served under, each route that its key matches (also one that a longer prefix overrides), and the class
 * that its client names. All requests fall into finitely many shapes: only the prefixes that a key has count.
 */
final class ResendRule {
    /** Part of the window in which hosts drop repeats that the decision module uses. */
    private static final double WINDOW_SAFETY = 0.9;

    /** One way to break it, and the key to blame; {@code others}: further keys that it comes from. */
    record Violation(String key, String why, String allowed, List<String> others) {
    }

    private final Application app;
    private final Set<Violation> found = new LinkedHashSet<>();

    private ResendRule(Application app) {
        this.app = app;
    }

    /** All ways in which the model breaks the rule; none if it keeps it. */
    static List<Violation> violations(Application app) {
        ResendRule rule = new ResendRule(app);
        app.classes().forEach(rule::checkClass);
        rule.checkShapes();
        return List.copyOf(rule.found);
    }

    /** What a class says of itself. */
    private void checkClass(ServiceClass c) {
        List<String> own = List.of(c.path() + ".effect", c.path() + ".operation");
        if (c.effect() == Effect.FRAGILE && c.retry()) {
            found.add(new Violation(c.path() + ".retry", "an unsafe class may never be sent again",
                    "false for unsafe classes", own));
        }
        if (c.hedge() && (c.effect() != Effect.RETRYABLE || c.operation() != Operation.READ)) {
            found.add(new Violation(c.path() + ".hedge", "a copy may run beside the first attempt, and "
                    + (c.effect() != Effect.RETRYABLE ? "only safe classes bear that" : "only reads are copied"),
                    "false but for safe reads", own));
        }
        if (c.effect() != Effect.DEDUP || !c.retry()) {
            return;
        }
        if (app.hostKind() == Site.HostKind.MEMCACHED) {
            found.add(new Violation(c.path() + ".effect", "memcached drops no repeats, so that a keyed class which "
                    + "is sent again may take effect twice", "unsafe, or retry = false",
                    List.of("pool.kind", c.path() + ".retry")));
        } else if (c.window() * WINDOW_SAFETY < c.deadline()) {
            found.add(new Violation(c.path() + ".window", "attempts may follow until the deadline, and hosts forget "
                    + "sooner", "at least " + Type.DURATION.format((long) Math.ceil(c.deadline() / WINDOW_SAFETY
                    / Units.MILLISECOND) * Units.MILLISECOND), List.of(c.path() + ".deadline")));
        }
    }

    private void checkShapes() {
        Routes table = app.routeTable();
        Set<String> keys = new LinkedHashSet<>();
        keys.add("");
        app.routes().forEach(route -> keys.add(route.prefix()));
        for (String key : keys) {
            for (Operation operation : List.of(Operation.READ, Operation.WRITE)) {
                List<Route> matching = app.routes().stream().filter(route -> route.requestClass() != null
                        && key.startsWith(route.prefix()) && route.matching(0).operation().meets(operation)).toList();
                checkShape(table, key, operation, matching, null);
                // Where routes go first, a client's word is taken only where it says the same or nothing else does.
                if (matching.isEmpty() || app.clientClass() != ClientClass.CHECKED) {
                    for (ServiceClass hint : app.classes()) {
                        checkShape(table, key, operation, matching, hint);
                    }
                }
            }
        }
    }

    private void checkShape(Routes table, String key, Operation operation, List<Route> matching,
                            ServiceClass hint) {
        ServiceClass served;
        try {
            served = app.classes().get(table.choose(operation == Operation.WRITE, key,
                    hint == null ? null : hint.name()));
        } catch (Routes.Unroutable e) {
            return;
        }
        if (!served.resends()) {
            return;
        }
        List<String> prefixes = matching.stream().map(route -> route.path() + ".prefix").toList();
        for (Route route : matching) {
            checkClaim(route.requestClass(), served, route.path() + ".class", hint, prefixes);
            if (route.effect() != null && route.effect().compareTo(served.effect()) > 0) {
                found.add(new Violation(route.path() + ".effect", "requests that the route says are "
                        + word(route.effect()) + " are served under '" + served.name() + "', which is sent again",
                        null, with(prefixes, route.path() + ".class", served.path() + ".effect")));
            }
        }
        if (hint != null) {
            checkClaim(hint, served, "clients.class", hint, List.of());
        }
    }

    /** {@code claimed}: a class that something says the request is of. */
    private void checkClaim(ServiceClass claimed, ServiceClass served, String key, ServiceClass hint,
                            List<String> prefixes) {
        boolean stricter = claimed.effect().compareTo(served.effect()) > 0
                || claimed.effect() == Effect.DEDUP && served.effect() == Effect.DEDUP
                && (claimed.window() < served.deadline() || claimed.group() != served.group());
        if (!stricter) {
            return;
        }
        boolean byClient = hint != null && !prefixes.isEmpty();
        found.add(new Violation(byClient ? "clients.class" : key, "requests of the " + word(claimed.effect())
                + " class '" + claimed.name() + "' " + (byClient ? "can be marked as '" : "are served under '")
                + served.name() + "'" + (byClient ? " by a client's word" : "") + ", which is sent again",
                byClient ? "checked or fallback" : null, with(prefixes, claimed.path() + ".effect",
                served.path() + ".effect", served.path() + ".retry", served.path() + ".hedge", key)));
    }

    private static List<String> with(List<String> keys, String... more) {
        List<String> all = new ArrayList<>(keys);
        all.addAll(List.of(more));
        return all;
    }

    static String word(Effect effect) {
        return switch (effect) {
            case RETRYABLE -> "safe";
            case DEDUP -> "keyed";
            case FRAGILE -> "unsafe";
        };
    }
}
