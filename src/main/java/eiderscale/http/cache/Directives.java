package eiderscale.http.cache;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What {@code Cache-Control} says (RFC 9111 section 5.2). Arguments may be tokens or quoted, whatever the directive;
 * unknown directives are kept and mean nothing. Where what was said about freshness cannot be understood the answer
 * is to be taken for stale (section 4.2.1), which {@link Delta#INVALID} tells.
 */
public final class Directives {
    /** Nothing was said. */
    public static final Directives NONE = new Directives(Map.of());

    /** {@code text}: null without an argument. {@code spaced}: blanks beside the sign, which the grammar has not. */
    private record Argument(String text, boolean spaced) {
    }

    private final Map<String, List<Argument>> said;

    private Directives(Map<String, List<Argument>> said) {
        this.said = said;
    }

    /** Reads the lines of the field. */
    public static Directives of(List<String> lines) {
        Map<String, List<Argument>> said = new LinkedHashMap<>();
        for (String line : lines) {
            read(line, said);
        }
        return said.isEmpty() ? NONE : new Directives(said);
    }

    /** Directives with their arguments, such as another field gave them; an empty argument stands for none. */
    static Directives of(Map<String, String> arguments) {
        Map<String, List<Argument>> said = new LinkedHashMap<>();
        arguments.forEach((name, argument) -> said.put(name, List.of(new Argument(argument.isEmpty() ? null : argument,
                false))));
        return new Directives(said);
    }

    private static void read(String line, Map<String, List<Argument>> said) {
        int at = 0;
        while (at < line.length()) {
            int end = at;
            boolean quoted = false;
            StringBuilder element = new StringBuilder();
            int sign = -1;
            boolean wasQuoted = false;
            while (end < line.length() && (quoted || line.charAt(end) != ',')) {
                char c = line.charAt(end);
                if (quoted && c == '\\' && end + 1 < line.length()) {
                    end++;
                    element.append(line.charAt(end));
                } else if (c == '"') {
                    quoted = !quoted;
                    wasQuoted = true;
                } else {
                    if (c == '=' && !quoted && sign < 0) {
                        sign = element.length();
                    }
                    element.append(c);
                }
                end++;
            }
            add(element.toString(), sign, wasQuoted, said);
            at = end + 1;
        }
    }

    private static void add(String element, int sign, boolean quoted, Map<String, List<Argument>> said) {
        String head = sign < 0 ? element : element.substring(0, sign);
        String name = head.trim().toLowerCase(Locale.ROOT);
        if (name.isEmpty()) {
            return;
        }
        Argument argument = new Argument(null, false);
        if (sign >= 0) {
            String raw = element.substring(sign + 1);
            String text = quoted ? raw : stripEnd(raw);
            boolean spaced = !head.equals(stripEnd(head)) || !text.isEmpty() && text.charAt(0) == ' ';
            argument = new Argument(text.trim(), spaced);
        }
        said.computeIfAbsent(name, key -> new ArrayList<>(1)).add(argument);
    }

    private static String stripEnd(String text) {
        int end = text.length();
        while (end > 0 && (text.charAt(end - 1) == ' ' || text.charAt(end - 1) == '\t')) {
            end--;
        }
        return text.substring(0, end);
    }

    /** Whether nothing was said. */
    public boolean isEmpty() {
        return said.isEmpty();
    }

    /** Whether a directive is there, with an argument or without. */
    public boolean has(String name) {
        return said.containsKey(name);
    }

    /** Whether a directive is there that names no fields: it is about the whole response. */
    boolean hasUnqualified(String name) {
        List<Argument> arguments = said.get(name);
        return arguments != null && arguments.stream().anyMatch(argument -> names(argument).isEmpty());
    }

    /** The fields that a directive names, such as {@code no-cache="set-cookie"}, in lower case. */
    List<String> fieldNames(String name) {
        List<String> names = new ArrayList<>();
        said.getOrDefault(name, List.of()).forEach(argument -> names.addAll(names(argument)));
        return names;
    }

    private static List<String> names(Argument argument) {
        List<String> names = new ArrayList<>();
        if (argument.text != null) {
            for (String name : argument.text.split(",")) {
                if (!name.isBlank()) {
                    names.add(name.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        return names;
    }

    /**
     * A number of seconds. Said more than once it must be the same (section 4.2.1 leaves it to a cache to take the
     * first or to take the response for stale, and the latter can harm nobody).
     */
    long seconds(String name) {
        List<Argument> arguments = said.get(name);
        if (arguments == null) {
            return Delta.ABSENT;
        }
        long found = Delta.ABSENT;
        for (Argument argument : arguments) {
            long seconds = argument.spaced ? Delta.INVALID : Delta.parse(argument.text);
            if (found != Delta.ABSENT && found != seconds) {
                return Delta.INVALID;
            }
            found = seconds;
        }
        return found;
    }

    /** The same, but without an argument it means any number of seconds, as {@code max-stale} does. */
    long secondsOrAny(String name) {
        List<Argument> arguments = said.get(name);
        return arguments != null && arguments.size() == 1 && arguments.get(0).text == null ? Delta.MOST
                : seconds(name);
    }
}
