package eiderscale.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Writes files: one that means what another means, and new ones from a few answers, each key with its comment. */
public final class Writer {
    private static final int COLUMNS = 100;

    /** A class for a new file. {@code effect}: safe, keyed or unsafe; {@code operation}: read or write. */
    public record NewClass(String name, String operation, String effect, String deadline) {
    }

    private Writer() {
    }

    /** A file that states every value in effect. */
    static String effective(Values root) {
        StringBuilder text = new StringBuilder();
        table(root, text);
        return text.append('\n').append(Spec.END).append('\n').toString();
    }

    private static void table(Values values, StringBuilder text) {
        for (Key key : values.section.keys()) {
            if (values.has(key.name())) {
                text.append(key.name()).append(" = ").append(value(key, values.get(key.name()))).append('\n');
            }
        }
        for (Section section : values.section.sections()) {
            for (Values table : values.tables(section.name())) {
                text.append('\n').append(section.repeated() ? "[[" : "[").append(section.name())
                        .append(section.repeated() ? "]]" : "]").append('\n');
                table(table, text);
            }
        }
    }

    /** A value as a file states it. */
    static String value(Key key, Object value) {
        if (!(value instanceof List<?> list)) {
            return key.type().format(value);
        }
        List<String> items = new ArrayList<>();
        for (Object item : list) {
            items.add(item instanceof Values host ? inline(host) : key.type().element().format(item));
        }
        return key.type() == Type.HOSTS && items.size() > 1 ? "[\n    " + String.join(",\n    ", items) + ",\n]"
                : "[" + String.join(", ", items) + "]";
    }

    private static String inline(Values host) {
        List<String> parts = new ArrayList<>();
        for (Key key : host.section.keys()) {
            if (host.states(key.name()) && host.has(key.name())) {
                parts.add(key.name() + " = " + key.type().format(host.get(key.name())));
            }
        }
        return parts.size() == 1 ? Type.ADDRESS.format(host.get("address")) : "{ " + String.join(", ", parts) + " }";
    }

    /**
     * A new file. {@code answers}: values for single keys by their paths, as a file would state them; the rest is
     * written with its default, or behind a comment sign where there is none.
     */
    public static String fresh(Map<String, String> answers, List<NewClass> classes) {
        StringBuilder text = new StringBuilder();
        comment(text, "Configuration of an application's balancer. Check it with: stairshelf config check FILE");
        text.append('\n');
        keys(Spec.ROOT, "", answers, text);
        for (Section section : Spec.ROOT.sections()) {
            text.append('\n');
            comment(text, section.doc());
            switch (section.name()) {
                case "classes" -> classes.forEach(c -> requestClass(section, c, text));
                case "routes" -> {
                    example(section, text);
                    routes(classes, text);
                }
                case "tenants", "http-pools", "http-routes" -> example(section, text);
                default -> {
                    text.append('[').append(section.name()).append("]\n");
                    keys(section, section.name() + ".", answers, text);
                }
            }
        }
        while (text.charAt(text.length() - 2) == '\n') {
            text.setLength(text.length() - 1);
        }
        return text.append('\n').append(Spec.END).append('\n').toString();
    }

    private static void keys(Section section, String prefix, Map<String, String> answers, StringBuilder text) {
        for (Key key : section.keys()) {
            comment(text, key.doc() + " Allowed: " + key.allowed() + "." + (key.restart() ? " Needs a restart."
                    : ""));
            String answer = answers.get(prefix + key.name());
            boolean stated = answer != null || key.otherwise() != null;
            text.append(stated ? "" : "# ").append(key.name()).append(" = ")
                    .append(answer != null ? answer : stated ? value(key, key.otherwise()) : "...").append('\n');
        }
    }

    private static void requestClass(Section section, NewClass c, StringBuilder text) {
        boolean keyed = c.effect().equals("keyed");
        boolean unsafe = c.effect().equals("unsafe");
        Map<String, String> answers = new java.util.HashMap<>(Map.of("name", Type.quoted(c.name()),
                "operation", Type.quoted(c.operation()), "effect", Type.quoted(c.effect()),
                "deadline", Type.quoted(c.deadline()), "aim", Type.quoted(c.deadline()),
                "retry", String.valueOf(!unsafe), "hedge", String.valueOf(c.effect().equals("safe")
                && c.operation().equals("read"))));
        if (keyed) {
            answers.put("window", Type.quoted("1h"));
        }
        text.append("[[classes]]\n");
        for (Key key : section.keys()) {
            boolean about = keyed || !key.name().equals("window") && !key.name().equals("group");
            String answer = answers.get(key.name());
            if (about && (answer != null || key.otherwise() != null)) {
                comment(text, key.doc() + " Allowed: " + key.allowed() + ".");
                text.append(key.name()).append(" = ")
                        .append(answer != null ? answer : value(key, key.otherwise())).append('\n');
            }
        }
        text.append('\n');
    }

    /** Where one class alone does what a request asks for, the request need not name it. */
    private static void routes(List<NewClass> classes, StringBuilder text) {
        for (String operation : List.of("read", "write")) {
            List<NewClass> meant = classes.stream().filter(c -> c.operation().equals(operation)).toList();
            if (meant.size() == 1) {
                text.append("[[routes]]\noperation = ").append(Type.quoted(operation)).append("\nclass = ")
                        .append(Type.quoted(meant.get(0).name())).append("\n\n");
            }
        }
    }

    private static void example(Section section, StringBuilder text) {
        text.append("# [[").append(section.name()).append("]]\n");
        for (Key key : section.keys()) {
            comment(text, key.doc() + " Allowed: " + key.allowed() + ".");
            text.append("# ").append(key.name()).append(" = ")
                    .append(key.otherwise() == null ? "..." : value(key, key.otherwise())).append('\n');
        }
    }

    private static void comment(StringBuilder text, String words) {
        StringBuilder line = new StringBuilder("#");
        for (String word : words.split(" ")) {
            if (line.length() + 1 + word.length() > COLUMNS) {
                text.append(line).append('\n');
                line = new StringBuilder("#");
            }
            line.append(' ').append(word);
        }
        text.append(line).append('\n');
    }
}
