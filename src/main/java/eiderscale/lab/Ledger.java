package eiderscale.lab;

import eiderscale.config.Experiment;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/** What stands behind hosts that keep copies: few places, a line before them, and the versions of what was written. */
final class Ledger {
    /** Told the version that was read or written; negative for a failure. */
    private record Job(long key, boolean write, LongConsumer done) {
    }

    private final World world;
    private final Experiment.Ledger shape;
    private final Draws work;
    private final Deque<Job> line = new ArrayDeque<>();
    private final Map<Long, Long> versions = new HashMap<>();
    private int busy;
    private double slowness = 1;
    private boolean down;

    Ledger(World world, Experiment.Ledger shape) {
        this.world = world;
        this.shape = shape;
        this.work = new Draws(world.luck.stream("ledger"), shape.work(), shape.spread());
    }

    void slow(double factor) {
        slowness = factor;
    }

    void down(boolean is) {
        down = is;
    }

    long version(long key) {
        return versions.getOrDefault(key, 0L);
    }

    void ask(long key, boolean write, LongConsumer done) {
        world.measures.ledger(world.now());
        if (down || line.size() >= shape.queue() && busy >= shape.places()) {
            world.events.in(shape.work() / 10, () -> done.accept(-1));
        } else if (busy < shape.places()) {
            begin(new Job(key, write, done));
        } else {
            line.add(new Job(key, write, done));
        }
    }

    private void begin(Job job) {
        busy++;
        // A read has what holds when it begins, and a write holds when it ends: a copy may be void as soon as it is made.
        long read = version(job.key);
        world.events.in((long) (work.next() * slowness), () -> end(job, read));
    }

    private void end(Job job, long read) {
        busy--;
        long version = read;
        if (job.write) {
            version = version(job.key) + 1;
            versions.put(job.key, version);
            world.hosts.forEach(host -> host.voided(job.key));
        }
        if (!line.isEmpty()) {
            begin(line.poll());
        }
        job.done.accept(version);
    }
}
