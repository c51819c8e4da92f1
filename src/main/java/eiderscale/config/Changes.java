package eiderscale.config;

import java.util.List;

/** Single keys of a file that was read, changed by texts such as {@code hedge.enabled = false}. */
final class Changes {
    private Changes() {
    }

    /** What cannot be applied is reported under its key, at the beginning of the text. */
    static void apply(Values root, List<String> changes, Report report) {
        for (String change : changes) {
            int equals = change.indexOf('=');
            String path = equals < 0 ? change.trim() : change.substring(0, equals).trim();
            Object raw = equals < 0 ? null : Reader.literal(change.substring(equals + 1));
            if (raw == null) {
                report.unreadable(Position.START, path, "cannot be changed by '" + change + "'", "key = value", null);
                continue;
            }
            one(root, path, raw, report);
        }
    }

    private static void one(Values root, String path, Object raw, Report report) {
        Values table = root;
        String[] parts = path.split("\\.");
        for (int i = 0; i + 1 < parts.length; i++) {
            table = inner(table, parts[i]);
            if (table == null) {
                report.unreadable(Position.START, path, "there is no table '" + parts[i] + "' to change", null, null);
                return;
            }
        }
        String name = parts[parts.length - 1];
        Key key = table.section.key(name);
        if (key == null) {
            report.unreadable(Position.START, path, "unknown key", null, Nearest.to(name, table.section.names()));
            return;
        }
        try {
            table.put(name, key.type().read(raw, key), true);
        } catch (Type.Unfit e) {
            report.unreadable(Position.START, path, e.getMessage(), key.allowed(), null);
        }
    }

    private static Values inner(Values table, String part) {
        int bracket = part.indexOf('[');
        String name = bracket < 0 ? part : part.substring(0, bracket);
        if (table.section.section(name) == null) {
            return null;
        }
        List<Values> all = table.tables(name);
        try {
            int at = bracket < 0 ? 0 : Integer.parseInt(part.substring(bracket + 1, part.length() - 1));
            return at >= 0 && at < all.size() ? all.get(at) : null;
        } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
            return null;
        }
    }
}
