package eiderscale.platform;

import eiderscale.config.Config;
import eiderscale.config.ConfigException;
import eiderscale.config.Json;
import eiderscale.config.PlatformReader;
import eiderscale.config.Renewal;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** The file in which a platform tells a balancer its configuration. */
final class ConfigFile {
    private final String path;
    /** As it was read last and taken. */
    private Map<?, ?> present;
    private Config config;

    /** Throws {@link ConfigException} if there is none, or none that can be used. */
    ConfigFile(String path) {
        if (path == null || path.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        this.path = path;
        read();
    }

    /** As it was taken last. */
    Config config() {
        return config;
    }

    /** Reads it, the first time or again; throws {@link ConfigException} if it is not to be taken, and keeps the old one. */
    Config read() {
        try {
            Map<?, ?> fresh = Json.parse(Files.readAllBytes(Path.of(path)));
            if (present != null) {
                Renewal.check(present, fresh);
            }
            config = PlatformReader.config(fresh, config == null ? null : config.site());
            present = fresh;
            return config;
        } catch (IOException e) {
            throw new ConfigException("cannot read " + path);
        } catch (ConfigException e) {
            throw new ConfigException(path + ": " + e.getMessage());
        }
    }
}
