package eiderscale.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a file says of HTTP: which requests are of which class, and what the cache and its clients may take. Of the routes
 * whose method and path match, the one with the longest path counts. Holds no state.
 */
public final class HttpRules {
    /** What of a request decides which hosts are first for it. */
    public enum KeyOf {
        /** Its path and its query. */
        TARGET,
        /** Its path alone. */
        PATH
    }

    /**
     * Requests with one of these methods under a path. {@code tenant}: null where {@code tenantField} names it, or the
     * default counts. {@code waitMs}: how long their clients wait, in milliseconds.
     */
    public record Route(Set<String> methods, String path, int requestClass, boolean write, boolean keyed, String tenant,
                        String tenantField, KeyOf key, long waitMs, int pool) {
        boolean covers(String asked) {
            return asked.startsWith(path);
        }
    }

    /**
     * Sizes and times.
     *
     * @param name what this balancer is called in {@code Via} and {@code Cache-Status}
     * @param cache bytes that stored responses may take, 0 for no cache
     * @param largestObject bytes of one that is stored
     * @param hold bytes of a request's body that are held, so that it may be sent again; longer ones stream
     * @param largestBody bytes of a request's body, any more are refused
     * @param stall nanoseconds in which something of a body must come or be taken
     * @param collapse whether one fetch goes out for several that want the same
     * @param purge whether clients on loopback may have stored responses taken out
     * @param turnedAway statuses by which hosts say that a request never ran
     */
    public record Limits(String name, long cache, long largestObject, int hold, long largestBody, long stall,
                         boolean collapse, boolean purge, Set<Integer> turnedAway) {
    }

    private final Limits limits;
    private final List<Route> routes;

    /** Routes in any order. Throws {@link IllegalArgumentException} if one is empty. */
    public HttpRules(Limits limits, List<Route> routes) {
        this.limits = limits;
        List<Route> sorted = new ArrayList<>(routes);
        sorted.sort(Comparator.comparingInt((Route route) -> route.path().length()).reversed());
        for (Route route : sorted) {
            if (route.methods().isEmpty()) {
                throw new IllegalArgumentException("a route without methods: " + route.path());
            }
        }
        this.routes = List.copyOf(sorted);
    }

    /** Sizes and times. */
    public Limits limits() {
        return limits;
    }

    /** The route of a request, or null if none matches. */
    public Route choose(String method, String path) {
        for (Route route : routes) {
            if (route.covers(path) && route.methods().contains(method)) {
                return route;
            }
        }
        return null;
    }

    /** The methods that some route has for a path, in order; none if no route has it. */
    public Set<String> methods(String path) {
        Set<String> all = new TreeSet<>();
        for (Route route : routes) {
            if (route.covers(path)) {
                all.addAll(route.methods());
            }
        }
        return all;
    }
}
