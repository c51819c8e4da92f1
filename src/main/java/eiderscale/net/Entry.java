package eiderscale.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** What stands in a journal of a request: what an operator needs to ask the application whether it ran. */
public final class Entry {
    private Entry() {
    }

    static byte[] of(String requestClass, String id, String label, long at) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("class", requestClass);
        map.put("id", id == null ? "" : id);
        map.put("what", label);
        map.put("at", at);
        try {
            return JSON.std.asBytes(map);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The words of one: class, id, what, at; empty where it cannot be read. */
    public static Map<String, Object> read(byte[] entry) {
        try {
            return JSON.std.mapFrom(entry);
        } catch (IOException e) {
            return Map.of();
        }
    }
}
