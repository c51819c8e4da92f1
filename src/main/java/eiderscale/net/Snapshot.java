package eiderscale.net;

import eiderscale.Api;
import eiderscale.config.Site;
import eiderscale.ledger.Terms;

/**
 * The settings as they were at one moment; never changed, replaced by a reload. A request keeps the one under which its class was
 * chosen: the numbers of its class and its tenant mean nothing in another.
 */
public final class Snapshot implements Terms {
    private final Site site;

    Snapshot(Site site) {
        this.site = site;
    }

    /** What they say. */
    public Site site() {
        return site;
    }

    /** So much of a wait, in nanoseconds, as a refused client may be told: in milliseconds, 0 for nothing. */
    public long retryAfterMs(long wait) {
        long told = site.settings.retryAfter() ? Math.min(wait, site.settings.maxRetryAfter()) : 0;
        return milliseconds(told);
    }

    /** A span in nanoseconds as whole milliseconds, rounded up. */
    static long milliseconds(long span) {
        return (span + Clock.MILLISECOND - 1) / Clock.MILLISECOND;
    }

    @Override
    public Api.Settings settings() {
        return site.settings;
    }

    @Override
    public boolean isDurable(int requestClass) {
        return site.isDurable(requestClass);
    }

    @Override
    public int maxOpen() {
        return site.maxOpen;
    }

    @Override
    public long stallTime() {
        return site.stallTime;
    }
}
