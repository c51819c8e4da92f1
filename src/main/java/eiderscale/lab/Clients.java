package eiderscale.lab;

import eiderscale.Api;
import eiderscale.config.Experiment;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Clients: an open load that does not wait for answers, and their own tries again. */
final class Clients {
    /** How a try ended. */
    enum End { SERVED, REFUSED, FAILED }

    /** Arrivals at one balancer. */
    private final class Stream {
        private final int balancer;
        private final UniformRandomProvider times;
        private final UniformRandomProvider choices;
        private final ZigguratSampler.Exponential pauses;
        private final SharedStateDiscreteSampler popularity;
        private final double rate;
        private final long end;

        Stream(LabBalancer balancer, String name, double rate, long end) {
            this.balancer = balancer.number;
            this.times = world.luck.stream("arrivals " + name);
            this.choices = world.luck.stream("choices " + name);
            this.pauses = ZigguratSampler.Exponential.of(times);
            this.popularity = load.zipf() > 0 ? RejectionInversionZipfSampler.of(choices, load.keys(), load.zipf()) : null;
            this.rate = rate;
            this.end = end;
        }

        void next() {
            // At the highest rate that the shape has, and some let go: the others' moments do not depend on the shape.
            long at = world.now() + (long) (pauses.sample() * 1e9 / (rate * top()));
            if (at < end) {
                world.events.at(at, this::arrive);
            }
        }

        private void arrive() {
            boolean comes = times.nextDouble() * top() < shape(world.now());
            double mixDice = choices.nextDouble();
            double hotDice = choices.nextDouble();
            double tenantDice = choices.nextDouble();
            long key = popularity != null ? popularity.sample() : 1 + choices.nextLong(load.keys());
            if (comes && !world.isFull()) {
                int requestClass = mixed(mixDice);
                begin(world.balancers.get(balancer), requestClass, tenant(tenantDice), load.hot() > 0 && hotDice < load.hot() ? 0 : key);
            }
            next();
        }
    }

    private final World world;
    private final Experiment.Load load;
    private final Api.Settings settings;
    private final boolean[] writes;
    private final double[] mix;
    private final double rate;
    private final UniformRandomProvider habits;
    private long operations;
    private long calls;

    /** {@code writes}: whether a class changes anything; {@code mix}: the parts up to each class. */
    Clients(World world, Experiment experiment, Api.Settings settings, double factor, double[] mix, boolean[] writes) {
        this.world = world;
        this.load = experiment.load();
        this.settings = settings;
        this.rate = load.rate() * factor;
        this.mix = mix;
        this.writes = writes;
        this.habits = world.luck.stream("clients' habits");
    }

    void start(List<LabBalancer> balancers, long length) {
        if (load.shape() == Experiment.Shape.TRACE) {
            return;
        }
        for (LabBalancer balancer : balancers) {
            new Stream(balancer, "at " + balancer.number, rate / balancers.size(), length).next();
        }
    }

    /** More for a while, from streams of its own. */
    void surge(List<LabBalancer> balancers, String name, double factor, long until) {
        for (LabBalancer balancer : balancers) {
            new Stream(balancer, name + " at " + balancer.number, rate * Math.max(0, factor - 1) / balancers.size(), until).next();
        }
    }

    /** What a trace has asked for. */
    void traced(LabBalancer balancer, long key, int requestClass) {
        begin(balancer, requestClass, 0, key);
    }

    private double top() {
        return load.shape() == Experiment.Shape.STEADY ? 1 : load.peak();
    }

    private double shape(long at) {
        double part = at / (double) world.experiment.length();
        return switch (load.shape()) {
            case STEADY, TRACE -> 1;
            case WAVE -> 1 + (load.peak() - 1) * (0.5 - 0.5 * Math.cos(2 * Math.PI * part));
            case RELEASE -> 1 + (load.peak() - 1) * (part < 0.1 ? 10 * part : (1 - part) / 0.9);
        };
    }

    private int mixed(double dice) {
        for (int i = 0; i < mix.length; i++) {
            if (dice < mix[i]) {
                return i;
            }
        }
        return mix.length - 1;
    }

    private int tenant(double dice) {
        double sum = 0;
        for (int i = 0; i < settings.tenants().size(); i++) {
            sum += settings.tenants().get(i).fraction();
            if (dice < sum) {
                return i;
            }
        }
        return 0;
    }

    private void begin(LabBalancer balancer, int requestClass, int tenant, long key) {
        Call.Operation operation = new Call.Operation(++operations, requestClass, tenant, key, writes[requestClass], world.now());
        world.measures.asked(world.now());
        ask(operation, balancer);
    }

    private void ask(Call.Operation operation, LabBalancer balancer) {
        operation.tries++;
        long deadline = operation.begunAt + settings.classes().get(operation.requestClass).deadline();
        Call call = new Call(++calls, operation, balancer, world.now(), deadline);
        world.count();
        balancer.asked(call);
        call.timeUp = world.events.at(deadline, () -> timeUp(call));
    }

    private void timeUp(Call call) {
        if (!call.operation.over && !call.answered) {
            over(call.operation, End.FAILED);
            call.balancer.left(call);
        }
    }

    private void over(Call.Operation operation, End end) {
        if (operation.over) {
            return;
        }
        operation.over = true;
        world.events.cancel(operation.timeUp);
        switch (end) {
            case SERVED -> world.measures.served(operation.begunAt, world.now() - operation.begunAt);
            case REFUSED -> world.measures.refused(operation.begunAt);
            case FAILED -> world.measures.failed(operation.begunAt);
        }
    }

    /** An answer has come; {@code wait}: what a refused client is told. */
    void came(Call call, End end, long wait) {
        Call.Operation operation = call.operation;
        world.events.cancel(call.timeUp);
        if (operation.over) {
            return;
        }
        if (end == End.SERVED) {
            over(operation, world.now() <= call.deadline ? End.SERVED : End.FAILED);
            return;
        }
        boolean safe = settings.classes().get(operation.requestClass).effect() == Api.Effect.RETRYABLE;
        boolean again = operation.tries <= load.retries() && (end == End.REFUSED || safe);
        boolean honours = habits.nextDouble() < load.honours();
        long pause = (long) (load.backOff() * (0.5 + habits.nextDouble()));
        long at = world.now() + Math.max(pause, honours ? wait : 0);
        if (!again || at >= call.deadline) {
            over(operation, end);
            return;
        }
        LabBalancer next = world.balancers.get((int) (habits.nextLong(world.balancers.size())));
        world.events.at(at, () -> {
            if (!operation.over) {
                ask(operation, next);
            }
        });
        // Its time may be up before it asks again.
        operation.timeUp = world.events.at(call.deadline, () -> over(operation, end));
    }
}
