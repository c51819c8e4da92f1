package eiderscale.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a table of a file holds, read and with defaults filled in; a key that is left out and has no default, or that
 * cannot be read and is needed, holds nothing. {@code path}: where the table stands, empty for the root.
 */
final class Values {
    final Section section;
    final String path;
    /** A key's value; of lists, a list of them, of which those of hosts are {@code Values}. */
    private final Map<String, Object> own = new LinkedHashMap<>();
    private final Map<String, Boolean> stated = new LinkedHashMap<>();
    private final Map<String, List<Values>> tables = new LinkedHashMap<>();

    Values(Section section, String path) {
        this.section = section;
        this.path = path;
    }

    String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    void put(String key, Object value, boolean isStated) {
        own.put(key, value);
        stated.put(key, isStated);
    }

    void add(Values table) {
        tables.computeIfAbsent(table.section.name(), name -> new ArrayList<>()).add(table);
    }

    boolean has(String key) {
        return own.get(key) != null;
    }

    /** Whether the file itself says it. */
    boolean states(String key) {
        return stated.getOrDefault(key, false);
    }

    Object get(String key) {
        return own.get(key);
    }

    String text(String key) {
        return (String) own.get(key);
    }

    long whole(String key) {
        return own.get(key) instanceof Long value ? value : 0;
    }

    double real(String key) {
        return own.get(key) instanceof Double value ? value : 0;
    }

    boolean flag(String key) {
        return Boolean.TRUE.equals(own.get(key));
    }

    List<?> list(String key) {
        return own.get(key) instanceof List<?> list ? list : List.of();
    }

    /** A table that is not repeated. */
    Values table(String name) {
        return tables.get(name).get(0);
    }

    /** The items of a repeated table. */
    List<Values> tables(String name) {
        return tables.getOrDefault(name, List.of());
    }
}
