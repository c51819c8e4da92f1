package eiderscale.net;

import eiderscale.config.Catalog;
import eiderscale.config.ClientLimits;
import eiderscale.config.Config;
import eiderscale.config.DescriptorPlan;
import eiderscale.connections.ConnectionLimits;
import eiderscale.config.Site;
import eiderscale.Api;
import eiderscale.Learnt;
import eiderscale.Router;
import eiderscale.ledger.Budget;
import eiderscale.ledger.Ledger;
import eiderscale.ledger.StopPlan;
import eiderscale.maintenance.Maintenance;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One balancer, put together: everything it has lives on one event loop. */
public final class Node {
    /** A long answer that has begun is waited for so long past the end of a stop, unless the process is killed. */
    private static final long MOST_PAST_END = 60 * Clock.SECOND;
    private static final long LOOK_MS = 10;
    private static final long SWEEP_MS = 250;
    private static final int SWEEPS_PER_PRINT = 40;

    private final Config config;
    private final EventLoop loop;
    private final Counters counters = new Counters();
    private final Budget budget;
    /** One for each pool of hosts. */
    private final List<Balancer> balancers;
    private final Front front;
    private final ClientServer server;
    private final Maintenance maintenance = new Maintenance();
    private Runnable onSweep = () -> { };
    private boolean serves;
    private int sweeps;

    /** To be called on the loop, as all of this class; throws nothing that {@code config} does not cause. */
    public Node(Config config, EventLoop loop, Protocol protocol) {
        this(List.of(config), loop, protocol, Router::new);
    }

    /** With several pools of hosts, one for each of {@code configs}, of which the first tells all but the hosts. */
    public Node(List<Config> configs, EventLoop loop, Protocol protocol) {
        this(configs, loop, protocol, Router::new);
    }

    Node(Config config, EventLoop loop, Protocol protocol, Ledger.Module module) {
        this(List.of(config), loop, protocol, module);
    }

    private Node(List<Config> configs, EventLoop loop, Protocol protocol, Ledger.Module module) {
        this.config = configs.get(0);
        this.loop = loop;
        budget = new Budget(config.heldBytes());
        DescriptorPlan plan = config.plan();
        ClientLimits clients = config.clients();
        int links = Math.max(1, plan.links() / configs.size());
        balancers = configs.stream().map(one -> new Balancer(one, loop, counters, module, budget, protocol.hosts(), links,
                        maintenance))
                .toList();
        Budget answers = new Budget(config.heldBytes());
        front = protocol.front(budget, answers);
        server = new ClientServer(balancers, loop, counters, front,
                ConnectionLimits.of(plan.clients(), plan.surplus(), plan.easy(), clients.perSource(),
                        clients.perTenant(), clients.idle()), clients.halfClose(), answers);
    }

