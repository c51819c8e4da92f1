package eiderscale.knowledge;

import com.fasterxml.jackson.jr.ob.JSON;
import eiderscale.Learnt;
import eiderscale.maintenance.Maintenance;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one balancer hands on.
 *
 * @param balancer its name
 * @param calls operators' last call for each host that had one
 * @param hosts the list of hosts as it was told last, and whence; null where none is handed on
 * @param learnt what its module has learnt; null where none is handed on
 */
public record Knowledge(String balancer, List<Maintenance.Call> calls, Hosts hosts, Learnt learnt) {
    private static final int MOST_CALLS = 8192;

    /** A list of hosts in the form that {@code config.Catalog} keeps, and the address whose version it is. */
    public record Hosts(String source, Map<String, Object> list) {
    }

    /** As bytes that {@link #decode} takes. */
    public byte[] encode() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("calls", calls.stream().map(call -> Map.of("host", Long.toHexString(call.host()),
                "out", call.out(), "at", call.at())).toList());
        if (hosts != null) {
            body.put("source", hosts.source);
            body.put("list", hosts.list);
        }
        if (learnt != null) {
            body.put("learnt", LearntForm.write(learnt));
        }
        try {
            return Envelope.wrap(balancer, JSON.std.asBytes(body));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads what the balancer of a name has written; nothing is taken of what is not whole. */
    public static Knowledge decode(String balancer, byte[] bytes) throws Refused {
        byte[] body = Envelope.unwrap(balancer, bytes);
        try {
            Map<String, Object> map = JSON.std.mapFrom(new String(body, StandardCharsets.UTF_8));
            Hosts hosts = map.get("list") == null ? null : new Hosts((String) map.get("source"), named((Map<?, ?>) map.get("list")));
            return new Knowledge(balancer, calls((List<?>) map.get("calls")), hosts,
                    map.get("learnt") == null ? null : LearntForm.read((Map<?, ?>) map.get("learnt")));
        } catch (IOException | ClassCastException | NullPointerException | IllegalArgumentException e) {
            throw new Refused("its body cannot be read");
        }
    }

    private static List<Maintenance.Call> calls(List<?> list) {
        List<Maintenance.Call> calls = new ArrayList<>();
        for (Object one : list) {
            Map<?, ?> call = (Map<?, ?>) one;
            if (calls.size() < MOST_CALLS) {
                calls.add(new Maintenance.Call(Long.parseUnsignedLong((String) call.get("host"), 16),
                        (Boolean) call.get("out"), ((Number) call.get("at")).longValue()));
            }
        }
        return List.copyOf(calls);
    }

    private static Map<String, Object> named(Map<?, ?> map) {
        Map<String, Object> named = new LinkedHashMap<>();
        map.forEach((name, value) -> named.put((String) name, value));
        return named;
    }
}
