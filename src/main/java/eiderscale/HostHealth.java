package eiderscale;

import eiderscale.Api.*;
import java.util.*;

/** What this balancer knows of each host: the list's word, our requests in flight, breaker, slow start. */
final class HostHealth {
    /** Evidence, as -ln of its chance among hosts that fail alike, at which a breaker opens. */
    private static final double OPEN_AT = 14;
    private static final double LEAST_CHANCE = 0.2;
    private static final long TRIAL_AFTER_NS = 1_000_000_000L;
    /** Share of the stated fall limit that is used. */
    private static final double FALL_MARGIN = 0.5;
    /** Fall times over which our send rate is averaged, and the part of one that may be sent at once. */
    private static final double RATE_WINDOWS = 4;
    private static final double BURST = 0.25;
    /** Part of one that a rate is told from at least, lest those who wait at the door count as one. */
    private static final double LEAST_SEEN = 0.5;
    private static final double FAILING_WEIGHT = 0.02;
    /** Share of attempts without a connection from which on idle ones are given up: dead hosts are fewer. */
    static final double CROWDED = 0.1;
    private static final double MOST_CROWD = 8;
    private static final double LATENCY_WEIGHT = 0.1;
    private static final long LEARN_EVERY_NS = 250_000_000L;
    private static final double BUSY_WEIGHT = 0.05;
    private static final double LEAST_BUSY = 0.02;
    private static final double MOST_EASE = 2;

    /** One server as this balancer sees it. */
    static final class Host {
        final long id;
        final long salt;
        int zone;
        int kind;
        int cell;
        /** As listed, and as its kind makes of it. */
        double listed;
        double weight;
        double inverseWeight;
        boolean inOwnZone;
        State state = State.GONE;
        long startedAt;
        int inFlight;
        /** Mean time of its answers lately. */
        double latency;
        /** Start of the slow start, 0 if warm. */
        long coldSince;
        /** Sends that its slow start allows, as of {@code filledAt}. */
        double tokens;
        long filledAt;
        /** The circuit breaker: closed while {@code openUntil} is 0; any success closes it. */
        double evidence;
        long openUntil;
        private boolean trial;

        Host(long id) {
            this.id = id;
            this.salt = Candidates.mix(id + 0x9e3779b97f4a7c15L);
        }
    }

    Host[] caches = {};
    int cacheCount;
    final List<Host> origins = new ArrayList<>();
    final Map<Long, Host> known = new LinkedHashMap<>();
    private final Settings settings;
    private final StartTimes startTimes;
    private long random;
    private double totalWeight;
    final Capacity capacity = new Capacity();
    private long learntAt;
    /** How busy hosts say they are lately, in their slow start and past it. */
    double coldBusy = 1;
    double warmBusy;
    /** Balancers per host: guards against keys hot over many balancers, none of which sees enough of them. */
    double crowd = 1;
    /** Ignores breakers: set for one search when they leave nothing to choose from. */
    boolean panic;
    /** First sends to caches wanted lately, older ones counting less, and since when they are counted. */
    double searches;
    long searchedAt;
    long searchedFrom;
    /** Share of late attempts that got no connection. Guards against idle connections that fill tables. */
    double connectFailures;
    /** Share of late attempts that failed after they may have run, over all hosts. */
    double failing;

    HostHealth(Settings settings, long seed) {
        this.settings = settings;
        this.startTimes = new StartTimes(settings.warmWithin());
        this.random = seed;
    }

    /** Applies a list. A host that drains or is gone gets nothing new from this moment on. */
    void onList(long now, ListMode mode, List<Server> servers) {
        if (mode == ListMode.FAILED) {
            return;
        }
        if (mode != ListMode.DELTA) {
            known.values().forEach(host -> host.state = State.GONE);
        }
        for (Server server : servers) {
            Host host = known.computeIfAbsent(server.id(), Host::new);
            boolean restarted = server.startedAt() != host.startedAt;
            host.zone = server.zone();
            host.inOwnZone = host.zone == settings.zone();
            host.kind = server.kind();
            host.cell = server.cell();
            host.listed = server.weight() > 0 ? server.weight() : 1;
            host.state = server.state();
            host.startedAt = server.startedAt();
            long coldSince = restarted ? startTimes.coldSince(now, mode, host.startedAt) : StartTimes.WARM;
            if (coldSince != StartTimes.WARM) {
                host.coldSince = coldSince;
                coldBusy = 1;
                host.tokens = nextUnit();
                host.filledAt = now;
                close(host);
            }
        }
        startTimes.onList(now, mode);
        rebuild();
    }

    private void rebuild() {
        known.values().removeIf(host -> host.state == State.GONE && host.inFlight == 0);
        caches = new Host[known.size()];
        cacheCount = 0;
        origins.clear();
        for (Host host : known.values()) {
            if (host.state == State.READY && isOrigin(host)) {
                origins.add(host);
            } else if (host.state == State.READY) {
                caches[cacheCount++] = host;
            }
        }
        weigh();
        crowd = Math.max(1, Math.min(MOST_CROWD, (double) settings.instances() / Math.max(1, cacheCount)));
    }

    /** Hosts of faster kinds get more of the keys. */
    void weigh() {
        totalWeight = 0;
        for (int i = 0; i < cacheCount; i++) {
            caches[i].weight = caches[i].listed * capacity.factor(caches[i].kind);
            caches[i].inverseWeight = 1 / caches[i].weight;
            totalWeight += caches[i].weight;
        }
    }

