package eiderscale.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The description as a JSON Schema (draft 2020-12), for editors. It says what can be said of each key alone; what
 * must hold between them is left to the checks.
 */
public final class Schema {
    private static final String DURATION = "^[0-9]{1,15}(\\.[0-9]{1,9})?\\s?(us|ms|s|m|h)$";
    private static final String SIZE = "^[0-9]{1,15}(\\.[0-9]{1,9})?\\s?(B|KB|MB|GB)$";

    private Schema() {
    }

    /** The schema as an object tree of maps and lists. */
    public static Map<String, Object> tree() {
        Map<String, Object> schema = new LinkedHashMap<>();
        schema.put("$schema", "https://json-schema.org/draft/2020-12/schema");
        schema.put("title", "stairshelf application file");
        schema.putAll(table(Spec.ROOT));
        return schema;
    }

    private static Map<String, Object> table(Section section) {
        Map<String, Object> properties = new LinkedHashMap<>();
        List<String> required = new ArrayList<>();
        for (Key key : section.keys()) {
            properties.put(key.name(), key(key));
            if (key.required()) {
                required.add(key.name());
            }
        }
        for (Section inner : section.sections()) {
            properties.put(inner.name(), inner.repeated()
                    ? ordered("type", "array", "items", table(inner)) : table(inner));
        }
        Map<String, Object> schema = new LinkedHashMap<>();
        schema.put("type", "object");
        schema.put("description", section.doc());
        schema.put("properties", properties);
        if (!required.isEmpty()) {
            schema.put("required", required);
        }
        schema.put("additionalProperties", false);
        return schema;
    }

    private static Map<String, Object> key(Key key) {
        Map<String, Object> schema = new LinkedHashMap<>();
        if (key.type().element() != null) {
            schema.put("type", "array");
            schema.put("items", element(key));
            if (!Double.isInfinite(key.least())) {
                schema.put("minItems", (long) key.least());
                schema.put("maxItems", (long) key.most());
            }
        } else {
            schema.putAll(single(key.type(), key));
        }
        schema.put("description", key.doc() + " Allowed: " + key.allowed() + ".");
        return schema;
    }

    private static Map<String, Object> element(Key key) {
        if (!key.choices().isEmpty()) {
            return ordered("enum", key.choices());
        }
        Map<String, Object> one = single(key.type().element(), null);
        return key.type() == Type.HOSTS ? ordered("anyOf", List.of(one, table(Spec.HOST))) : one;
    }

    private static Map<String, Object> single(Type type, Key key) {
        Map<String, Object> schema = new LinkedHashMap<>();
        switch (type) {
            case FLAG -> schema.put("type", "boolean");
            case WHOLE -> schema.put("type", "integer");
            case NUMBER -> schema.put("type", "number");
            case CHOICE -> schema.put("enum", key.choices());
            case TIME -> {
                schema.put("type", "string");
                schema.put("format", "date-time");
            }
            default -> schema.put("type", "string");
        }
        switch (type) {
            case NAME -> schema.put("pattern", "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$");
            case PREFIX -> schema.put("pattern", "^[!-~]{0,250}$");
            case TEXT -> schema.putAll(ordered("minLength", 1, "maxLength", 1000));
            case ADDRESS -> schema.put("pattern", "^.+:[0-9]{1,5}$");
            case DURATION -> schema.put("pattern", DURATION);
            case SIZE -> schema.put("pattern", SIZE);
            default -> {
                if (key != null && (type == Type.WHOLE || type == Type.NUMBER) && !Double.isInfinite(key.least())) {
                    schema.put(key.open() ? "exclusiveMinimum" : "minimum", bound(type, key.least()));
                    schema.put(key.open() ? "exclusiveMaximum" : "maximum", bound(type, key.most()));
                }
            }
        }
        return schema;
    }

    private static Map<String, Object> ordered(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    private static Object bound(Type type, double value) {
        return type == Type.WHOLE ? (Object) (long) value : (Object) value;
    }
}
