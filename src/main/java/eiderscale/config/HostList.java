package eiderscale.config;

import java.util.List;

/** The hosts that a good hosts file names. */
public final class HostList {
    private final List<Application.Host> hosts;
    private final boolean marked;

    HostList(List<Application.Host> hosts, boolean marked) {
        this.hosts = List.copyOf(hosts);
        this.marked = marked;
    }

    /** As discovery would list them; {@code site} numbers their zones, so that this is for its own thread. */
    public List<Catalog.Member> members(Site site) {
        return Application.members(hosts, site);
    }

    /** Whether the file's last line says that it is whole. */
    public boolean isMarked() {
        return marked;
    }

    /** How many there are. */
    public int size() {
        return hosts.size();
    }
}
