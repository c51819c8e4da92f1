package eiderscale.config;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads TOML into {@link Values} as a {@link Section} describes it, and reports all that does not fit. */
final class Reader {
    /** Far above an honest file: 5,000 hosts take some 300 KB. */
    static final int MOST_BYTES = 4 * 1024 * 1024;
    /** Tables and lists within one another; a parser that descends would run out of stack. */
    private static final int MOST_DEPTH = 16;
    /** A line without end is shown to nobody. */
    private static final int MOST_MESSAGE = 200;

    private final Report report;

    private Reader(Report report) {
        this.report = report;
    }

    /** Null if the text is no TOML, which is then reported. */
    static Values read(byte[] bytes, Section section, Report report) {
        return new Reader(report).root(bytes, section);
    }

    /** A value as a file would state it, such as {@code "250ms"} with its quotes; null if it is none. */
    static Object literal(String text) {
        TomlParseResult parsed = Toml.parse("x = " + text);
        return parsed.hasErrors() ? null : parsed.get("x");
    }

    private Values root(byte[] bytes, Section section) {
        String text = decode(bytes);
        if (text == null || !isShallow(text)) {
            return null;
        }
        TomlParseResult result = Toml.parse(text);
        for (TomlParseError error : result.errors()) {
            String message = String.valueOf(error.getMessage()).replaceAll("[^ -~]", "?");
            report.unreadable(position(error.position()), "", "no TOML: " + (message.length() > MOST_MESSAGE
                    ? message.substring(0, MOST_MESSAGE) + "..." : message), null, null);
        }
        if (result.hasErrors()) {
            return null;
        }
        return table(result, section, "", Position.START);
    }

    private String decode(byte[] bytes) {
        if (bytes.length > MOST_BYTES) {
            report.unreadable(Position.START, "", "the file has " + bytes.length + " bytes",
                    MOST_BYTES + " bytes at most", null);
            return null;
        }
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        CharBuffer chars = CharBuffer.allocate(bytes.length + 1);
        CoderResult end = decoder.decode(ByteBuffer.wrap(bytes), chars, true);
        String text = chars.flip().toString();
        if (end.isError()) {
            report.unreadable(end(text), "", "a byte that is no UTF-8", "UTF-8 text", null);
            return null;
        }
        return text.startsWith("\uFEFF") ? text.substring(1) : text;
    }

    private static Position end(String text) {
        int line = (int) text.chars().filter(c -> c == '\n').count() + 1;
        return new Position(line, text.length() - text.lastIndexOf('\n'));
    }

