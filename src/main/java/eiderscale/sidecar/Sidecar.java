package eiderscale.sidecar;

import eiderscale.Api;
import eiderscale.config.AppFile;
import eiderscale.config.Catalog;
import eiderscale.config.Change;
import eiderscale.config.Config;
import eiderscale.config.ConfigException;
import eiderscale.config.HostList;
import eiderscale.config.Problem;
import eiderscale.config.Site;
import eiderscale.control.ControlServer;
import eiderscale.datagrams.MemberServer;
import eiderscale.handover.Duty;
import eiderscale.handover.Succession;
import eiderscale.knowledge.Knowledge;
import eiderscale.http.HttpProtocol;
import eiderscale.meta.MetaProtocol;
import eiderscale.knowledge.Recalled;
import eiderscale.net.Clock;
import eiderscale.net.Counters;
import eiderscale.net.Node;
import eiderscale.net.Totals;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * One application's balancer, put together from its file. Files are read and checked on a thread of their own, one
 * after the other, and what is good is handed to the loop, which owns the balancer.
 */
public final class Sidecar {
    /** Lines that one bad file may put into the log. */
    private static final int MOST_LINES = 20;

    private final Path file;
    private final EventLoop loop;
    private final Consumer<String> log;
    /** Serves the meta protocol; null where the file has no listener for that. */
    private final Node node;
    /** Serves HTTP; null where the file has no listener for that. */
    private final Node http;
    private final List<InetSocketAddress> addresses;
    private final List<InetSocketAddress> httpAddresses;
    private final InetSocketAddress control;
    private final Duty duty;
    /** Null where nothing is kept. */
    private final State state;
    /** Null where it is nobody's member. */
    private final MemberServer members;
    private final ScheduledExecutorService files;
    /** Files thread only, from here on. */
    private AppFile current;
    private final HostsFile hostsFile;
    /** Loop only: the settings in service. */
    private Site site;
    /** Loop only: those of the HTTP part, one for each pool. */
    private List<Site> httpSites;

