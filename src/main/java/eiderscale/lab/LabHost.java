package eiderscale.lab;

import eiderscale.Api;
import eiderscale.config.Experiment;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A host: slots, a queue, work by distribution, copies that it keeps, a cold start, and what may be wrong with it. It sees
 * requests and the ends of connections, and nothing of balancers.
 */
final class LabHost implements Auditor.Target {
    /** How an attempt comes out at the host. */
    interface Answer {
        /** {@code version}: of what was read; {@code hit}: from a copy that was kept. */
        void come(Api.Reason reason, long version, boolean hit);
    }

    /** A request at the host, until it is answered. */
    final class Visit {
        final Call call;
        private final Answer answer;
        private boolean dropped;
        private final int life = lives;

        private Visit(Call call, Answer answer) {
            this.call = call;
            this.answer = answer;
        }

        /** Its connection was closed: what waits for a slot is let go; what has begun is done to its end. */
        void drop() {
            dropped = true;
        }

        private boolean isVoid() {
            return life != lives;
        }
    }

    final String name;
    final int number;
    final Experiment.Hosts kind;
    final int zone;
    /** As the list has it. */
    long id;
    private final World world;
    private final Draws work;
    private final UniformRandomProvider luck;
    private final Deque<Visit> queue = new ArrayDeque<>();
    private final Map<Long, Long> copies;
    private int busy;
    private int lives;
    private int connections;
    /** When it last started cold; negative for long ago. */
    long startedAt = Long.MIN_VALUE;
    /** What is wrong with it. */
    boolean dead;
    boolean silent;
    boolean paused;
    private boolean half;
    private double failing;
    private double slowness = 1;
    private long count;
    Api.State listed = Api.State.READY;

    LabHost(World world, String name, int number, Experiment.Hosts kind, int zone, long id) {
        this.world = world;
        this.name = name;
        this.number = number;
        this.kind = kind;
        this.zone = zone;
        this.id = id;
        this.work = new Draws(world.luck.stream("work of " + name), kind.work(), kind.spread());
        this.luck = world.luck.stream("failures of " + name);
        this.copies = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > kind.keeps();
            }
        };
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
        return startedAt;
    }

    /** The process ends: what it had is gone, and what was in it is never answered. */
    void die() {
        dead = true;
        lives++;
        queue.clear();
        copies.clear();
        busy = 0;
        connections = 0;
    }

    /** A new process, cold. */
    void start() {
        dead = false;
        startedAt = world.now();
    }

    void half(boolean is) {
        half = is;
    }

    void failing(double part) {
        failing = part;
    }

    void slow(double factor) {
        slowness = factor;
    }

    void pause(boolean is) {
        paused = is;
        if (!is) {
            world.events.in(0, this::next);
        }
    }

    /** An even part of its copies goes void. */
    void flush(double part) {
        double[] sum = new double[1];
        copies.keySet().removeIf(key -> {
            sum[0] += part;
            boolean goes = sum[0] >= 1;
            sum[0] -= goes ? 1 : 0;
            return goes;
        });
    }

    void voided(long key) {
        if (!copies.isEmpty()) {
            copies.remove(key);
        }
    }

    /** Warm at the start of a run: it has what it was asked for lately. */
    void fill(long key) {
        if (kind.keeps() > 0) {
            copies.put(key, 0L);
        }
    }

    /** Whether one more connection is taken. */
    boolean connect() {
        if (dead || connections >= kind.connections()) {
            return false;
        }
        connections++;
        return true;
    }

    void disconnect() {
        connections = Math.max(0, connections - 1);
    }

    /** Counts its processes. */
    int life() {
        return lives;
    }

    int load() {
        return busy + queue.size();
    }

    /** The last byte of a request is here. */
    Visit take(Call call, Answer answer) {
        Visit visit = new Visit(call, answer);
        count++;
        if (half && count % 2 == 0) {
            // Begun, and never heard of again.
            world.auditor.ran(call);
            return visit;
        }
        if (listed == Api.State.GONE || queue.size() >= kind.queue() && busy >= kind.slots()) {
            answer.come(Api.Reason.REJECTED, 0, false);
        } else if (busy < kind.slots() && !paused) {
            begin(visit);
        } else {
            queue.add(visit);
        }
        return visit;
    }

    private void begin(Visit visit) {
        busy++;
        Call call = visit.call;
        world.auditor.ran(call);
        long took = (long) (work.next() * slowness / speed(world.now()));
        boolean fails = failing > 0 && luck.nextDouble() < failing || kind.fails() > 0 && luck.nextDouble() < kind.fails();
        if (fails) {
            world.events.in(took, () -> end(visit, Api.Reason.ERROR, 0, false));
            return;
        }
        Long copy = kind.keeps() > 0 && !call.write ? copies.get(call.key) : null;
        if (copy != null || kind.keeps() == 0) {
            long version = copy != null ? copy : world.ledger.version(call.key);
            world.events.in(took, () -> end(visit, Api.Reason.OK, version, true));
            return;
        }
        world.events.in(took, () -> world.ledger.ask(call.key, call.write, version -> {
            if (visit.isVoid()) {
                return;
            }
            if (version >= 0 && !call.write && world.ledger.version(call.key) == version) {
                copies.put(call.key, version);
            }
            end(visit, version < 0 ? Api.Reason.ERROR : Api.Reason.OK, version, false);
        }));
    }

    private void end(Visit visit, Api.Reason reason, long version, boolean hit) {
        if (visit.isVoid()) {
            return;
        }
        if (paused) {
            world.events.in(1_000_000, () -> end(visit, reason, version, hit));
            return;
        }
        busy--;
        next();
        if (!visit.dropped) {
            visit.answer.come(reason, version, hit);
        }
    }

    private void next() {
        while (!paused && busy < kind.slots() && !queue.isEmpty()) {
            Visit visit = queue.poll();
            if (!visit.dropped && !visit.isVoid()) {
                begin(visit);
            }
        }
    }
}
