package eiderscale.config;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Typed looks into parsed JSON; what is missing or of another type is said in one line. */
public final class Json {
    private Json() {
    }

    /** Parses an object; throws {@link ConfigException} if it is none. */
    public static Map<?, ?> parse(byte[] text) {
        try {
            return JSON.std.mapFrom(new String(text, StandardCharsets.UTF_8));
        } catch (IOException e) {
            String reason = String.valueOf(e.getMessage());
            throw new ConfigException("no JSON object: " + reason.lines().findFirst().orElse(""));
        }
    }

    /** A value that must be there. */
    public static <T> T get(Map<?, ?> object, String name, Class<T> type) {
        Object value = object.get(name);
        if (!type.isInstance(value)) {
            throw new ConfigException("'" + name + "' is missing or no " + type.getSimpleName());
        }
        return type.cast(value);
    }

    /** A value that may be left out. */
    public static <T> T get(Map<?, ?> object, String name, Class<T> type, T otherwise) {
        return object.get(name) == null ? otherwise : get(object, name, type);
    }

    /** An element that must be an object. */
    public static Map<?, ?> object(Object value) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new ConfigException("a list holds something else than objects");
    }

    /** A list, empty if left out. */
    public static List<?> list(Map<?, ?> object, String name) {
        return get(object, name, List.class, List.of());
    }
}
