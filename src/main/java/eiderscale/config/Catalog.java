package eiderscale.config;

import eiderscale.Api;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A list of cache hosts in discovery's form: all of them, or those that changed. */
public record Catalog(long rev, boolean all, List<Member> members) {
    static final int MOST_PORT = 0xffff;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** A host as the module knows it, and where it is reached from here. */
    public record Member(Api.Server server, InetSocketAddress endpoint) {
    }

    /** Reads discovery's form; {@code site} numbers the names of zones and kinds. */
    public static Catalog parse(Map<?, ?> json, Site site) {
        List<Member> members = new ArrayList<>();
        for (Object target : Json.list(json, "targets")) {
            members.add(member(Json.object(target), site));
        }
        return new Catalog(Json.get(json, "rev", Number.class).longValue(),
                Json.get(json, "all", Boolean.class), members);
    }

    private static Member member(Map<?, ?> json, Site site) {
        Api.State state = switch (Json.get(json, "state", String.class)) {
            case "Ready" -> Api.State.READY;
            case "Terminating" -> Api.State.DRAINING;
            case "Gone" -> Api.State.GONE;
            default -> throw new ConfigException("unknown state of a cache host: " + json.get("state"));
        };
        // The id comes from the uid, never from the endpoint, which differs from balancer to balancer:
        // rendezvous hashing and slow start need the same id everywhere.
        Api.Server server = new Api.Server(hash(Json.get(json, "uid", String.class)),
                site.zone(Json.get(json, "az", String.class, "")),
                site.kind(Json.get(json, "model", String.class, "")),
                Json.get(json, "pod_group", Number.class, 0).intValue(), state,
                Json.get(json, "capacity_hint", Number.class, 1).doubleValue(),
                Json.get(json, "boot_ms", Number.class, 0).longValue() * Units.MILLISECOND);
        return new Member(server, address(Json.get(json, "endpoint", String.class)));
    }

    /** The list in a form that {@link #kept} reads: as discovery's, with numbers of hosts in place of their uids. */
    public Map<String, Object> keep(Site site) {
        List<Object> targets = new ArrayList<>();
        for (Member member : members) {
            Api.Server server = member.server;
            targets.add(List.of(Long.toHexString(server.id()), member.endpoint.getAddress().getHostAddress() + ":"
                    + member.endpoint.getPort(), site.zoneName(server.zone()), site.kindName(server.kind()), server.cell(),
                    server.state().name(), server.weight(), server.startedAt()));
        }
        return Map.of("rev", rev, "targets", targets);
    }

    /** Reads what {@link #keep} wrote, perhaps under another site's numbers; throws {@link ConfigException} for anything else. */
    public static Catalog kept(Map<?, ?> json, Site site) {
        List<Member> members = new ArrayList<>();
        try {
            for (Object target : Json.list(json, "targets")) {
                List<?> row = (List<?>) target;
                members.add(new Member(new Api.Server(Long.parseUnsignedLong((String) row.get(0), 16),
                        site.zone((String) row.get(2)), site.kind((String) row.get(3)), ((Number) row.get(4)).intValue(),
                        Api.State.valueOf((String) row.get(5)), ((Number) row.get(6)).doubleValue(),
                        ((Number) row.get(7)).longValue()), address((String) row.get(1))));
            }
        } catch (ClassCastException | IndexOutOfBoundsException | IllegalArgumentException | NullPointerException e) {
            throw new ConfigException("a kept list that cannot be read");
        }
        return new Catalog(Json.get(json, "rev", Number.class).longValue(), true, members);
    }

    /** FNV-1a: the same 64-bit number for a text at every balancer. */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /** Reads ADDRESS:PORT; names are not looked up, as there is no DNS. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] address = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = address == null ? -1 : Integer.parseInt(text.substring(colon + 1));
            if (port >= 0 && port <= MOST_PORT) {
                return new InetSocketAddress(InetAddress.getByAddress(address), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Told below.
        }
        throw new ConfigException("no address and port: " + text);
    }
}
