package eiderscale.net;

import eiderscale.Api;
import eiderscale.sim.SettingsParser;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The settings of a site: those of the module, the names that stand on sockets for its numbers, and the
 * figures that only sockets need.
 */
final class Site {
    /** Load report fields: their names on sockets and in the settings, where these differ. */
    private static final Map<String, String> FIELD_NAMES = Map.of("inflight", "rif", "queue", "q",
            "util", "busy", "latency_ms", "lat_ms", "qps", "rate", "eps", "fail_rate");
    private static final float[] NO_REPORT = {};

    final Api.Settings settings;
    final long connectTimeout;
    final long idleTime;
    final int maxOpen;
    private final Map<String, Integer> classes;
    private final Map<String, Integer> tenants;
    private final Map<String, Integer> zones;
    private final Map<String, Integer> kinds;
    private final Map<String, Integer> fields;

    Site(Map<?, ?> json) {
        Map<String, String> lines = new TreeMap<>();
        flatten("", json, lines);
        StringBuilder text = new StringBuilder();
        lines.forEach((path, value) -> text.append(path).append('=').append(value).append('\n'));
        try {
            settings = SettingsParser.parse(text.toString());
        } catch (RuntimeException e) {
            throw new ConfigException(e.getMessage());
        }
        if (settings.classes().isEmpty()) {
            throw new ConfigException("the settings name no request class");
        }
        connectTimeout = whole(lines, "ceilings.connect-timeout-ns", 250 * Clock.MILLISECOND);
        idleTime = whole(lines, "ceilings.conn-idle-ns", 10 * Clock.SECOND);
        maxOpen = (int) whole(lines, "ceilings.max-open", 20_000);
        if (whole(lines, "ceilings.multiplex", 1) < 1) {
            throw new ConfigException("'ceilings.multiplex' allows no request on a connection");
        }
        classes = numbers(Json.list(json, "categories"), true);
        tenants = numbers(Json.list(json, "tenants"), true);
        zones = numbers(Json.list(json, "zones"), false);
        kinds = numbers(Json.list(json, "kinds"), false);
        fields = numbers(Json.list(Json.get(json, "load-report", Map.class, Map.of()), "fields"), false);
    }

    /** Writes an object in the form of the simulator's settings lines, so that both sides parse alike. */
    private static void flatten(String path, Object value, Map<String, String> lines) {
        if (value instanceof Map<?, ?> map) {
            String prefix = path.isEmpty() ? "" : path + ".";
            map.forEach((name, inner) -> flatten(prefix + name, inner, lines));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            lines.put(path + ".count", Integer.toString(list.size()));
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), lines);
            }
        } else if (value instanceof List<?> list) {
            lines.put(path, String.join(",", list.stream().map(Site::scalar).toList()));
        } else if (value != null) {
            lines.put(path, scalar(value));
        }
    }

    private static String scalar(Object value) {
        return String.valueOf(value).replaceAll("[\\s,]", "_");
    }

    private static long whole(Map<String, String> lines, String path, long otherwise) {
        try {
            String value = lines.get(path);
            return value == null ? otherwise : (long) Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new ConfigException("setting " + path + " is no number");
        }
    }

    private static Map<String, Integer> numbers(List<?> list, boolean objects) {
        List<String> names = new ArrayList<>();
        for (Object item : list) {
            names.add(objects ? Json.get(Json.object(item), "name", String.class) : String.valueOf(item));
        }
        Map<String, Integer> numbers = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            numbers.put(names.get(i), i);
        }
        return numbers;
    }

    /** The number of a request class, or null for a name that the settings do not hold. */
    Integer requestClass(String name) {
        return classes.get(name);
    }

    /** The number of a tenant; where the site has none, every name is tenant 0. */
    Integer tenant(String name) {
        return tenants.isEmpty() ? Integer.valueOf(0) : tenants.get(name);
    }

    /** A zone that the settings do not name gets a number of its own: it is nobody's own zone. */
    int zone(String name) {
        return zones.computeIfAbsent(name, n -> zones.size());
    }

    int kind(String name) {
        return kinds.computeIfAbsent(name, n -> kinds.size());
    }

    /** The values of a load report, as the settings order them; empty unless it holds all of them. */
    float[] report(String text) {
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
