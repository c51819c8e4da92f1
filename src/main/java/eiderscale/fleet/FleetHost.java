package eiderscale.fleet;

import eiderscale.config.Experiment;
import eiderscale.lab.Auditor;
import eiderscale.lab.Draws;
import eiderscale.lab.Luck;
import eiderscale.standin.HostCommand;
import eiderscale.standin.Injury;
import eiderscale.standin.StandInHost;
import eiderscale.standin.StandInHost.Turn;
import eiderscale.standin.StandInOrigin;
import io.netty.channel.EventLoop;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/** A stand-in host with the laboratory's model of one: slots, a queue, work by distribution, a cold start. */
final class FleetHost implements Auditor.Target, AutoCloseable {
    /** Hears of each command, on the host's loop: when it comes, and once more if it runs. */
    interface Listener {
        void heard(FleetHost host, HostCommand command, boolean runs);
    }

    final String zone;
    final Experiment.Hosts kind;
    final StandInHost server;
    private final int number;
    private final String name;
    private final LongSupplier clock;
    private final Draws work;
    private final UniformRandomProvider luck;
    private final Listener listener;
    private volatile long coldSince = Long.MIN_VALUE;
    private volatile double slowness = 1;
    private volatile double failing;
    private volatile boolean half;
    private volatile long drainsSince = Long.MAX_VALUE;
    private long count;

    FleetHost(int number, String name, String zone, Experiment.Hosts kind, EventLoop loop, StandInOrigin origin, Luck luck,
              LongSupplier clock, Listener listener) throws InterruptedException {
        this.number = number;
        this.name = name;
        this.zone = zone;
        this.kind = kind;
        this.clock = clock;
        this.work = new Draws(luck.stream("work of " + name), kind.work(), kind.spread());
        this.luck = luck.stream("failures of " + name);
        this.listener = listener;
        this.server = new StandInHost(loop, origin);
        server.slots(kind.slots(), kind.queue());
        server.reports("util");
        server.script(this::treat);
        server.onRun(command -> listener.heard(this, command, true));
    }

    private Turn treat(HostCommand command) {
        boolean silent = half && ++count % 2 == 0;
        boolean fails = luck.nextDouble() < Math.max(failing, kind.fails());
        listener.heard(this, command, false);
        long took = (long) (work.next() * slowness / speed(clock.getAsLong()));
        return new Turn(silent ? Injury.DROP : fails ? Injury.FAIL : Injury.NONE, 0, took);
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public Experiment.Hosts kind() {
        return kind;
    }

    @Override
    public long startedAt() {
        return coldSince;
    }

    void slow(double factor) {
        slowness = factor;
    }

    void failing(double part) {
        failing = part;
    }

    void half(boolean is) {
        half = is;
    }

    /** From now on it wants nothing new, whoever knows of that, or it does again. */
    void drains(boolean is) {
        drainsSince = is ? Math.min(drainsSince, clock.getAsLong()) : Long.MAX_VALUE;
    }

    /** Since when it wants nothing new; never is {@link Long#MAX_VALUE}. */
    long drainsSince() {
        return drainsSince;
    }

    /** Another process stands there, cold. */
    void start() throws InterruptedException {
        server.start();
        coldSince = clock.getAsLong();
    }

    @Override
    public void close() {
        server.close();
    }
}
