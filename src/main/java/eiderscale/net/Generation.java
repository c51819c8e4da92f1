package eiderscale.net;

import eiderscale.Api;
import eiderscale.config.Site;

/**
 * One start of the decision module with the settings that it was given, and the names that go with them. A request
 * ends under the generation that took it, whatever is reloaded meanwhile: its class cannot change under it.
 */
final class Generation implements Api.Actions {
    final Site site;
    final Api.Events module;
    /** Requests in the ledger that this module knows of. */
    int exchanges;
    private final Balancer balancer;

    Generation(Balancer balancer, Site site, Balancer.Module maker, long seed) {
        this.balancer = balancer;
        this.site = site;
        this.module = maker.create(site.settings, seed, this);
    }

    Balancer balancer() {
        return balancer;
    }

    @Override
    public void send(long request, long server, long cutAt) {
        balancer.send(request, server, cutAt);
    }

    @Override
    public void cancel(long request, int attempt) {
        balancer.cancel(request, attempt);
    }

    @Override
    public void refuse(long request, long retryAfter) {
        balancer.refuse(request, retryAfter);
    }

    @Override
    public void fail(long request) {
        balancer.fail(request);
    }

    @Override
    public void wakeAt(long moment, int token) {
        balancer.wakeAt(this, moment, token);
    }

    @Override
    public void closeIdle(long server) {
        balancer.closeIdle(server);
    }

    @Override
    public void subscribe() {
        balancer.subscribe();
    }
}
