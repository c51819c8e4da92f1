package eiderscale.lab;

import eiderscale.Api;
import eiderscale.config.Experiment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** Discovery: what the list says, told to each balancer after its own lag. */
final class ListService {
    private final World world;
    private final Experiment.Discovery shape;
    private final long[] lags;
    private final List<Runnable> held = new ArrayList<>();
    private boolean down;
    private double busy = 1;
    private final UniformRandomProvider refusals;

    ListService(World world, Experiment.Discovery shape, int balancers) {
        this.world = world;
        this.shape = shape;
        this.lags = new long[balancers];
        UniformRandomProvider luck = world.luck.stream("discovery");
        this.refusals = world.luck.stream("discovery's refusals");
        for (int i = 0; i < balancers; i++) {
            lags[i] = shape.lag() + (long) (luck.nextDouble() * shape.spread());
        }
    }

    private static Api.Server entry(LabHost host, long id, Api.State state) {
        return new Api.Server(id, host.zone, 0, 0, state, host.kind.weight(), host.startedAt == Long.MIN_VALUE ? 0 : host.startedAt);
    }

    private Map<Long, LabHost> byId() {
        Map<Long, LabHost> all = new HashMap<>();
        for (LabHost host : world.hosts) {
            all.put(host.id, host);
        }
        return all;
    }

    /** The whole list, at once: what a balancer starts with. */
    void first(LabBalancer balancer) {
        balancer.onList(Api.ListMode.FULL, all(), byId());
    }

    private List<Api.Server> all() {
        List<Api.Server> all = new ArrayList<>();
        for (LabHost host : world.hosts) {
            all.add(entry(host, host.id, host.listed));
        }
        return all;
    }

    /** A balancer asks for the list. */
    void ask(LabBalancer balancer) {
        world.events.in(lags[balancer.number], () -> {
            if (down || busy > 1 && refusals.nextDouble() * busy >= 1) {
                balancer.onList(Api.ListMode.FAILED, List.of(), byId());
            } else {
                balancer.onList(Api.ListMode.FULL, all(), byId());
            }
        });
    }

    /** A balancer that watches asks what there is now, and hears it after the way there and back. */
    void confirm(LabBalancer balancer) {
        world.events.in(2 * world.experiment.network().far(), () -> {
            balancer.onList(down ? Api.ListMode.FAILED : Api.ListMode.FULL, down ? List.of() : all(), byId());
            balancer.rechecked();
        });
    }

    /** An entry has changed. */
    void changed(LabHost host, long id, Api.State state) {
        Api.Server entry = entry(host, id, state);
        Runnable tell = () -> {
            for (LabBalancer balancer : world.balancers) {
                world.events.in(lags[balancer.number], () -> balancer.onList(Api.ListMode.DELTA, List.of(entry), Map.of(id, host)));
            }
        };
        if (down) {
            held.add(tell);
        } else {
            tell.run();
        }
    }

    /** A process has died, which the list learns after a while, if it is dead still. */
    void died(LabHost host) {
        int life = host.life();
        world.events.in(shape.notices(), () -> {
            if (host.life() == life && (host.dead || host.silent)) {
                host.listed = Api.State.GONE;
                changed(host, host.id, Api.State.GONE);
            }
        });
    }

    /** It is there again, or new. */
    void ready(LabHost host) {
        host.listed = Api.State.READY;
        changed(host, host.id, Api.State.READY);
    }

    /** From now on one call in so many is answered. */
    void busy(double factor) {
        busy = factor;
    }

    void down(boolean is) {
        down = is;
        if (!is) {
            held.forEach(Runnable::run);
            held.clear();
        }
    }
}