    /** A cache answered and told how busy it is: see {@link Capacity}. */
    void heardLoad(long now, Host host, double busy) {
        if (host.coldSince != 0) {
            coldBusy += BUSY_WEIGHT * (busy - coldBusy);
        } else if (!isOrigin(host)) {
            warmBusy += BUSY_WEIGHT * (busy - warmBusy);
            capacity.answered(now, host.kind, busy);
        }
        if (now - learntAt < LEARN_EVERY_NS) {
            return;
        }
        learntAt = now;
        capacity.look();
        for (int i = 0; i < cacheCount; i++) {
            if (caches[i].coldSince == 0 && caches[i].openUntil == 0) {
                capacity.hosts(caches[i].kind, caches[i].listed);
            }
        }
        if (capacity.learn()) {
            weigh();
        }
    }

    boolean isOrigin(Host host) {
        return settings.aside() && host.kind == settings.originKind();
    }

    /** Whether the host takes the key with this hash: breaker, then slow start by key, then the budget. */
    boolean admits(long now, Host host, long hash) {
        if (!panic && host.openUntil != 0 && (now < host.openUntil || host.trial)) {
            return false;
        }
        if (host.coldSince == 0) {
            return true;
        }
        double grown = Math.max(0.0, now - host.coldSince) / Math.max(1, settings.warmWithin());
        double share = settings.coldFrom() + (1 - settings.coldFrom()) * grown;
        if (share >= 1) {
            host.coldSince = 0;
            return true;
        }
        // The same keys at every balancer, so that all of them together stay within the share; up to twice
        // that while cold hosts say that they idle beside the warm, always within the budget. Guards against
        // waiting for time to pass where hosts warm with their work.
        double ease = Math.max(1, Math.min(MOST_EASE, warmBusy / Math.max(LEAST_BUSY, coldBusy)));
        return ((hash & 2047) < share * ease * 2048 || panic) && withinBudget(now, host, share);
    }

    /**
     * Slow start: a token bucket fed with the host's portion of our own sends, so that all balancers together
     * stay within what the cold host can do, however hot its keys are. It starts at a random level, lest many
     * balancers with few requests each send their first one at once.
     */
    private boolean withinBudget(long now, Host host, double share) {
        // A live weight makes an idle newcomer look many times its size: it counts as average at most.
        double portion = Math.min(host.weight / Math.max(totalWeight, 1e-9), 1.0 / Math.max(1, cacheCount));
        // Few, counted for a moment only, are no low rate: whoever had just started held back cold hosts.
        double time = Math.max(settings.fallTime() * LEAST_SEEN, now - searchedFrom);
        double counted = RATE_WINDOWS * -Math.expm1(-time / (RATE_WINDOWS * settings.fallTime()));
        double perWindow = share * settings.tipMultiple() * FALL_MARGIN * searches / counted * portion;
        double most = Math.max(1, perWindow * BURST);
        host.tokens += perWindow * (now - host.filledAt) / settings.fallTime();
        host.tokens = Math.min(most, host.tokens);
        host.filledAt = now;
        return host.tokens >= (panic ? 0 : 1);
    }

    /** A cache is wanted for a request's first send; retries, which multiply in trouble, do not count. */
    void wanted(long now) {
        searchedFrom = searches == 0 ? now : searchedFrom;
        searches = 1 + searches * Math.exp((searchedAt - now) / (RATE_WINDOWS * settings.fallTime()));
        searchedAt = now;
    }

    void onSend(long now, Host host) {
        host.inFlight++;
        host.tokens -= host.coldSince != 0 ? 1 : 0;
        host.trial |= host.openUntil != 0;
    }

    /**
     * An attempt ended. {@code suspect}: it was overtaken by its copy, or turned away by a host that has time
     * to spare, which counts as failed. Guards against a silent host, all of whose reads are saved by copies,
     * so that none ever times out and it is tried again with every read.
     */
    void onEnd(long now, Host host, Reason reason, long took, boolean suspect) {
        host.inFlight--;
        boolean failed = suspect || reason == Reason.ERROR || reason == Reason.RESET
                || reason == Reason.TIMEOUT;
        connectFailures += FAILING_WEIGHT * ((reason == Reason.CONNECT_FAILED ? 1 : 0) - connectFailures);
        if (reason.answered() || reason == Reason.TIMEOUT) {
            host.latency += (host.latency == 0 ? 1 : LATENCY_WEIGHT) * (took - host.latency);
        }
        if (isOrigin(host)) {
            return;
        }
        if (reason.answered() || failed) {
            failing += FAILING_WEIGHT * ((failed ? 1 : 0) - failing);
        }
        if (reason.answered() || reason.turnedAway() && !suspect) {
            close(host);
        } else if (reason == Reason.CONNECT_FAILED) {
            strike(now, host, OPEN_AT / 2);
        } else if (failed) {
            // Guards against moving keys when all hosts fail for one cause: what most do is no evidence.
            strike(now, host, -Math.log(Math.max(LEAST_CHANCE, failing)));
        }
        host.trial = false;
    }

    private static void close(Host host) {
        host.evidence = host.openUntil = 0;
    }

    private void strike(long now, Host host, double evidence) {
        host.evidence += evidence;
        if (host.evidence >= OPEN_AT && (host.openUntil == 0 || host.trial)) {
            host.openUntil = now + (long) (TRIAL_AFTER_NS * (0.8 + 0.4 * nextUnit()));
        }
    }

    /** A random number in [0, 1) from the seed. */
    double nextUnit() {
        random += 0x9e3779b97f4a7c15L;
        return (Candidates.mix(random) >>> 11) * 0x1.0p-53;
    }
}
