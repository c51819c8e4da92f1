package eiderscale.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reads the JSON that a platform hands its balancers. */
public final class PlatformReader {
    private static final int DEFAULT_SOCKETS = 1024;
    /** A connection on which nothing has been asked for so long is closed; good clients ask far more often. */
    private static final long CLIENT_IDLE = 20 * Units.SECOND;
    /** Bytes of values that may be held together; the platform's heap has room for a few times that. */
    private static final long HELD_BYTES = 8L * 1024 * 1024;
    private static final Set<String> EFFECTS = Set.of("retryable", "dedup", "fragile");

    private PlatformReader() {
    }

    /** Throws {@link ConfigException} if the text is no configuration. */
    public static Config config(byte[] text) {
        return config(Json.parse(text), null);
    }

    /** The same of parsed text. {@code previous}: the site in service, whose zones and kinds keep their numbers; or null. */
    public static Config config(Map<?, ?> json, Site previous) {
        Site site = site(Json.get(json, "settings", Map.class), previous);
        Map<?, ?> limits = Json.get(json, "limits", Map.class, Map.of());
        Map<?, ?> known = Json.get(json, "known", Map.class, Map.of("rev", 0, "all", true));
        String control = Json.get(json, "control", String.class, null);
        try {
            return new Config(Json.get(json, "name", String.class, "balancer"),
                    List.of(Catalog.address(Json.get(json, "listen", String.class))),
                    Catalog.address(Json.get(json, "discovery", String.class)),
                    Long.parseUnsignedLong(Json.get(json, "seed", String.class, "0"), 16),
                    DescriptorPlan.of(Json.get(limits, "sockets", Number.class, DEFAULT_SOCKETS).intValue()),
                    ClientLimits.of(CLIENT_IDLE), HELD_BYTES, site,
                    Catalog.parse(known, site), control == null ? null : Catalog.address(control));
        } catch (NumberFormatException e) {
            throw new ConfigException("'seed' is no hexadecimal number");
        }
    }

    /** Reads the settings object alone. */
    public static Site site(Map<?, ?> json) {
        return site(json, null);
    }

    private static Site site(Map<?, ?> json, Site previous) {
        checkClasses(json);
        Map<String, String> lines = new TreeMap<>();
        flatten("", json, lines);
        StringBuilder text = new StringBuilder();
        lines.forEach((path, value) -> text.append(path).append('=').append(value).append('\n'));
        Site.Builder site = new Site.Builder(SettingsParser.parse(text.toString()));
        if (site.settings.classes().isEmpty()) {
            throw new ConfigException("the settings name no request class");
        }
        site.connectTimeout = whole(lines, "ceilings.connect-timeout-ns", 250 * Units.MILLISECOND);
        site.idleTime = whole(lines, "ceilings.conn-idle-ns", 10 * Units.SECOND);
        site.maxOpen = (int) whole(lines, "ceilings.max-open", 20_000);
        if (whole(lines, "ceilings.multiplex", 1) < 1) {
            throw new ConfigException("'ceilings.multiplex' allows no request on a connection");
        }
        site.classes = numbers(Json.list(json, "categories"), true);
        site.tenants = numbers(Json.list(json, "tenants"), true);
        site.zones = numbers(Json.list(json, "zones"), false);
        site.kinds = numbers(Json.list(json, "kinds"), false);
        site.fields = numbers(Json.list(Json.get(json, "load-report", Map.class, Map.of()), "fields"), false);
        return (previous == null ? site : site.keepNames(previous)).build();
    }

    /** What defaults would hide: a class whose deadline is no time or whose effect is no word is a mistake, never meant. */
    private static void checkClasses(Map<?, ?> json) {
        List<?> classes = Json.list(json, "categories");
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classes.size(); i++) {
            Map<?, ?> one = Json.object(classes.get(i));
            String at = "settings.categories." + i + ".";
            String name = Json.get(one, "name", String.class);
            if (name.isEmpty() || !names.add(name)) {
                throw new ConfigException("'" + at + "name' is empty or there twice");
            }
            positive(one, "deadline-ns", at);
            positive(one, "goal-time-ns", at);
            if (!EFFECTS.contains(Json.get(one, "effect", String.class, "fragile"))) {
                throw new ConfigException("'" + at + "effect' is none of retryable, dedup, fragile");
            }
        }
        Map<?, ?> ceilings = Json.get(json, "ceilings", Map.class, Map.of());
        positive(ceilings, "max-attempts", "settings.ceilings.");
        if (ceilings.get("max-attempts") instanceof Number most && most.doubleValue() != Math.rint(most.doubleValue())) {
            throw new ConfigException("'settings.ceilings.max-attempts' is not a whole number: " + most);
        }
    }

    private static void positive(Map<?, ?> object, String name, String at) {
        Object value = object.get(name);
        if (value != null && !(value instanceof Number number && number.doubleValue() >= 1
                && Double.isFinite(number.doubleValue()))) {
            throw new ConfigException("'" + at + name + "' is not a positive number: " + value);
        }
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
            lines.put(path, String.join(",", list.stream().map(PlatformReader::scalar).toList()));
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
}
