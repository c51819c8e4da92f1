package eiderscale.config;

import eiderscale.Api;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings of a site: those of the module, the names that stand on sockets for its numbers, and the
 * figures that only sockets need. Times in nanoseconds.
 */
public final class Site {
    /** What the cache hosts are, which decides how they are spoken to. */
    public enum HostKind {
        /** Hosts that read through, as the platform's do. */
        META,
        /** Real memcached: a read that misses is answered so. */
        MEMCACHED,
        /** Hosts that speak HTTP/1.1. */
        HTTP
    }

    /** Load report fields: their names on sockets and in the settings, where these differ. */
    private static final Map<String, String> FIELD_NAMES = Map.of("inflight", "rif", "queue", "q",
            "util", "busy", "latency_ms", "lat_ms", "qps", "rate", "eps", "fail_rate");
    private static final float[] NO_REPORT = {};
    /** Names of zones and kinds that are told apart; discovery may send new ones for ever. */
    private static final int MOST_NAMES = 4096;

    public final Api.Settings settings;
    public final long connectTimeout;
    public final long idleTime;
    /** Bytes that the system may hold of what a host has not taken, for each connection; 0 for its own choice. */
    public final int sendBuffer;
    public final int maxOpen;
    /** Which reads wait for one another. */
    public final JoinRules joining;
    /** How long a host may send nothing of an answer that has begun. */
    public final long stallTime;
    public final HostKind hostKind;
    /** Picks the class of a request; null where clients name it and nothing else counts. */
    public final Routes routes;
    /** Which classes are to be on record before anything of them goes out, by their numbers. */
    private final List<Boolean> durable;
    /** What is said of HTTP; null where nothing is. */
    public final HttpRules http;
    private final String defaultTenant;
    private final Map<String, Integer> classes;
    /** In the order of their numbers. */
    private final String[] classNames;
    private final Map<String, Integer> tenants;
    private final Map<String, Integer> zones;
    private final Map<String, Integer> kinds;
    private final Map<String, Integer> fields;

    /** What a site is made of; maps give each name its place in the settings' lists. */
    static final class Builder {
        final Api.Settings settings;
        long connectTimeout;
        long idleTime;
        int sendBuffer;
        int maxOpen;
        JoinRules joining = JoinRules.NONE;
        long stallTime = 10 * Units.SECOND;
        HostKind hostKind = HostKind.META;
        Routes routes;
        HttpRules http;
        List<Boolean> durable = List.of();
        /** The tenant of clients that name none; null if they must. */
        String defaultTenant;
        Map<String, Integer> classes = Map.of();
        Map<String, Integer> tenants = Map.of();
        Map<String, Integer> zones = Map.of();
        Map<String, Integer> kinds = Map.of();
        Map<String, Integer> fields = Map.of();

        Builder(Api.Settings settings) {
            this.settings = settings;
        }

        /** Numbers of zones and kinds that another site has given stay theirs. */
        Builder keepNames(Site other) {
            zones = other.zones;
            kinds = other.kinds;
            return this;
        }

        Site build() {
            return new Site(this);
        }
    }

    private Site(Builder from) {
        settings = from.settings;
        connectTimeout = from.connectTimeout;
        idleTime = from.idleTime;
        sendBuffer = from.sendBuffer;
        maxOpen = from.maxOpen;
        joining = from.joining;
        stallTime = from.stallTime;
        hostKind = from.hostKind;
        routes = from.routes;
        http = from.http;
        durable = List.copyOf(from.durable);
        defaultTenant = from.defaultTenant;
        classes = Map.copyOf(from.classes);
        classNames = new String[settings.classes().size()];
        Arrays.fill(classNames, "");
        classes.forEach((name, number) -> classNames[number] = name);
        tenants = Map.copyOf(from.tenants);
        zones = new HashMap<>(from.zones);
        kinds = new HashMap<>(from.kinds);
        fields = Map.copyOf(from.fields);
    }

    /** Whether classes, tenants and the fields of load reports are named alike, and the sockets' own figures are the same. */
    public boolean sameNames(Site other) {
        return classes.equals(other.classes) && tenants.equals(other.tenants) && fields.equals(other.fields)
                && connectTimeout == other.connectTimeout && idleTime == other.idleTime && maxOpen == other.maxOpen;
    }

    /** Whether requests of a class are to be on record before anything of them goes out. */
    public boolean isDurable(int requestClass) {
        return requestClass < durable.size() && durable.get(requestClass);
    }

    /** The name of a request class. */
    public String className(int requestClass) {
        return classNames[requestClass];
    }

    /** The number of a request class, or null for a name that the settings do not hold. */
    public Integer requestClass(String name) {
        return name == null ? null : classes.get(name);
    }

    /** The number of a tenant; where the site has none, every name is tenant 0. */
    public Integer tenant(String name) {
        String meant = name == null ? defaultTenant : name;
        return tenants.isEmpty() ? Integer.valueOf(0) : meant == null ? null : tenants.get(meant);
    }

    /** A zone that the settings do not name gets a number of its own: it is nobody's own zone. */
    int zone(String name) {
        return number(zones, name);
    }

    int kind(String name) {
        return number(kinds, name);
    }

    /** The name that a number stands for; empty for that of all beyond what is told apart. */
    String zoneName(int number) {
        return name(zones, number);
    }

    String kindName(int number) {
        return name(kinds, number);
    }

    private static String name(Map<String, Integer> numbers, int number) {
        for (Map.Entry<String, Integer> entry : numbers.entrySet()) {
            if (entry.getValue() == number) {
                return entry.getKey();
            }
        }
        return "";
    }

    private static int number(Map<String, Integer> numbers, String name) {
        Integer known = numbers.get(name);
        if (known == null && numbers.size() >= MOST_NAMES) {
            return MOST_NAMES;
        }
        return known != null ? known : numbers.computeIfAbsent(name, n -> numbers.size());
    }

    /** The values of a load report, as the settings order them; empty unless it holds all of them. */
    public float[] report(String text) {
        if (text == null || fields.isEmpty()) {
            return NO_REPORT;
        }
        float[] report = new float[fields.size()];
        int found = 0;
        for (String part : text.split(",")) {
            int equals = part.indexOf('=');
            String name = part.substring(0, Math.max(0, equals));
            Integer at = fields.get(FIELD_NAMES.getOrDefault(name, name));
            try {
                if (at != null) {
                    report[at] = Float.parseFloat(part.substring(equals + 1));
                    if (!Float.isFinite(report[at])) {
                        return NO_REPORT;
                    }
                    found++;
                }
            } catch (NumberFormatException e) {
                return NO_REPORT;
            }
        }
        return found == report.length ? report : NO_REPORT;
    }
}
