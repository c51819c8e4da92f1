package eiderscale.sidecar;

import eiderscale.config.AppFile;
import eiderscale.config.ConfigException;
import eiderscale.config.HostList;
import eiderscale.config.Problem;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/** A watched file that names the cache hosts. What cannot be used is said once and changes nothing. */
final class HostsFile {
    private final Path path;
    private final Consumer<String> log;
    /** What was last read, good or not. */
    private byte[] seen;
    private boolean marked;

    HostsFile(Path path, Consumer<String> log) {
        this.path = path;
        this.log = log;
    }

    /** The hosts at the start; throws {@link ConfigException} if there are none to be read. */
    HostList first(AppFile app) {
        try {
            seen = Bytes.of(path);
        } catch (IOException e) {
            throw new ConfigException(path + ": cannot be read: " + e.getClass().getSimpleName());
        }
        List<Problem> problems = new ArrayList<>();
        HostList hosts = app.hosts(seen, problems);
        if (hosts == null) {
            throw new ConfigException(Sidecar.faults(path, problems));
        }
        marked = hosts.isMarked();
        return hosts;
    }

    /** The hosts, if the file holds others than when it was last read and can be used; null otherwise. */
    HostList changed(AppFile app) {
        byte[] text;
        try {
            text = Bytes.of(path);
        } catch (IOException e) {
            // Between the removal of an old file and the coming of a new one; what is gone for good says nothing new.
            text = new byte[0];
        }
        if (Arrays.equals(text, seen)) {
            return null;
        }
        seen = text;
        List<Problem> problems = new ArrayList<>();
        HostList hosts = app.hosts(text, problems);
        if (hosts == null) {
            log.accept("the old hosts stay: " + Sidecar.faults(path, problems));
        } else if (marked && !hosts.isMarked()) {
            log.accept("the old hosts stay: " + path + " lacks its last line, as if it were only half written");
            return null;
        } else {
            marked = hosts.isMarked();
        }
        return hosts;
    }
}
