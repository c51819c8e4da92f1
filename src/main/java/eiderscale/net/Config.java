package eiderscale.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** What the deployment tells this balancer. */
record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
              Site site, Catalog known) {
    private static final int DEFAULT_SOCKETS = 1024;

    static Config read(String path) {
        if (path == null || path.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        try {
            return parse(Json.parse(Files.readAllBytes(Path.of(path))));
        } catch (IOException e) {
            throw new ConfigException("cannot read " + path);
        } catch (ConfigException e) {
            throw new ConfigException(path + ": " + e.getMessage());
        }
    }

    static Config parse(Map<?, ?> json) {
        Site site = new Site(Json.get(json, "settings", Map.class));
        Map<?, ?> limits = Json.get(json, "limits", Map.class, Map.of());
        Map<?, ?> known = Json.get(json, "known", Map.class, Map.of("rev", 0, "all", true));
        try {
            return new Config(Json.get(json, "name", String.class, "balancer"),
                    Catalog.address(Json.get(json, "listen", String.class)),
                    Catalog.address(Json.get(json, "discovery", String.class)),
                    Long.parseUnsignedLong(Json.get(json, "seed", String.class, "0"), 16),
                    Json.get(limits, "sockets", Number.class, DEFAULT_SOCKETS).intValue(), site,
                    Catalog.parse(known, site));
        } catch (NumberFormatException e) {
            throw new ConfigException("'seed' is no hexadecimal number");
        }
    }
}
