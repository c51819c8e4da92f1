package eiderscale.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The files that tests share: one good one, and changes of it. */
public final class Cases {
    /** A changed file; {@code at}: what § marked, null without one. {@code errors}: -1 where the number is open. */
    public record Case(String name, String key, String text, Position at, int errors) {
        @Override
        public String toString() {
            return name;
        }
    }

    private Cases() {
    }

    public static String resource(String name) {
        try (InputStream in = Cases.class.getResourceAsStream("/config/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The good file, with hosts at these two addresses. */
    public static String base(String first, String second) {
        return resource("base.toml").replace("@H0@", first).replace("@H1@", second);
    }

    public static List<Case> read(String name, String first, String second) {
        List<Case> cases = new ArrayList<>();
        String[] parts = resource(name).split("(?m)^=== ");
        for (int i = 1; i < parts.length; i++) {
            cases.add(one(parts[i], first, second));
        }
        return cases;
    }

    private static Case one(String part, String first, String second) {
        String name = part.lines().findFirst().orElseThrow();
        String from = field(part, "from");
        String to = field(part, "to");
        String base = resource("base.toml");
        if (from.isEmpty()) {
            from = "# end";
            to = to + "\n# end";
        }
        int at = base.indexOf(from);
        if (at < 0) {
            throw new IllegalArgumentException(name + ": not in base.toml: " + from);
        }
        String text = base.substring(0, at) + to + base.substring(at + from.length());
        text = text.replace("@H0@", first).replace("@H1@", second);
        int mark = text.indexOf('§');
        Position place = null;
        if (mark >= 0) {
            String before = text.substring(0, mark);
            place = new Position((int) before.chars().filter(c -> c == '\n').count() + 1,
                    mark - before.lastIndexOf('\n'));
        }
        String errors = field(part, "errors");
        return new Case(name, field(part, "key"), text.replace("§", ""), place,
                errors.isEmpty() ? 1 : errors.equals("*") ? -1 : Integer.parseInt(errors));
    }

    private static String field(String part, String name) {
        for (String line : part.lines().toList()) {
            if (line.startsWith(name + ":")) {
                return line.substring(name.length() + 1).stripLeading().replace("\\n", "\n");
            }
        }
        return "";
    }

    public static AppFile file(String text) {
        return AppFile.read(text.getBytes(StandardCharsets.UTF_8), name -> false);
    }
}
