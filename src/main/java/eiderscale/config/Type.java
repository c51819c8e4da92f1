package eiderscale.config;

import java.net.InetSocketAddress;
import java.time.OffsetDateTime;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a key may hold. A value that was read is a {@code String} (texts, names, prefixes, choices), a {@code Long}
 * (durations in nanoseconds, sizes in bytes, whole numbers), a {@code Double}, a {@code Boolean}, an
 * {@link InetSocketAddress}, an {@link OffsetDateTime}, or a list of one of these.
 */
enum Type {
    TEXT("a text of 1 to 1000 characters"),
    NAME("a name of 1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit"),
    PREFIX("the beginning of a key: at most 250 visible ASCII characters"),
    ADDRESS("ADDRESS:PORT, such as \"127.0.0.1:11311\""),
    DURATION("a duration with its unit (us, ms, s, m or h), such as \"250ms\""),
    SIZE("a size with its unit (B, KB, MB or GB, in steps of 1024), such as \"8MB\""),
    WHOLE("a whole number"),
    NUMBER("a number"),
    FLAG("true or false"),
    CHOICE(null),
    TIME("a moment with its offset, such as 2026-01-31T08:00:00Z"),
    NAMES("a list of names"),
    TEXTS("a list of texts"),
    ADDRESSES("a list of ADDRESS:PORT"),
    HOSTS("a list of ADDRESS:PORT, or of tables with the key 'address'");

    /** A value that is not what its key may hold. */
    static final class Unfit extends Exception {
        private static final long serialVersionUID = 1L;

        Unfit(String message) {
            super(message, null, false, false);
        }
    }

    private static final Pattern NAMED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern VISIBLE = Pattern.compile("[!-~]{0,250}");
    private static final Pattern MEASURE = Pattern.compile("([0-9]{1,15})(?:\\.([0-9]{1,9}))?\\s?([A-Za-z]+)");
    private static final int MOST_TEXT = 1000;
    private static final int MOST_SHOWN = 40;
    private static final long KILO = 1024;

    private final String words;

    Type(String words) {
        this.words = words;
    }

    /** The type of the elements of a list; null for what is none. */
    Type element() {
        return switch (this) {
            case NAMES -> NAME;
            case TEXTS -> TEXT;
            case ADDRESSES, HOSTS -> ADDRESS;
            default -> null;
        };
    }

    String allowed(Key key) {
        if (this == CHOICE) {
            return String.join(", ", key.choices().stream().map(choice -> '"' + choice + '"').toList());
        }
        String range = element() == null ? range(key) : "";
        return (key.choices().isEmpty() ? words : "a list of " + String.join(", ", key.choices())) + range;
    }

    private String range(Key key) {
        boolean below = Double.isInfinite(key.least());
        boolean above = Double.isInfinite(key.most());
        if (below && above) {
            return "";
        }
        String from = below ? "" : format(number(key.least()));
        String to = above ? "" : format(number(key.most()));
        return key.open() ? ", above " + from + " and below " + to
                : above ? ", at least " + from : ", from " + from + " to " + to;
    }

    private Object number(double value) {
        return this == NUMBER ? (Object) value : (Object) (long) value;
    }

    /** Reads a single value as the text's parser gave it. */
    Object read(Object raw, Key key) throws Unfit {
        Object value = switch (this) {
            case WHOLE -> wanted(raw, Long.class);
            case NUMBER -> real(raw);
            case FLAG -> wanted(raw, Boolean.class);
            case TIME -> wanted(raw, OffsetDateTime.class);
            default -> text(wanted(raw, String.class), key);
        };
        if (value instanceof Number number && !key.holds(number.doubleValue())) {
            throw new Unfit("is " + shown(raw) + ", which is out of range");
        }
        return value;
    }

    private static <T> T wanted(Object raw, Class<T> type) throws Unfit {
        if (!type.isInstance(raw)) {
            throw new Unfit("is " + kind(raw));
        }
        return type.cast(raw);
    }

    private static Double real(Object raw) throws Unfit {
        if (raw instanceof Long whole) {
            return whole.doubleValue();
        }
        double value = wanted(raw, Double.class);
        if (!Double.isFinite(value)) {
            throw new Unfit("is not finite");
        }
        return value;
    }

