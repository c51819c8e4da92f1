package eiderscale.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What two files mean differently; how they are written does not count. */
final class Diff {
    private Diff() {
    }

    /** Every key in effect, with its value; also such as depend on the order of tables and are left out. */
    static Map<String, String> flatten(Values root) {
        Map<String, String> flat = new LinkedHashMap<>();
        flatten("", root, flat);
        List<Values> pools = root.tables("http-pools");
        if (pools.size() > 1 && pools.get(0).has("name")) {
            Key key = pools.get(0).section.key("name");
            String first = Writer.value(key, pools.get(0).get("name"));
            root.tables("http-routes").forEach(route -> flat.putIfAbsent("http-routes." + name(route) + ".pool", first));
        }
        return flat;
    }

    private static void flatten(String prefix, Values values, Map<String, String> flat) {
        for (Key key : values.section.keys()) {
            if (key.type() == Type.HOSTS) {
                for (Object host : values.list(key.name())) {
                    Values one = (Values) host;
                    String id = one.has("id") ? one.text("id") : String.valueOf(Type.ADDRESS.format(one.get("address")));
                    flatten(prefix + key.name() + "." + id.replace("\"", "") + ".", one, flat);
                }
            } else if (values.has(key.name())) {
                flat.put(prefix + key.name(), Writer.value(key, values.get(key.name())));
            }
        }
        for (Section section : values.section.sections()) {
            for (Values table : values.tables(section.name())) {
                flatten(prefix + section.name() + "." + (section.repeated() ? name(table) + "." : ""), table, flat);
            }
        }
    }

    /** What tells an item from its neighbours: its name, or of a route what it matches. */
    private static String name(Values table) {
        if (table.section.key("path") != null) {
            return Type.quoted(table.text("path")) + "/" + table.list("methods");
        }
        return table.section.key("name") != null ? table.text("name")
                : Type.quoted(table.text("prefix")) + "/" + table.text("operation");
    }

    static List<Change> between(Map<String, String> before, Map<String, String> after) {
        List<Change> changes = new ArrayList<>();
        Set<String> keys = new LinkedHashSet<>(before.keySet());
        keys.addAll(after.keySet());
        Set<String> oldItems = items(before.keySet());
        Set<String> freshItems = items(after.keySet());
        Set<String> told = new LinkedHashSet<>();
        for (String key : keys) {
            String old = before.get(key);
            String fresh = after.get(key);
            String item = item(key);
            boolean whole = item != null && (!oldItems.contains(item) || !freshItems.contains(item));
            if (whole && told.add(item)) {
                changes.add(new Change(item, old == null ? null : summary(item, before),
                        old == null ? summary(item, after) : null, isPool(item)));
            } else if (!whole && (old == null || !old.equals(fresh))) {
                changes.add(new Change(key, old, fresh, needsRestart(key)));
            }
        }
        return changes;
    }

    /** The item of a list that a key is of, null for keys of single tables. */
    private static String item(String key) {
        boolean listed = key.startsWith("pool.hosts.") || Spec.ROOT.sections().stream()
                .anyMatch(section -> section.repeated() && key.startsWith(section.name() + "."));
        return listed ? key.substring(0, key.lastIndexOf('.')) : null;
    }

    /** Each pool is served by a part of its own, which is there from the start. */
    private static boolean isPool(String item) {
        return item.startsWith("http-pools.") && !item.contains(".hosts.");
    }

    private static Set<String> items(Set<String> keys) {
        Set<String> items = new LinkedHashSet<>();
        keys.forEach(key -> items.add(item(key)));
        return items;
    }

    private static String summary(String item, Map<String, String> values) {
        List<String> parts = new ArrayList<>();
        values.forEach((key, value) -> {
            if (item.equals(item(key))) {
                parts.add(key.substring(item.length() + 1) + " = " + value);
            }
        });
        return "{ " + String.join(", ", parts) + " }";
    }

    private static boolean needsRestart(String path) {
        int dot = path.indexOf('.');
        Section section = dot < 0 ? Spec.ROOT : Spec.ROOT.section(path.substring(0, dot));
        Key key = section == null || section.repeated() ? null : section.key(path.substring(dot + 1));
        return key != null && key.restart();
    }
}
