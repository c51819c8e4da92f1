package eiderscale;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** A test bed: a router with a set clock, recorded actions and short ways to say events. */
final class Bed implements Api.Actions {
    static final long MS = 1_000_000L;
    static final int READ = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;
    static final long NO_LIMIT = 0;

    record Sent(long request, int attempt, long server, long cutAt, long at) {
    }

    record Refused(long request, long retryAfter) {
    }

    record Wake(long moment, int token) {
    }

    final List<Sent> sends = new ArrayList<>();
    final List<String> cancels = new ArrayList<>();
    final List<Refused> refusals = new ArrayList<>();
    final List<Long> failures = new ArrayList<>();
    final List<Long> closed = new ArrayList<>();
    final List<Wake> wakes = new ArrayList<>();
    int subscriptions;
    long now = 1_000_000 * MS;
    final Api.Settings settings;
    final Router router;

    Bed(SettingsBuilder builder) {
        this(builder, 7);
    }

    Bed(SettingsBuilder builder, long seed) {
        settings = builder.build();
        router = new Router(settings, seed, this);
    }

    @Override
    public void send(long request, long server, long cutAt) {
        int attempt = (int) sends.stream().filter(s -> s.request == request).count();
        sends.add(new Sent(request, attempt, server, cutAt, now));
    }

    @Override
    public void cancel(long request, int attempt) {
        cancels.add(request + "/" + attempt);
    }

    @Override
    public void refuse(long request, long retryAfter) {
        refusals.add(new Refused(request, retryAfter));
    }

    @Override
    public void fail(long request) {
        failures.add(request);
    }

    @Override
    public void wakeAt(long moment, int token) {
        wakes.add(new Wake(moment, token));
    }

    @Override
    public void closeIdle(long server) {
        closed.add(server);
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }

    boolean refused(long request) {
        return refusals.stream().anyMatch(r -> r.request == request);
    }

    static Api.Server server(long id) {
        return new Api.Server(id, 0, 0, 0, Api.State.READY, 1, 0);
    }

    static Api.Server server(long id, Api.State state, long startedAt) {
        return new Api.Server(id, 0, 0, 0, state, 1, startedAt);
    }

    static Api.Server origin(long id) {
        return new Api.Server(id, 0, 2, 0, Api.State.READY, 1, 0);
    }

    /** A bed in aside mode with some caches and origin 99. */
    static Bed aside(int caches) {
        SettingsBuilder builder = new SettingsBuilder();
        builder.aside = true;
        List<Api.Server> list = new ArrayList<>();
        for (int i = 1; i <= caches; i++) {
            list.add(server(i));
        }
        list.add(origin(99));
        return new Bed(builder).list(list);
    }

    Bed servers(int count) {
        List<Api.Server> list = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            list.add(server(i));
        }
        return list(list);
    }

    Bed list(List<Api.Server> servers) {
        router.onList(now, Api.ListMode.FULL, servers);
        return this;
    }

    Bed delta(Api.Server... servers) {
        router.onList(now, Api.ListMode.DELTA, List.of(servers));
        return this;
    }

    Sent request(long id, int requestClass, long key) {
        return request(id, requestClass, key, 0, false);
    }

    Sent request(long id, int requestClass, long key, int tenant, boolean repeat) {
        int before = sends.size();
        long deadline = now + settings.classes().get(requestClass).deadline() / 2;
        router.onRequest(now, new Api.Request(id, requestClass, tenant, key, deadline, 0, repeat,
                requestClass != READ));
        return sends.size() > before ? sends.get(before) : null;
    }

    /** Reports an end; returns the send that it caused, if any. */
    Sent outcome(long id, int attempt, Api.Reason reason) {
        int before = sends.size();
        router.onOutcome(now, new Api.Outcome(id, attempt, reason, 0, reason == Api.Reason.OK, new float[0]));
        return sends.size() > before ? sends.get(before) : null;
    }

    /** Ends every attempt of a request alike, those that follow one another included. */
    void endAll(long id, Api.Reason reason) {
        for (int attempt = 0; attempt < settings.maxAttempts(); attempt++) {
            outcome(id, attempt, reason);
        }
    }

    /** Slows the origin by writes that take nearly the aim. */
    void slowOrigin() {
        for (long id = 2_000_000; id < 2_000_040; id++) {
            request(id, KEYED, id);
            pass(900);
            outcome(id, 0, Api.Reason.OK);
        }
    }

    /** Opens the breaker of the host nearest to key 5 with requests 1 and 2; returns the host. */
    long openBreaker() {
        long dead = 0;
        for (long id = 1; id <= 2; id++) {
            dead = request(id, READ, 5).server();
            outcome(id, 0, Api.Reason.CONNECT_FAILED);
            outcome(id, 1, Api.Reason.OK);
        }
        return dead;
    }

    /** Moves the clock, firing the timers that fall due on the way. */
    void pass(long ms) {
        long until = now + ms * MS;
        while (true) {
            Wake next = null;
            for (Wake wake : wakes) {
                if (wake.moment <= until && (next == null || wake.moment < next.moment)) {
                    next = wake;
                }
            }
            if (next == null) {
                now = until;
                return;
            }
            wakes.remove(next);
            now = Math.max(now, next.moment);
            router.onTimer(now, next.token);
        }
    }

    /** Serves reads of 10 ms so that the digest holds a full sample. */
    void warmDigest(int count) {
        for (int i = 0; i < count; i++) {
            long id = 1_000_000 + i;
            Objects.requireNonNull(request(id, READ, 10_000 + i));
            pass(10);
            outcome(id, 0, Api.Reason.OK);
        }
        sends.clear();
        cancels.clear();
    }

    /** Settings for tests: three classes (read, keyed write, unsafe write), changed field by field. */
    static final class SettingsBuilder {
        boolean aside;
        boolean subscribe;
        boolean mayDuplicate = true;
        int maxAttempts = 6;
        int rank;
        int instances = 1;
        double lateWorth;
        Api.Group group = Api.Group.ALL;
        List<Api.Tenant> tenants = List.of();
        double overShareWorth = 1;
        boolean ordered;
        boolean retry = true;
        boolean hedge = true;
        int candidates = Api.Settings.CANDIDATES;
        double quantile = Api.Settings.HEDGE_QUANTILE;
        Api.Budget budget;
        Api.ReportLayout report = new Api.ReportLayout(-1, -1, -1);

        Api.Settings build() {
            List<Api.RequestClass> classes = List.of(
                    new Api.RequestClass(1000 * MS, 0, 4000 * MS, 3, lateWorth, Api.Effect.RETRYABLE,
                            Api.Group.ALL, 0, false, false, retry, hedge),
                    new Api.RequestClass(1000 * MS, 0, 4000 * MS, 9, lateWorth, Api.Effect.DEDUP, group,
                            500 * MS, false, ordered),
                    new Api.RequestClass(1000 * MS, 0, 4000 * MS, 5, lateWorth, Api.Effect.FRAGILE,
                            Api.Group.CELL, 0, false, false));
            return new Api.Settings(classes, tenants, 0, rank, instances, aside, aside ? 2 : -1, subscribe,
                    maxAttempts, mayDuplicate, true, true, 2000 * MS, 250 * MS, 10_000 * MS,
                    0.2, 10_000 * MS, 4, 1000 * MS, overShareWorth,
                    50 * MS, budget, report, quantile, candidates);
        }
    }
}
