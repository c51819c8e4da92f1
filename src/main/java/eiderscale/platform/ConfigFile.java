package eiderscale.platform;

import eiderscale.config.Config;
import eiderscale.config.ConfigException;
import eiderscale.config.PlatformReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file in which a platform tells a balancer its configuration. */
final class ConfigFile {
    private ConfigFile() {
    }

    static Config read(String path) {
        if (path == null || path.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        try {
            return PlatformReader.config(Files.readAllBytes(Path.of(path)));
        } catch (IOException e) {
            throw new ConfigException("cannot read " + path);
        } catch (ConfigException e) {
            throw new ConfigException(path + ": " + e.getMessage());
        }
    }
}