    /** Begins to listen at its first address: from then on it is ready to serve. */
    public ChannelFuture start() {
        loop.scheduleAtFixedRate(this::sweepSafely, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        return listen(config.listeners().get(0)).addListener(up -> serves = up.isSuccess());
    }

    /** Whether it takes clients: it listens, and has not been told to stop. */
    public boolean takesClients() {
        return serves;
    }

    /** Runs a task with each sweep, a few times a second. */
    public void onSweep(Runnable task) {
        onSweep = task;
    }

    /** Has unsafe requests claimed by their ids, of which another process may serve some. */
    public void claims(IdClaims shared) {
        balancers.forEach(balancer -> balancer.claims(shared));
    }

    /** The ids of unsafe requests that are open, or may have run and were never answered. */
    public List<String> unsafeIds() {
        return balancers.stream().flatMap(balancer -> balancer.unsafeIds().stream()).toList();
    }

    /** Goes on with discovery's list at once, as another process has had it until now. */
    public void watch() {
        balancers.get(0).watch();
    }

    /**
     * Nothing more to a host, named by its uid, until {@link #putBack}, whatever lists say. False, and nothing changed,
     * if neither lists nor calls have named it lately.
     */
    public boolean takeOut(String uid) {
        long host = Catalog.hash(uid);
        if (!knows(host) || !maintenance.takeOut(Clock.now(), host)) {
            return false;
        }
        retell(host);
        Counters.log("out by an operator: " + uid + ", " + maintenance.size() + " in all");
        return true;
    }

    /** Puts a host back that was taken out, and changes nothing for one that was not. False if it is not known. */
    public boolean putBack(String uid) {
        long host = Catalog.hash(uid);
        if (!knows(host)) {
            return false;
        }
        if (maintenance.isOut(host)) {
            maintenance.putBack(Clock.now(), host);
            retell(host);
            Counters.log("in by an operator: " + uid + ", " + maintenance.size() + " still out");
        }
        return true;
    }

    private boolean knows(long host) {
        return balancers.stream().anyMatch(balancer -> balancer.lists(host)) || maintenance.remembers(Clock.now(), host);
    }

    private void retell(long host) {
        balancers.forEach(balancer -> balancer.retell(host));
    }

    /** Operators' calls, for a process that serves beside this one or after it. */
    public List<Maintenance.Call> calls() {
        return maintenance.calls();
    }

    /** The settings in service. */
    public Site site() {
        return balancers.get(0).snapshot().site();
    }

    /** The list of hosts as it was told last; its version is negative where that counts for nothing. */
    public Catalog list() {
        return balancers.get(0).list();
    }

    /** Where that list comes from; null where nobody is asked. */
    public InetSocketAddress source() {
        return balancers.get(0).source();
    }

    /** What the decision module has learnt; null if it says nothing. */
    public Learnt learnt() {
        return balancers.get(0).learnt();
    }

    /** Takes over a list from the same source, unless the own one is newer. */
    public void recall(Catalog list) {
        balancers.get(0).recall(list);
    }

    /** Takes over what another module has learnt of the hosts that the list names. */
    public void recall(Learnt learnt) {
        balancers.get(0).recall(learnt);
    }

    /** Takes over operators' calls that another process has had. */
    public void merge(List<Maintenance.Call> calls) {
        maintenance.merge(calls).forEach(this::retell);
    }

    /** Where durable classes are kept on record; {@code run}: names this process. To be called before it starts. */
    public void journal(Journal journal, String run) {
        for (int i = 0; i < balancers.size(); i++) {
            balancers.get(i).journal(journal, run + "-" + i);
        }
    }

    /** Asks for the list at once, and begins nothing until that is told or takes too long: what is known of it may be old. */
    public void recheck() {
        balancers.forEach(Balancer::returns);
    }

    /** Lets other processes of the same user listen at its addresses as well; to be called before it starts. */
    public void share() {
        server.share();
    }

    /** Begins to listen at one of its further addresses. */
    public ChannelFuture listen(InetSocketAddress address) {
        return server.listen(address);
    }

    /** The loop drops a task that throws, and with this one connections would never be closed again. */
    private void sweepSafely() {
        try {
            sweep();
        } catch (RuntimeException | LinkageError e) {
            counters.unexpected("in the sweep", e);
        }
    }

    void sweep() {
        balancers.forEach(Balancer::sweep);
        server.sweep(SWEEP_MS * Clock.MILLISECOND);
        onSweep.run();
        if (++sweeps % SWEEPS_PER_PRINT == 0) {
            print();
        }
    }

    private void print() {
        counters.print(gauges());
    }

    /** What is open, held and waited for at present. */
    public String gauges() {
        return "clients " + server.clients() + " told-to-go " + server.toldToGo() + " held " + budget.held() + " out " + maintenance.size() + " "
                + String.join(" ", balancers.stream().map(Balancer::gauges).toList()) + " " + server.gauges() + front.gauges();
    }

    /** A list of hosts from elsewhere than discovery. */
    public void onList(Api.ListMode mode, List<Catalog.Member> members) {
        onList(0, mode, members);
    }

    /** The same for one of several pools, by its number. */
    public void onList(int pool, Api.ListMode mode, List<Catalog.Member> members) {
        balancers.get(pool).onList(mode, members);
    }

    /**
     * Serves new requests by another site's settings. Its kind of hosts and its names of zones must be those of
     * the present one: they cannot change under way.
     */
    public void renew(Site site) {
        renew(List.of(site));
    }

    /** The same for several pools, in the order of their numbers. */
    public void renew(List<Site> sites) {
        for (int i = 0; i < sites.size(); i++) {
            balancers.get(i).renew(sites.get(i));
        }
    }

    /** Follows discovery to another address. */
    public void moveDiscovery(InetSocketAddress address) {
        balancers.get(0).moveDiscovery(address);
    }

    /** How many hosts the lists name at present. */
    public int hosts() {
        return balancers.stream().mapToInt(Balancer::hosts).sum();
    }

    /** What has been counted since the start. */
    public Totals totals() {
        return counters.totals();
    }

    /** Stops in order, as the only part of its process. */
    public Future<Void> stop() {
        return stopBy(StopPlan.alone(Clock.now(), longestDeadline()));
    }

    /** Stops in order; the future is done when every request has been answered and every client is gone. */
    public Future<Void> stopBy(StopPlan plan) {
        serves = false;
        balancers.forEach(balancer -> balancer.endBy(plan.answerBy()));
        Promise<Void> done = loop.newPromise();
        loop.schedule(() -> {
            closeClients();
            await(done, plan.answerBy());
        }, plan.closeAt() - Clock.now(), TimeUnit.NANOSECONDS);
        return done;
    }

    /**
     * The same where another process serves in its place already: it listens no more, and its connections end right
     * behind an answer, as one that is closed at any other moment may cross a request. Those on which nothing is asked
     * go last.
     */
    public Future<Void> leave(StopPlan plan) {
        server.part();
        return stopBy(plan);
    }

    /** The longest deadline of the classes in service, over all pools; in nanoseconds. */
    public long longestDeadline() {
        return balancers.stream().mapToLong(Balancer::longestDeadline).max().orElse(0);
    }

    /** Takes no more clients, and tells those that are idle to go. */
    void closeClients() {
        server.close();
    }

    private int open() {
        return balancers.stream().mapToInt(Balancer::open).sum();
    }

    private void await(Promise<Void> done, long end) {
        if (server.clients() == 0 && open() == 0 || isOver(Clock.now() - end)) {
            print();
            done.setSuccess(null);
        } else {
            loop.schedule(() -> await(done, end), LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Whether nothing is waited for any longer, so much past the end. Every deadline has passed by then: what is still on its
     * way are long answers that have begun, which go on for as long as the process may live.
     */
    private boolean isOver(long pastEnd) {
        return pastEnd >= 0 && (pastEnd >= MOST_PAST_END || !server.isAnswering());
    }
}