    /** Counts brackets outside of texts and comments. */
    private boolean isShallow(String text) {
        int depth = 0;
        int dots = 0;
        char quote = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (quote != 0) {
                i += c == '\\' && quote == '"' ? 1 : 0;
                quote = c == quote || c == '\n' ? 0 : quote;
            } else if (c == '"' || c == '\'') {
                quote = c;
            } else if (c == '#') {
                i = Math.max(i, text.indexOf('\n', i) < 0 ? text.length() : text.indexOf('\n', i));
            } else if (c == '[' || c == '{') {
                depth++;
            } else if (c == ']' || c == '}') {
                depth = Math.max(0, depth - 1);
            }
            dots = c == '.' ? dots + 1 : c == '\n' || c == '"' ? 0 : dots;
            if (depth > MOST_DEPTH || dots > MOST_DEPTH && quote == 0) {
                report.unreadable(end(text.substring(0, i)), "", "nested too deeply",
                        "tables and lists " + MOST_DEPTH + " deep at most", null);
                return false;
            }
        }
        return true;
    }

    private static Position position(TomlPosition at) {
        return at == null ? Position.START : new Position(at.line(), at.column());
    }

    private Values table(TomlTable table, Section section, String path, Position at) {
        Values values = new Values(section, path);
        report.place(path, at);
        for (String name : table.keySet()) {
            Object raw = table.get(List.of(name));
            Position here = position(table.inputPositionOf(List.of(name)));
            String key = values.path(name);
            Section inner = section.section(name);
            if (section.key(name) != null) {
                report.place(key, here);
            } else if (inner == null) {
                report.unreadable(here, key, "unknown key", null, Nearest.to(name, section.names()));
            } else if (inner.repeated()) {
                repeated(raw, inner, key, here, values);
            } else if (raw instanceof TomlTable one) {
                values.add(table(one, inner, key, here));
            } else {
                report.unreadable(here, key, "is no table", "a table [" + name + "]", null);
            }
        }
        for (Key key : section.keys()) {
            value(table.get(List.of(key.name())), key, values);
        }
        for (Section inner : section.sections()) {
            if (!inner.repeated() && values.tables(inner.name()).isEmpty()) {
                values.add(table(Toml.parse(""), inner, values.path(inner.name()), at));
            }
        }
        return values;
    }

    private void repeated(Object raw, Section inner, String key, Position here, Values values) {
        if (!(raw instanceof TomlArray array) || array.size() > 0 && !(array.get(0) instanceof TomlTable)) {
            report.unreadable(here, key, "is no list of tables", "tables [[" + inner.name() + "]]", null);
            return;
        }
        report.place(key, here);
        for (int i = 0; i < array.size(); i++) {
            String path = key + "[" + i + "]";
            Position at = position(array.inputPositionOf(i));
            if (array.get(i) instanceof TomlTable one) {
                values.add(table(one, inner, path, at));
            } else {
                report.unreadable(at, path, "is no table", "tables [[" + inner.name() + "]]", null);
            }
        }
    }

    private void value(Object raw, Key key, Values values) {
        String path = values.path(key.name());
        if (raw == null) {
            values.put(key.name(), key.otherwise(), false);
            if (key.required()) {
                report.unreadable(report.position(path), path, "is missing", key.allowed(), null);
            }
            return;
        }
        Object read = null;
        if (key.type().element() != null) {
            read = list(raw, key, path);
        } else {
            read = single(raw, key.type(), key, path, report.position(path));
        }
        values.put(key.name(), read != null ? read : key.otherwise(), true);
    }

    private Object single(Object raw, Type type, Key key, String path, Position at) {
        try {
            return type.read(raw, key);
        } catch (Type.Unfit e) {
            String nearest = raw instanceof String text ? Nearest.to(text, key.choices()) : null;
            report.unreadable(at, path, e.getMessage(), key.allowed(), nearest);
            return null;
        }
    }

    private List<Object> list(Object raw, Key key, String path) {
        if (!(raw instanceof TomlArray array)) {
            report.unreadable(report.position(path), path, "is no list", key.allowed(), null);
            return null;
        }
        if (!key.holds(array.size())) {
            report.unreadable(report.position(path), path, "has " + array.size() + " elements",
                    "from " + (long) key.least() + " to " + (long) key.most() + " of them", null);
            return null;
        }
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            String item = path + "[" + i + "]";
            Position at = position(array.inputPositionOf(i));
            report.place(item, at);
            Object value = element(array.get(i), key, item, at);
            if (value != null) {
                list.add(value);
            } else {
                report.spoil(path);
            }
        }
        return list;
    }

    private Object element(Object raw, Key key, String item, Position at) {
        if (key.type() != Type.HOSTS) {
            Type type = key.choices().isEmpty() ? key.type().element() : Type.CHOICE;
            Key one = new Key(key.name(), type, true, null, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY,
                    false, key.choices(), false, "");
            return single(raw, type, one, item, at);
        }
        if (raw instanceof TomlTable table) {
            return table(table, Spec.HOST, item, at);
        }
        Values host = new Values(Spec.HOST, item);
        Key address = Spec.HOST.key("address");
        Object value = single(raw, Type.ADDRESS, address, item, at);
        for (Key other : Spec.HOST.keys()) {
            host.put(other.name(), other == address ? value : other.otherwise(), other == address);
        }
        return value == null ? null : host;
    }
}
