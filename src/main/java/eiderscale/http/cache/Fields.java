package eiderscale.http.cache;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Header fields in the order in which they came (RFC 9110 section 5). Names are kept in lower case, as they compare
 * without regard to case; values are kept as they are.
 */
public final class Fields {
    /** None at all. */
    public static final Fields NONE = new Fields(new String[0]);

    /** Names and values by turns. */
    private final String[] pairs;

    private Fields(String[] pairs) {
        this.pairs = pairs;
    }

    /** Names and values by turns. */
    public static Fields of(String... namesAndValues) {
        if (namesAndValues.length % 2 != 0) {
            throw new IllegalArgumentException("a name without a value");
        }
        Builder fields = new Builder();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            fields.add(namesAndValues[i], namesAndValues[i + 1]);
        }
        return fields.build();
    }

    /** Collects fields. */
    public static final class Builder {
        private final List<String> pairs = new ArrayList<>();

        /** Adds a field line. */
        public Builder add(String name, String value) {
            pairs.add(name.toLowerCase(Locale.ROOT));
            pairs.add(value);
            return this;
        }

        /** What was added. */
        public Fields build() {
            return pairs.isEmpty() ? NONE : new Fields(pairs.toArray(new String[0]));
        }
    }

    /** How many field lines there are. */
    public int size() {
        return pairs.length / 2;
    }

    /** The name of a line, in lower case. */
    public String name(int at) {
        return pairs[2 * at];
    }

    /** The value of a line. */
    public String value(int at) {
        return pairs[2 * at + 1];
    }

    /** Whether a field is there; {@code name} in lower case, as everywhere here. */
    public boolean has(String name) {
        return first(name) != null;
    }

    /** The value of the first line with this name, or null. */
    public String first(String name) {
        for (int i = 0; i < pairs.length; i += 2) {
            if (pairs[i].equals(name)) {
                return pairs[i + 1];
            }
        }
        return null;
    }

    /** The values of all lines with this name. */
    public List<String> all(String name) {
        List<String> values = new ArrayList<>(2);
        for (int i = 0; i < pairs.length; i += 2) {
            if (pairs[i].equals(name)) {
                values.add(pairs[i + 1]);
            }
        }
        return values;
    }

    /** All lines with this name as one (RFC 9110 section 5.3); null if there is none. */
    public String joined(String name) {
        String only = first(name);
        if (only == null) {
            return null;
        }
        List<String> values = all(name);
        return values.size() == 1 ? only : String.join(", ", values);
    }

    /** Members of a list without quoted parts, trimmed, in lower case and without empty ones (RFC 9110 5.6.1). */
    public List<String> members(String name) {
        List<String> members = new ArrayList<>();
        for (String line : all(name)) {
            for (String member : line.split(",")) {
                String text = member.trim().toLowerCase(Locale.ROOT);
                if (!text.isEmpty()) {
                    members.add(text);
                }
            }
        }
        return members;
    }

    /** Those whose names do not match. */
    public Fields without(Predicate<String> names) {
        int dropped = 0;
        for (int i = 0; i < pairs.length; i += 2) {
            dropped += names.test(pairs[i]) ? 2 : 0;
        }
        if (dropped == 0) {
            return this;
        }
        String[] left = new String[pairs.length - dropped];
        int end = 0;
        for (int i = 0; i < pairs.length; i += 2) {
            if (!names.test(pairs[i])) {
                left[end++] = pairs[i];
                left[end++] = pairs[i + 1];
            }
        }
        return left.length == 0 ? NONE : new Fields(left);
    }

    /** These, with each field that is in {@code newer} replaced by what is there (RFC 9111 section 3.2). */
    public Fields updatedBy(Fields newer) {
        if (newer.size() == 1) {
            return with(newer.name(0), newer.value(0));
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < newer.size(); i++) {
            names.add(newer.name(i));
        }
        Builder all = new Builder();
        Fields kept = without(names::contains);
        for (int i = 0; i < kept.size(); i++) {
            all.add(kept.name(i), kept.value(i));
        }
        for (int i = 0; i < newer.size(); i++) {
            all.add(newer.name(i), newer.value(i));
        }
        return all.build();
    }

    /** These, with one field in place of those of its name. */
    public Fields with(String name, String value) {
        String[] all = new String[pairs.length + 2];
        int end = 0;
        for (int i = 0; i < pairs.length; i += 2) {
            if (!pairs[i].equals(name)) {
                all[end++] = pairs[i];
                all[end++] = pairs[i + 1];
            }
        }
        all[end++] = name;
        all[end++] = value;
        return new Fields(end == all.length ? all : java.util.Arrays.copyOf(all, end));
    }

    /** What they take in memory, in bytes, with the objects round them; an estimate from above. */
    public int weight() {
        int bytes = 32 + 4 * pairs.length;
        for (String text : pairs) {
            bytes += 56 + 2 * text.length();
        }
        return bytes;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Fields fields && java.util.Arrays.equals(pairs, fields.pairs);
    }

    @Override
    public int hashCode() {
        return java.util.Arrays.hashCode(pairs);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < size(); i++) {
            text.append(name(i)).append(": ").append(value(i)).append('\n');
        }
        return text.toString();
    }
}
