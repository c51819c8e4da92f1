package eiderscale.config;

import eiderscale.Api;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Picks the class of a request from its operation, its key and the class that its client names. Of the routes that
 * match, the one with the longest prefix counts. Holds no state: the same request always gets the same class.
 */
public final class Routes {
    /** What the class that a client names is worth. */
    public enum ClientClass {
        /** It must be that of the matching route; where none matches, it counts. */
        CHECKED,
        /** It counts only where no route matches. */
        FALLBACK,
        /** It goes before the routes. */
        FIRST
    }

    /** What requests may ask for: {@code mg} is a read, {@code ms} a write. */
    public enum Operation {
        READ, WRITE, ANY;

        /** Whether some request is both. */
        public boolean meets(Operation other) {
            return this == ANY || other == ANY || this == other;
        }

        boolean covers(boolean write) {
            return this == ANY || (this == WRITE) == write;
        }
    }

    /** Keys with a prefix, empty for all, and the number of their class. */
    public record Route(String prefix, Operation operation, int requestClass) {
        /** Whether some request is matched by both. */
        public boolean meets(Route other) {
            return operation.meets(other.operation)
                    && (prefix.startsWith(other.prefix) || other.prefix.startsWith(prefix));
        }
    }

    /** A class: the name that clients and hosts know it by, what it is for, and how often it may take effect. */
    public record Named(String name, Operation operation, Api.Effect effect) {
    }

    /** A request that no class is for. */
    public static final class Unroutable extends Exception {
        private static final long serialVersionUID = 1L;

        Unroutable(String why) {
            super(why, null, false, false);
        }
    }

    private final List<Named> classes;
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Map<String, Integer> reads = new HashMap<>();
    private final Map<String, Integer> writes = new HashMap<>();
    /** Lengths of prefixes, the longest first. */
    private final List<Integer> lengths;
    private final ClientClass clientClass;

    /** {@code classes} in the order of their numbers. */
    public Routes(List<Named> classes, List<Route> routes, ClientClass clientClass) {
        this.classes = List.copyOf(classes);
        this.clientClass = clientClass;
        for (int i = 0; i < classes.size(); i++) {
            numbers.put(classes.get(i).name(), i);
        }
        TreeSet<Integer> sizes = new TreeSet<>();
        for (Route route : routes) {
            sizes.add(route.prefix().length());
            if (route.operation() != Operation.WRITE) {
                reads.putIfAbsent(route.prefix(), route.requestClass());
            }
            if (route.operation() != Operation.READ) {
                writes.putIfAbsent(route.prefix(), route.requestClass());
            }
        }
        lengths = new ArrayList<>(sizes.descendingSet());
    }

    /** The number of the class of a request; {@code named}: the class that its client names, or null. */
    public int choose(boolean write, String key, String named) throws Unroutable {
        Integer hinted = numbers.get(named);
        if (named != null && hinted == null) {
            throw new Unroutable("unknown class");
        }
        Integer routed = routed(write, key);
        Integer chosen = routed == null || clientClass == ClientClass.FIRST && hinted != null ? hinted : routed;
        if (chosen == null) {
            throw new Unroutable("no class for this key");
        }
        if (clientClass == ClientClass.CHECKED && hinted != null && !hinted.equals(chosen)) {
            throw new Unroutable("class does not match the key's route");
        }
        if (hinted != null && classes.get(hinted).effect().compareTo(classes.get(chosen).effect()) > 0) {
            // The client knows its request for one that bears fewer repeats than the file does.
            throw new Unroutable("class is stricter than the key's route");
        }
        if (!classes.get(chosen).operation().covers(write)) {
            throw new Unroutable(write ? "class takes no writes" : "class takes no reads");
        }
        return chosen;
    }

    private Integer routed(boolean write, String key) {
        Map<String, Integer> table = write ? writes : reads;
        for (int length : lengths) {
            Integer found = length <= key.length() ? table.get(key.substring(0, length)) : null;
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    /** The name of a class. */
    public String name(int requestClass) {
        return classes.get(requestClass).name();
    }
}
