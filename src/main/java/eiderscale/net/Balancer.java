package eiderscale.net;

import eiderscale.config.Catalog;
import eiderscale.config.Config;
import eiderscale.config.Site;
import eiderscale.Api;
import eiderscale.Api.Reason;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Stands between the sockets and the decision module: the ledger of open requests and their attempts, and
 * the timers. It decides nothing: what is sent, repeated, refused or given up is the module's word.
 *
 * <p>All of it runs on the one event loop. Events reach the module one at a time: an outcome that an action
 * causes at once is queued and handed over when the module has returned, as the module is not reentrant.
 */
final class Balancer implements Api.Actions, HostPool.Listener, Discovery.Listener {
    /**
     * A client counts its wait from when it sent, not from when the request was read here, and the answer
     * has its way to go as well: this much is taken off, so that a final answer is there before it is overdue.
     */
    private static final long WAYS = 6 * Clock.MILLISECOND;
    /** Past its deadline by this, a request that the module has left open is answered here. */
    private static final long LAST_CALL = Clock.MILLISECOND;

    /** Makes the decision module, given where its actions go. */
    interface Module {
        Api.Events create(Api.Settings settings, long seed, Api.Actions actions);
    }

    private record Event(Exchange exchange, Runnable action) {
    }

    private final Site site;
    private final EventLoop loop;
    private final Counters counters;
    private final Api.Events router;
    private final HostPool pool;
    private final Discovery discovery;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    /** The ids of requests that are owed an answer. */
    private final Set<String> openIds = new HashSet<>();
    private final Budget budget;
    private final Queue<Event> events = new ArrayDeque<>();
    private boolean inModule;
    private long lastId;

    Balancer(Config config, EventLoop loop, Counters counters, Module module, Budget budget,
             int mostConnections) {
        this.budget = budget;
        this.site = config.site();
        this.loop = loop;
        this.counters = counters;
        this.pool = new HostPool(site, loop, counters, mostConnections, this);
        this.discovery = new Discovery(config, loop, this);
        this.router = module.create(site.settings, config.seed(), this);
        Catalog known = config.known();
        onList(Api.ListMode.CACHED, known.members());
    }

    // What comes in.

    /**
     * Takes a request, which is answered exactly once unless its client leaves first. Hosts know requests by
     * their ids alone: a second one under an open id could be served with what was made for the first.
     */
    Exchange take(Command command, Exchange.Client client) throws Command.Malformed {
        if (openIds.contains(command.opaque)) {
            throw new Command.Malformed("id is in use");
        }
        long now = Clock.now();
        long deadline = now + command.waitMs * Clock.MILLISECOND - WAYS;
        Exchange exchange = new Exchange(++lastId, command, deadline, client);
        counters.taken++;
        // Running out of room is told to the client: a refusal of what never went out does no harm.
        if (open() >= site.maxOpen || !budget.take(bytes(command))) {
            counters.localRefusals++;
            answerRefused(exchange, 0);
            return exchange;
        }
        exchanges.put(exchange.id, exchange);
        openIds.add(command.opaque);
        exchange.lastCall = loop.schedule(() -> lastCall(exchange), deadline + LAST_CALL - now,
                TimeUnit.NANOSECONDS);
        Api.Request request = new Api.Request(exchange.id, command.requestClass, command.tenant,
                command.keyNumber(), deadline, command.work, command.repeat, command.write);
        post(exchange, () -> router.onRequest(Clock.now(), request));
        return exchange;
    }

    private static int bytes(Command command) {
        return command.value == null ? 0 : command.value.length;
    }

    /** The client of an open request has closed its connection: nothing is owed any more. */
    void clientGone(Exchange exchange) {
        if (close(exchange)) {
            counters.clientsGone++;
            post(exchange, () -> router.onClientGone(Clock.now(), exchange.id));
        }
    }

    @Override
    public void onList(Api.ListMode mode, List<Catalog.Member> members) {
        pool.update(mode, members);
        List<Api.Server> servers = members.stream().map(Catalog.Member::server).toList();
        post(null, () -> router.onList(Clock.now(), mode, servers));
    }

    @Override
    public void onAnswer(Attempt attempt, Reason reason, MetaFrame answer) {
        end(attempt, reason, answer);
    }

    /** The configuration was replaced: of what it tells, where discovery is may change under way. */
    void reload(Config fresh) {
        discovery.moveTo(fresh.discovery());
    }

    Site site() {
        return site;
    }

    /** The number of requests that are owed an answer. */
    int open() {
        return openIds.size();
    }

    String gauges() {
        return "open " + open() + " ledger " + exchanges.size() + " " + pool.gauges();
    }

    /** Closes what the pool holds idle for too long; called once in a while. */
    void sweep() {
        pool.sweep();
    }

    // Events for the module, one at a time.

    private void post(Exchange exchange, Runnable action) {
        events.add(new Event(exchange, action));
        if (inModule) {
            return;
        }
        inModule = true;
        try {
            for (Event event = events.poll(); event != null; event = events.poll()) {
                deliver(event);
            }
        } finally {
            inModule = false;
        }
    }

    private void deliver(Event event) {
        try {
            event.action.run();
        } catch (RuntimeException e) {
            // A fault in the module must not take the other requests with it, nor leave this one open.
            counters.unexpected("unexpected exception", e);
            if (event.exchange != null) {
                settle(event.exchange);
            }
        }
        if (event.exchange != null) {
            forget(event.exchange);
        }
    }