    private Object text(String text, Key key) throws Unfit {
        boolean fits = switch (this) {
            case TEXT -> !text.isEmpty() && text.length() <= MOST_TEXT && text.indexOf('\0') < 0;
            case NAME -> NAMED.matcher(text).matches();
            case PREFIX -> VISIBLE.matcher(text).matches();
            case CHOICE -> key.choices().contains(text);
            default -> true;
        };
        if (!fits) {
            throw new Unfit("is " + shown(text));
        }
        return switch (this) {
            case ADDRESS -> address(text);
            case DURATION -> measure(text, true);
            case SIZE -> measure(text, false);
            default -> text;
        };
    }

    private static InetSocketAddress address(String text) throws Unfit {
        try {
            return Catalog.address(text);
        } catch (ConfigException e) {
            throw new Unfit("is " + shown(text) + ", which is no address and port");
        }
    }

    /** Nanoseconds or bytes; anything past a hundred years, or that is no whole number of them, is no measure. */
    private static Long measure(String text, boolean time) throws Unfit {
        Matcher parts = MEASURE.matcher(text);
        long unit = parts.matches() ? unit(parts.group(3), time) : 0;
        if (unit == 0) {
            throw new Unfit("is " + shown(text) + ", which is no " + (time ? "duration" : "size") + " with a unit");
        }
        double value = Double.parseDouble(parts.group(1) + "." + (parts.group(2) == null ? "0" : parts.group(2)));
        double total = value * unit;
        if (total > Long.MAX_VALUE / 4.0) {
            throw new Unfit("is " + shown(text) + ", which is out of range");
        }
        return Math.round(total);
    }

    private static long unit(String name, boolean time) {
        if (time) {
            return switch (name) {
                case "us" -> 1_000;
                case "ms" -> Units.MILLISECOND;
                case "s" -> Units.SECOND;
                case "m" -> 60 * Units.SECOND;
                case "h" -> 3600 * Units.SECOND;
                default -> 0;
            };
        }
        return switch (name) {
            case "B" -> 1;
            case "KB" -> KILO;
            case "MB" -> KILO * KILO;
            case "GB" -> KILO * KILO * KILO;
            default -> 0;
        };
    }

    private static String kind(Object raw) {
        if (raw instanceof String text) {
            return "the text " + shown(text);
        }
        if (raw instanceof Long || raw instanceof Double) {
            return "the number " + raw;
        }
        if (raw instanceof Boolean) {
            return raw.toString();
        }
        String type = raw == null ? "nothing" : raw.getClass().getSimpleName();
        return type.contains("Table") ? "a table" : type.contains("Array") ? "a list" : "a date or time";
    }

    /** A value from the file in a message: short and without control characters. */
    static String shown(Object raw) {
        String text = String.valueOf(raw).replaceAll("[^ -~]", "?");
        String cut = text.length() > MOST_SHOWN ? text.substring(0, MOST_SHOWN) + "..." : text;
        return raw instanceof String ? '"' + cut + '"' : cut;
    }

    /** A value as the file would state it. */
    String format(Object value) {
        return switch (this) {
            case DURATION -> '"' + duration((Long) value) + '"';
            case SIZE -> '"' + size((Long) value) + '"';
            case ADDRESS -> '"' + address((InetSocketAddress) value) + '"';
            case TEXT, NAME, PREFIX, CHOICE -> quoted((String) value);
            case NUMBER -> decimal((Double) value);
            case TIME -> DateTimeFormatter.ISO_OFFSET_DATE_TIME.format((OffsetDateTime) value);
            default -> String.valueOf(value);
        };
    }

    static String address(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private static String decimal(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? String.format(Locale.ROOT, "%.1f", value)
                : Double.toString(value).replace("E", "e");
    }

    static String quoted(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < ' ' || c == 0x7f) {
                quoted.append(String.format(Locale.ROOT, "\\u%04x", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append('"').toString();
    }

    private static String duration(long nanos) {
        String[] names = {"h", "m", "s", "ms", "us"};
        for (String name : names) {
            if (nanos % unit(name, true) == 0 && nanos >= unit(name, true)) {
                return nanos / unit(name, true) + name;
            }
        }
        return nanos == 0 ? "0s" : String.format(Locale.ROOT, "%.3fus", nanos / 1e3);
    }

    private static String size(long bytes) {
        String[] names = {"GB", "MB", "KB"};
        for (String name : names) {
            if (bytes % unit(name, false) == 0 && bytes >= unit(name, false)) {
                return bytes / unit(name, false) + name;
            }
        }
        return bytes + "B";
    }
}
