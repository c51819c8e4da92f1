package eiderscale.net;

import eiderscale.Api;
import eiderscale.Api.Reason;
import eiderscale.Learnt;
import eiderscale.config.Catalog;
import eiderscale.config.Config;
import eiderscale.config.Site;
import eiderscale.ledger.Attempt;
import eiderscale.ledger.Budget;
import eiderscale.ledger.Due;
import eiderscale.ledger.Exchange;
import eiderscale.ledger.Ledger;
import eiderscale.ledger.LedgerActions;
import eiderscale.ledger.Taken;
import eiderscale.maintenance.Maintenance;
import eiderscale.recovery.Heartbeat;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Drives the ledger of one pool of hosts by sockets: connections, discovery and the timers of the loop. It decides nothing:
 * what becomes of a request is the ledger's matter, what is sent, repeated, refused or given up the module's word.
 */
final class Balancer implements Core, HostPool.Listener, Discovery.Listener,
        LedgerActions<Request, Client, HostPool.Link, Answer> {
    /** A sweep that is overdue by this was kept by a standstill: as long as drains give, as lists may be older than that then. */
    private static final long STOOD = Clock.SECOND;
    /** Begins the ids that balancers make up. */
    private static final char OWN_ID = '~';

    private final Ledger<Request, Client, HostPool.Link, Answer> ledger;
    /** The hosts as the lists have told them. */
    private final Map<Long, Catalog.Member> members = new LinkedHashMap<>();
    private final SplittableRandom seeds;
    private final Timers timers;
    private final Counters counters;
    private final AttemptLog log;
    private final HostPool pool;
    private final Discovery discovery;
    /** Null until it beats for the first time: a start that is slow is no standstill, and discovery is asked in turn then. */
    private Heartbeat heartbeat;
    private final EventLoop loop;
    private Journal journal;
    private IdClaims claims = IdClaims.NONE;
    /** It asks though nobody has watched yet. */
    private boolean returning;
    private String journalRun = "";
    /** In service. */
    private Snapshot snapshot;
    private long lastOwnId;

    Balancer(Config config, EventLoop loop, Counters counters, Ledger.Module module, Budget budget,
             HostProtocol protocol, int mostConnections, Maintenance maintenance) {
        Site site = config.site();
        this.snapshot = new Snapshot(site);
        this.timers = new Timers(loop, counters, this::look);
        this.loop = loop;
        this.counters = counters;
        this.log = new AttemptLog(counters);
        this.pool = new HostPool(site, loop, counters, protocol, mostConnections, this);
        this.discovery = new Discovery(config, loop, this);
        this.seeds = new SplittableRandom(config.seed());
        this.ledger = new Ledger<>(snapshot, config.seed(), module, this, counters.ledger, budget, maintenance);
        onList(Api.ListMode.CACHED, config.known().members());
    }

    // What fronts ask.

    @Override
    public boolean isOpen(String id) {
        return ledger.isOpen(id);
    }

    @Override
    public boolean isSpent(String id) {
        return ledger.isSpent(Clock.now(), id);
    }

    @Override
    public IdClaims claims() {
        return claims;
    }

    void claims(IdClaims shared) {
        claims = shared;
    }

    List<String> unsafeIds() {
        return ledger.unsafeIds(Clock.now());
    }

    @Override
    public Taken take(Request request, Client client) {
        look();
        return ledger.take(Clock.now(), request, client);
    }

    @Override
    public Snapshot snapshot() {
        return snapshot;
    }

    @Override
    public String ownId() {
        return OWN_ID + Long.toString(++lastOwnId, Character.MAX_RADIX);
    }

    @Override
    public long deadline(long waitMs) {
        return ledger.deadline(Clock.now(), waitMs * Clock.MILLISECOND);
    }

    @Override
    public void joined(Snapshot settings, int tenant) {
        ledger.joined(Clock.now(), settings, tenant);
    }

    // Hosts, as lists and operators have them.

    @Override
    public void onList(Api.ListMode mode, List<Catalog.Member> told) {
        look();
        pool.update(mode, told);
        if (mode == Api.ListMode.FULL || mode == Api.ListMode.CACHED) {
            members.clear();
        }
        for (Catalog.Member member : told) {
            if (member.server().state() == Api.State.GONE) {
                members.remove(member.server().id());
            } else {
                members.put(member.server().id(), member);
            }
        }
        ledger.onList(Clock.now(), mode, told.stream().map(Catalog.Member::server).toList());
    }

    @Override
    public void onRechecked() {
        ledger.rechecked(Clock.now());
    }

    /** Whether lists name a host at present. */
    boolean lists(long host) {
        return ledger.lists(host);
    }

    /** What operators say of a host has changed. */
    void retell(long host) {
        ledger.retell(Clock.now(), host);
    }

    int hosts() {
        return members.size();
    }

    /** Discovery is to be found elsewhere. */
    void moveDiscovery(InetSocketAddress address) {
        discovery.moveTo(address);
    }

    /** Follows discovery's list from now on, without waiting for the module's turn. */
    void watch() {
        discovery.subscribe();
    }

    /** Where the list comes from: null where nobody is asked. */
    InetSocketAddress source() {
        return discovery.address();
    }

    // Settings and knowledge.

    /** Serves by other settings from here on. */
    void renew(Site fresh) {
        snapshot = new Snapshot(fresh);
        pool.renew(fresh);
        discovery.renew(fresh);
        ledger.renew(Clock.now(), snapshot, seeds.nextLong());
    }

    /** The list as it was told last. */
    Catalog list() {
        return new Catalog(discovery.rev(), true, List.copyOf(members.values()));
    }

    /** What the module has learnt; null if it says nothing. */
    Learnt learnt() {
        return ledger.learnt(Clock.now());
    }

    /** Takes over the list that another process was told, from the same source, unless the own one is newer. */
    void recall(Catalog list) {
        if (list.rev() >= discovery.rev()) {
            discovery.goOn(list.rev());
            onList(Api.ListMode.CACHED, list.members());
        }
    }

    /** Takes over what another module has learnt. */
    void recall(Learnt learnt) {
        ledger.recall(Clock.now(), learnt);
    }

    /** Nothing may stay open past a moment, neither what is open by now nor what comes from here on. */
    void endBy(long moment) {
        ledger.endBy(Clock.now(), moment);
    }

    /** The longest deadline of the classes in service, in nanoseconds. */
    long longestDeadline() {
        return ledger.longestDeadline();
    }

    /** The number of requests that are owed an answer. */
    int open() {
        return ledger.open();
    }

    String gauges() {
        return "open " + open() + " ledger " + ledger.size() + (ledger.generations() > 1 ? " settings " + ledger.generations() : "") + (ledger.waiting() > 0 ? " waiting " + ledger.waiting() : "") + " timers " + timers.size() + " " + pool.gauges();
    }

    /** Closes what the pool holds idle for too long; called a few times a second. */
    void sweep() {
        if (heartbeat == null) {
            heartbeat = new Heartbeat(Clock.now(), STOOD);
        } else if (heartbeat.beat(Clock.now())) {
            stoodStill();
        }
        pool.sweep();
    }

    /** Whether this is the first event behind a standstill. */
    private void look() {
        if (heartbeat != null && heartbeat.isFirst(Clock.now())) {
            stoodStill();
        }
    }

    /** It has come back with a list from before. */
    void returns() {
        returning = true;
        ledger.stoodStill(Clock.now());
        returning = false;
    }

    private void stoodStill() {
        Counters.log("stood still: asks for the list before it goes on");
        ledger.stoodStill(Clock.now());
    }

    // What becomes of attempts.

    @Override
    public void onAnswer(Attempt<Request, Client, HostPool.Link, Answer> attempt, Reason reason, Answer answer) {
        Site its = attempt.exchange().work().snapshot().site();
        ledger.ended(Clock.now(), attempt, reason, answer, its.report(answer == null ? null : answer.loadReport()),
                answer == null ? Api.Lookup.UNTOLD : answer.lookup());
    }

    @Override
    public void onBegun(Attempt<Request, Client, HostPool.Link, Answer> attempt, Answer answer) {
        ledger.begun(Clock.now(), attempt, answer);
    }

    @Override
    public boolean isLeaving(long host) {
        return ledger.isLeaving(host);
    }

    @Override
    public Reason attributed(Attempt<Request, Client, HostPool.Link, Answer> attempt, Reason told) {
        return ledger.attributed(attempt, told);
    }

    @Override
    public Reason hindrance(Attempt<Request, Client, HostPool.Link, Answer> attempt) {
        // A machine may stop between two lines of one turn: the last look is right before the bytes leave.
        look();
        return ledger.hindrance(Clock.now(), attempt);
    }

    // What the ledger asks for.

    @Override
    public void send(Attempt<Request, Client, HostPool.Link, Answer> attempt, long host) {
        log.follows(attempt);
        pool.send(attempt, host);
    }

    @Override
    public void abandon(Attempt<Request, Client, HostPool.Link, Answer> attempt) {
        pool.abandon(attempt);
    }

    @Override
    public boolean isWritten(Attempt<Request, Client, HostPool.Link, Answer> attempt) {
        return attempt.link() != null && attempt.link().written();
    }

    @Override
    public boolean isHeldBack(Attempt<Request, Client, HostPool.Link, Answer> attempt) {
        return attempt.link() != null && attempt.link().isHeldBack();
    }

    @Override
    public void served(Exchange<Request, Client, HostPool.Link, Answer> exchange, Answer answer) {
        exchange.client().served(answer);
    }

    @Override
    public void refused(Exchange<Request, Client, HostPool.Link, Answer> exchange, long wait) {
        log.unanswered(exchange, "refused");
        exchange.client().refused(Snapshot.milliseconds(wait), exchange.last());
    }

    @Override
    public void failed(Exchange<Request, Client, HostPool.Link, Answer> exchange) {
        log.unanswered(exchange, "failed");
        exchange.client().failed(exchange.last());
    }

    @Override
    public void arm(Due timer, long at) {
        timers.set(timer, at);
    }

    @Override
    public void disarm(Due timer) {
        timers.cancel(timer);
    }

    @Override
    public void closeIdle(long host) {
        pool.closeIdle(host);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }

    /** Where durable classes are kept on record; {@code run}: names this process and pool. */
    void journal(Journal kept, String run) {
        journal = kept;
        journalRun = run;
    }

    private String entryOf(Exchange<Request, Client, HostPool.Link, Answer> exchange) {
        return journalRun + "." + exchange.number();
    }

    @Override
    public void record(Exchange<Request, Client, HostPool.Link, Answer> exchange) {
        if (journal == null) {
            ledger.unrecorded(Clock.now(), exchange);
            return;
        }
        Request work = exchange.work();
        Site its = work.snapshot().site();
        byte[] entry = Entry.of(its.className(work.requestClass()), work.id(), work.label(), Clock.now());
        journal.enter(entryOf(exchange), entry, () -> loop.execute(() -> ledger.recorded(Clock.now(), exchange)),
                () -> loop.execute(() -> ledger.unrecorded(Clock.now(), exchange)));
    }

    @Override
    public void unrecord(Exchange<Request, Client, HostPool.Link, Answer> exchange, boolean told) {
        if (told) {
            journal.leave(entryOf(exchange));
        }
    }

    @Override
    public boolean recheck() {
        return returning ? discovery.ask() : discovery.recheck();
    }

    @Override
    public void unexpected(RuntimeException thrown) {
        counters.unexpected("unexpected exception", thrown);
    }
}