    private Sidecar(Path file, AppFile app, InetSocketAddress control, EventLoop loop, Consumer<String> log)
            throws InterruptedException, ExecutionException, IOException {
        this.file = file;
        this.current = app;
        this.loop = loop;
        this.log = log;
        HostsFile watched = app.hostsFile() == null || !app.servesMeta() ? null
                : new HostsFile(file.toAbsolutePath().resolveSibling(app.hostsFile()), log);
        HostList first = watched == null ? null : watched.first(app);
        this.hostsFile = watched;
        // Unlike on the platform there is no seed to be handed in: balancers that start together must differ.
        long seed = System.nanoTime() ^ ProcessHandle.current().pid() << 32;
        Config config = app.config(seed, null);
        this.site = config.site();
        List<Config> httpConfigs = app.httpConfigs(seed, List.of());
        this.httpSites = httpConfigs.stream().map(Config::site).toList();
        this.node = !app.servesMeta() ? null : loop.submit(() -> {
            Node made = new Node(config, loop, new MetaProtocol(site.hostKind));
            if (first != null) {
                made.onList(Api.ListMode.FULL, first.members(site));
            }
            return made;
        }).get();
        this.http = httpConfigs.isEmpty() ? null : loop.submit(() -> new Node(httpConfigs, loop,
                new HttpProtocol(httpSites.get(0).http.limits()))).get();
        List<Node> nodes = Stream.of(node, http).filter(Objects::nonNull).toList();
        Succession succession = Succession.enter(folder(file, app), app.application());
        Knowledge told = Duty.ask(succession, app.application(), seed);
        this.duty = loop.submit(() -> Duty.take(nodes, app.application(), succession, told)).get();
        this.state = app.stateFolder() == null ? null : State.open(file.toAbsolutePath().resolveSibling(app.stateFolder()),
                app.application(), log);
        Peers peers = app.peers().isEmpty() ? null : new Peers(app.application(), control, app.peers(), seed, log);
        // A process that still serves knows better than the disk, and one's own folder better than another instance.
        Recalled heard = peers != null && told == null && (state == null || !state.isOwn()) ? peers.first() : null;
        Recalled kept = state != null && told == null ? state.recalled(app.stateList()) : null;
        loop.submit(() -> {
            if (heard != null) {
                duty.recall(heard);
            }
            if (state != null) {
                begin(nodes, kept);
            }
            if (peers != null) {
                duty.onAsked(() -> peers.answer(Clock.now(), duty::record));
            }
        }).get();
        if (succession.hasPlace()) {
            nodes.forEach(Node::share);
        }
        this.addresses = node == null ? List.of() : listen(node, config);
        this.httpAddresses = http == null ? List.of() : listen(http, httpConfigs.get(0));
        this.control = control == null ? null : bound(loop.submit(() -> new ControlServer(loop, duty).listen(control)).get(),
                control);
        this.files = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "files");
            thread.setDaemon(true);
            return thread;
        });
        this.members = app.memberListener() == null ? null : MemberServer.start(loop, app.application(), app.memberName(),
                app.memberListener(), state == null ? Clock.now() / Clock.SECOND : state.incarnation(), app.memberSeeds(), seed, Clock::now,
                view -> log.accept("members: " + view.members().size() + " of " + view.known() + " are here, epoch " + view.epoch()));
        if (members != null) {
            log.accept("members: " + app.memberName() + " listens on " + members.address().getAddress().getHostAddress() + ":"
                    + members.address().getPort());
            loop.submit(() -> duty.onMembers(members::text)).get();
        }
        if (peers != null && told == null && heard == null && (state == null || !state.isOwn())) {
            peers.goOn(files, later -> loop.execute(() -> duty.recall(later)));
        }
        if (state != null) {
            files.scheduleWithFixedDelay(this::keep, app.stateEvery(), app.stateEvery(), TimeUnit.NANOSECONDS);
        }
        if (watched != null) {
            files.scheduleWithFixedDelay(this::look, app.hostsPoll(), app.hostsPoll(), TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Starts serving; returns when all its listeners are up. Throws {@link ConfigException} for a file that cannot
     * be used, {@link IOException} where it cannot listen or the file asks for more than this process has.
     */
    public static Sidecar start(Path file, EventLoop loop, Consumer<String> log)
            throws InterruptedException, ExecutionException, IOException {
        return start(file, null, loop, log);
    }

    /** The same; {@code control}: where operators call, in place of what the file says, or null. */
    public static Sidecar start(Path file, InetSocketAddress control, EventLoop loop, Consumer<String> log)
            throws InterruptedException, ExecutionException, IOException {
        AppFile app = read(file);
        if (!app.isGood()) {
            throw new ConfigException(faults(file, app.problems()));
        }
        app.problems().forEach(problem -> log.accept(file + ":" + problem.text()));
        ProcessLimits.check(app);
        return new Sidecar(file, app, control != null ? control : app.control(), loop, log);
    }

    /** What processes of this balancer share; null where the file names nothing. */
    private static Path folder(Path file, AppFile app) throws IOException {
        if (app.sharedFolder() == null) {
            return null;
        }
        Path folder = file.toAbsolutePath().resolveSibling(app.sharedFolder());
        if (!Files.isDirectory(folder)) {
            throw new IOException(file + ": operators.folder: there is no folder " + folder);
        }
        return folder;
    }

    /** Reads and checks a file; throws {@link ConfigException} if there is none to read. */
    public static AppFile read(Path file) {
        try {
            return AppFile.read(Bytes.of(file), name -> {
                try {
                    return Files.isRegularFile(file.toAbsolutePath().resolveSibling(name));
                } catch (java.nio.file.InvalidPathException e) {
                    return false;
                }
            });
        } catch (IOException e) {
            throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
        }
    }

    static String faults(Path file, List<Problem> problems) {
        List<String> lines = new ArrayList<>();
        for (Problem problem : problems) {
            if (problem.severity() == Problem.Severity.ERROR) {
                lines.add(file + ":" + problem.text());
            }
        }
        int more = lines.size() - MOST_LINES;
        if (more > 0) {
            lines = new ArrayList<>(lines.subList(0, MOST_LINES));
            lines.add(file + ": and " + more + " more");
        }
        return String.join("\n", lines);
    }

    private List<InetSocketAddress> listen(Node node, Config config)
            throws InterruptedException, ExecutionException, IOException {
        List<InetSocketAddress> bound = new ArrayList<>();
        for (int i = 0; i < config.listeners().size(); i++) {
            InetSocketAddress address = config.listeners().get(i);
            boolean isFirst = i == 0;
            bound.add(bound(loop.submit(() -> isFirst ? node.start() : node.listen(address)).get(), address));
        }
        return List.copyOf(bound);
    }

    private static InetSocketAddress bound(ChannelFuture up, InetSocketAddress address) throws InterruptedException, IOException {
        if (!up.await().isSuccess()) {
            throw new IOException("cannot listen on " + address.getAddress().getHostAddress() + ":"
                    + address.getPort() + ": " + up.cause().getMessage());
        }
        return (InetSocketAddress) up.channel().localAddress();
    }

    /** Where operators call; null for nowhere. */
    public InetSocketAddress control() {
        return control;
    }

    /** Where it listens, in the order of the file. */
    public List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** Where it listens for HTTP, in the order of the file; none if it does not. */
    public List<InetSocketAddress> httpAddresses() {
        return httpAddresses;
    }

    /** Reads the file again, as at SIGHUP; a bad one changes nothing. The future is done when it is in service. */
    public java.util.concurrent.Future<?> reload() {
        return files.submit(this::reloadNow);
    }

    private void reloadNow() {
        try {
            AppFile fresh = read(file);
            String refusal = refusal(fresh);
            if (refusal != null) {
                log.accept("the old configuration stays: " + refusal);
                return;
            }
            List<Change> changes = current.changes(fresh);
            fresh.problems().forEach(problem -> log.accept(file + ":" + problem.text()));
            loop.submit(() -> take(fresh, changes)).get();
            current = fresh;
            log.accept("reloaded " + file + ": " + changes.size() + " changes");
        } catch (ConfigException e) {
            log.accept("the old configuration stays: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | RuntimeException e) {
            log.accept("the old configuration stays: unexpected " + e);
        }
    }

    /** Why a file is not taken, or null. */
    private String refusal(AppFile fresh) {
        if (current.isMarked() && !fresh.isMarked()) {
            return file + ": it lacks its last line, as if it were only half written";
        }
        if (!fresh.isGood()) {
            return faults(file, fresh.problems());
        }
        List<String> restarts = current.changes(fresh).stream().filter(Change::restart).map(Change::key).toList();
        return restarts.isEmpty() ? null : file + ": needs a restart for " + String.join(", ", restarts);
    }

    /** On the loop. */
    private void take(AppFile fresh, List<Change> changes) {
        if (http != null) {
            takeHttp(fresh, changes);
        }
        if (node != null) {
            takeMeta(fresh, changes);
        }
    }

    private void takeHttp(AppFile fresh, List<Change> changes) {
        List<Config> configs = fresh.httpConfigs(0, httpSites);
        if (!changes.stream().allMatch(change -> change.key().contains(".hosts."))) {
            httpSites = configs.stream().map(Config::site).toList();
            http.renew(httpSites);
        }
        for (int i = 0; i < configs.size(); i++) {
            http.onList(i, Api.ListMode.FULL, configs.get(i).known().members());
        }
    }

    private void takeMeta(AppFile fresh, List<Change> changes) {
        Config config = fresh.config(0, site);
        boolean lists = changes.stream().allMatch(change -> change.key().startsWith("pool.hosts.")
                || change.key().startsWith("http")
                || change.key().equals("pool.discovery"));
        if (!lists) {
            site = config.site();
            node.renew(site);
        }
        if (fresh.hasOwnHosts()) {
            List<Catalog.Member> members = config.known().members();
            node.onList(Api.ListMode.FULL, members);
        }
        if (config.discovery() != null) {
            node.moveDiscovery(config.discovery());
        }
    }

    /** On the loop: takes over what was kept, and keeps what comes. */
    private void begin(List<Node> nodes, Recalled kept) {
        if (kept != null) {
            boolean listed = duty.recall(kept);
            log.accept("state: believes " + kept.calls().size() + " calls, " + (kept.learnt() == null ? 0 : kept.learnt().hosts().size())
                    + " hosts' words" + (listed ? ", and a list, which is asked anew first" : ""));
            if (listed) {
                nodes.get(0).recheck();
            }
        }
        state.sign(duty.called(), duty.record());
        duty.onCalls(state::keepCalls);
        for (Node one : nodes) {
            one.journal(state.journal(loop), state.run());
        }
    }

    private void keep() {
        try {
            boolean wasOpen = state.isOpen();
            state.tryOpen();
            if (!wasOpen && state.isOpen()) {
                loop.submit(() -> begin(Stream.of(node, http).filter(Objects::nonNull).toList(), null)).get();
            }
            if (state.isOpen()) {
                state.keep(loop.submit(duty::record).get());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | RuntimeException e) {
            log.accept("state: not kept: unexpected " + e);
        }
    }

    /** Looks whether the file of hosts has changed. */
    private void look() {
        try {
            HostList fresh = hostsFile.changed(current);
            if (fresh != null) {
                loop.submit(() -> node.onList(Api.ListMode.FULL, fresh.members(site))).get();
                log.accept(fresh.size() + " hosts by the file of hosts");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | RuntimeException e) {
            // An exception would end the schedule, and the hosts would never change again.
            log.accept("the old hosts stay: unexpected " + e);
        }
    }

    /** How many hosts it knows; none while discovery has yet to answer. */
    public int hosts() throws InterruptedException, ExecutionException {
        return loop.submit(() -> (node == null ? 0 : node.hosts()) + (http == null ? 0 : http.hosts())).get();
    }

    /** What has been counted since the start. */
    public Totals totals() throws InterruptedException, ExecutionException {
        return loop.submit((node == null ? http : node)::totals).get();
    }

    /** The same of its HTTP part. */
    public Totals httpTotals() throws InterruptedException, ExecutionException {
        return loop.submit(http::totals).get();
    }

    /** What is open, held and waited for at present, in the words of the log. */
    public String gauges() throws InterruptedException, ExecutionException {
        return loop.submit(() -> (node == null ? "" : node.gauges()) + (http == null ? "" : " " + http.gauges())).get();
    }

    /** Stops in order; the future is done when every request has been answered and every client is gone. */
    public Future<Void> stop() throws InterruptedException, ExecutionException {
        files.shutdown();
        return loop.submit(() -> {
            if (state != null) {
                state.keep(duty.record());
            }
            if (members != null) {
                members.leave();
            }
            Promise<Void> ended = loop.newPromise();
            // A disk that hangs must not hold up the loop, on which others are still answered.
            duty.stop(loop).addListener(done -> new Thread(() -> {
                if (state != null) {
                    state.close();
                }
                ended.setSuccess(null);
            }, "stop of state").start());
            return ended;
        }).get();
    }

    /** The usual log: standard error. */
    public static Consumer<String> standardLog() {
        return text -> text.lines().forEach(Counters::log);
    }
}
