package eiderscale.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether a platform's configuration may take the place of the one in service. A file that is empty, cut off or
 * damaged must change nothing, and what it lacks must not be made up by defaults: everything that the one in service
 * holds has to be there, of the same type. Of the elements of a list of objects each must have what every one in
 * service has; what only some have may be left out.
 */
public final class Renewal {
    /** Of these only the bare form counts, as they are no settings. */
    private static final Set<String> NOT_COMPARED = Set.of("known", "peers", "seed");
    /** Said of classes whose repeats hosts drop, and of no meaning for others. */
    private static final Set<String> OF_DEDUP = Set.of("group", "window-ns");
    /** What cannot change while a balancer serves. */
    private static final List<String> FIXED = List.of("zones", "kinds");

    private Renewal() {
    }

    /**
     * Throws {@link ConfigException}, which names the key, if {@code fresh} may not follow {@code present}; both as
     * {@link Json#parse} gives them.
     */
    public static void check(Map<?, ?> present, Map<?, ?> fresh) {
        object("", present, fresh);
        Map<?, ?> before = Json.get(present, "settings", Map.class);
        Map<?, ?> after = Json.get(fresh, "settings", Map.class);
        for (String name : FIXED) {
            if (!Json.list(before, name).equals(Json.list(after, name))) {
                throw new ConfigException("'settings." + name + "' cannot change without a restart");
            }
        }
    }

    private static void object(String path, Map<?, ?> present, Map<?, ?> fresh) {
        present.forEach((name, value) -> {
            String at = path.isEmpty() ? String.valueOf(name) : path + "." + name;
            Object other = fresh.get(name);
            if (value != null && other == null) {
                throw new ConfigException("'" + at + "' is missing");
            }
            if (value != null && !NOT_COMPARED.contains(at)) {
                value(at, value, other);
            }
        });
    }

    private static void value(String at, Object present, Object fresh) {
        if (!type(present).equals(type(fresh))) {
            throw new ConfigException("'" + at + "' is no " + type(present));
        }
        if (present instanceof Map<?, ?> map) {
            object(at, map, (Map<?, ?>) fresh);
        } else if (present instanceof List<?> list) {
            elements(at, list, (List<?>) fresh);
        }
    }

    private static void elements(String at, List<?> present, List<?> fresh) {
        if (present.isEmpty()) {
            return;
        }
        if (fresh.isEmpty()) {
            throw new ConfigException("'" + at + "' is empty");
        }
        Map<Object, Object> common = new HashMap<>();
        for (int i = 0; i < present.size(); i++) {
            if (!(present.get(i) instanceof Map<?, ?> map)) {
                return;
            }
            if (i == 0) {
                common.putAll(map);
            } else {
                common.keySet().retainAll(new HashSet<>(map.keySet()));
            }
        }
        for (int i = 0; i < fresh.size(); i++) {
            if (!(fresh.get(i) instanceof Map<?, ?> map)) {
                throw new ConfigException("'" + at + "." + i + "' is no object");
            }
            Map<Object, Object> wanted = new HashMap<>(common);
            if (at.equals("settings.categories") && !"dedup".equals(map.get("effect"))) {
                wanted.keySet().removeAll(OF_DEDUP);
            }
            object(at + "." + i, wanted, map);
        }
    }

    private static String type(Object value) {
        return value instanceof Number ? "number" : value instanceof Boolean ? "boolean"
                : value instanceof Map ? "object" : value instanceof List ? "list" : "text";
    }
}
