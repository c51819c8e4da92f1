package eiderscale.http;

import eiderscale.config.HttpRules;
import eiderscale.ledger.Budget;
import eiderscale.net.Front;
import eiderscale.net.HostProtocol;
import eiderscale.net.Protocol;
import java.util.Set;

/** HTTP/1.1 from end to end, with a cache in front of the hosts where the file has one. */
public final class HttpProtocol implements Protocol {
    private final HttpRules.Limits limits;

    /** {@code limits}: those at the start; the size of the cache and what it is called do not change. */
    public HttpProtocol(HttpRules.Limits limits) {
        this.limits = limits;
    }

    @Override
    public Front front(Budget budget, Budget answers) {
        return new HttpFront(limits, budget);
    }

    @Override
    public HostProtocol hosts() {
        Set<Integer> turnedAway = limits.turnedAway();
        return new HttpHosts(() -> turnedAway);
    }
}