    private void forget(Exchange exchange) {
        if (exchange.over && exchange.pending == 0 && exchanges.remove(exchange.id) != null) {
            budget.giveBack(bytes(exchange.command));
        }
    }

    /** The module has not answered in time; whatever the reason, the client must not be left without. */
    private void lastCall(Exchange exchange) {
        if (!exchange.over) {
            counters.lastCalls++;
            settle(exchange);
        }
    }

    /** Answers by the rules without the module: a refusal only where nothing can have run. */
    private void settle(Exchange exchange) {
        boolean mayRun = exchange.mayHaveRun || exchange.attempts.stream().anyMatch(Attempt::written);
        for (Attempt attempt : List.copyOf(exchange.attempts)) {
            drop(attempt, Reason.CANCELLED);
        }
        if (!exchange.over) {
            if (mayRun) {
                answerFailed(exchange);
            } else {
                answerRefused(exchange, 0);
            }
            post(exchange, () -> router.onClientGone(Clock.now(), exchange.id));
        }
    }

    private void drop(Attempt attempt, Reason reason) {
        if (!attempt.over) {
            pool.abandon(attempt);
            end(attempt, reason, null);
        }
    }

    /** Reports the one outcome of an attempt. */
    private void end(Attempt attempt, Reason reason, MetaFrame answer) {
        if (attempt.over) {
            return;
        }
        attempt.over = true;
        if (attempt.cut != null) {
            attempt.cut.cancel(false);
        }
        counters.outcome(reason);
        Exchange exchange = attempt.exchange;
        exchange.mayHaveRun |= !reason.neverRan;
        post(exchange, () -> {
            exchange.pending--;
            if (reason == Reason.OK && !exchange.over) {
                counters.served++;
                answer(exchange, answerLine(exchange.command, answer), answer.data());
            }
            float[] report = site.report(answer == null ? null : answer.flag(1, 'L'));
            long now = Clock.now();
            router.onOutcome(now, new Api.Outcome(exchange.id, attempt.number, reason, now - attempt.sentAt,
                    exchange.over, report));
        });
    }

    /** What a host answered, without what it tells balancers only. */
    private static String answerLine(Command command, MetaFrame answer) {
        return command.write ? "HD O" + command.opaque + " c" + answer.flag(1, 'c') + "\r\n"
                : "VA " + answer.data().length + " O" + command.opaque + "\r\n";
    }

    private void answerRefused(Exchange exchange, long retryAfterMs) {
        counters.refused++;
        answer(exchange, retryAfterMs > 0 ? "SERVER_ERROR busy " + retryAfterMs + "\r\n" : "SERVER_ERROR busy\r\n",
                null);
    }

    private void answerFailed(Exchange exchange) {
        counters.failed++;
        answer(exchange, "SERVER_ERROR failed\r\n", null);
    }

    private void answer(Exchange exchange, String line, byte[] data) {
        if (close(exchange)) {
            exchange.client.answer(line, data);
        }
    }

    /** True the first time; a request that found no room was never in the ledger, and its id is its own. */
    private boolean close(Exchange exchange) {
        if (!exchange.close()) {
            return false;
        }
        if (exchanges.containsKey(exchange.id)) {
            openIds.remove(exchange.command.opaque);
        }
        return true;
    }

    // What the module asks for, carried out in its order.

    @Override
    public void send(long request, long server, long cutAt) {
        Exchange exchange = exchanges.get(request);
        if (exchange == null) {
            counters.noise("send for a request that is over: " + request);
            return;
        }
        long now = Clock.now();
        long cut = cutAt <= 0 ? exchange.deadline : Math.min(cutAt, exchange.deadline);
        Attempt attempt = new Attempt(exchange, exchange.attempts.size(), now, cut);
        exchange.attempts.add(attempt);
        exchange.pending++;
        boolean tooMany = exchange.attempts.size() > site.settings.maxAttempts();
        if (exchange.over || tooMany || now >= exchange.deadline) {
            end(attempt, Reason.MOOT, null);
        } else if (now >= cut) {
            end(attempt, Reason.TIMEOUT, null);
        } else {
            attempt.cut = loop.schedule(() -> cut(attempt), cut - now, TimeUnit.NANOSECONDS);
            pool.send(attempt, server);
        }
    }

    private void cut(Attempt attempt) {
        counters.timer(Clock.now() - attempt.cutAt);
        // What never left cannot have run: its connection did not come up in time.
        drop(attempt, attempt.written() ? Reason.TIMEOUT : Reason.CONNECT_FAILED);
    }

    @Override
    public void cancel(long request, int attempt) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && attempt < exchange.attempts.size()) {
            drop(exchange.attempts.get(attempt), Reason.CANCELLED);
        }
    }

    @Override
    public void refuse(long request, long retryAfter) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && !exchange.over) {
            long most = site.settings.retryAfter() ? Math.min(retryAfter, site.settings.maxRetryAfter()) : 0;
            answerRefused(exchange, (most + Clock.MILLISECOND - 1) / Clock.MILLISECOND);
        }
    }

    @Override
    public void fail(long request) {
        Exchange exchange = exchanges.get(request);
        if (exchange != null && !exchange.over) {
            answerFailed(exchange);
        }
    }

    @Override
    public void wakeAt(long moment, int token) {
        long delay = Math.max(0, moment - Clock.now());
        loop.schedule(() -> {
            counters.timer(Clock.now() - moment);
            post(null, () -> router.onTimer(Clock.now(), token));
        }, delay, TimeUnit.NANOSECONDS);
    }

    @Override
    public void closeIdle(long server) {
        pool.closeIdle(server);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }
}
