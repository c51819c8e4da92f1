package eiderscale.meta;

import eiderscale.config.Site;
import eiderscale.ledger.Budget;
import eiderscale.net.Front;
import eiderscale.net.HostProtocol;
import eiderscale.net.Protocol;

/** The meta protocol of memcached, before hosts of either kind. */
public final class MetaProtocol implements Protocol {
    private final MetaHosts hosts;

    /** {@code kind}: what stands behind it. */
    public MetaProtocol(Site.HostKind kind) {
        hosts = kind == Site.HostKind.MEMCACHED ? new MemcachedProtocol() : new PlatformProtocol();
    }

    @Override
    public Front front(Budget budget, Budget answers) {
        hosts.holdWithin(answers);
        return new MetaFront(hosts, budget);
    }

    @Override
    public HostProtocol hosts() {
        return hosts;
    }
}
