package eiderscale.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Answers about a fleet: what breaks first, how many hosts a goal needs, and whether a surge leaves it stuck. */
public final class Planner {
    private static final double MOST_FACTOR = 1000;
    private static final int STEPS = 40;
    private static final int MOST_HOSTS = 20_000;
    /** Loads at which a lasting breakdown is looked for, beside the present one, and the steps between them. */
    private static final double LEAST_FACTOR = 0.1;
    private static final double MOST_SEARCHED = 4;
    private static final double FINE = 1.04;
    /** Served shares that differ by more are two states. */
    private static final double APART = 0.02;
    private static final double NEARLY = 0.97;

    /** A limit, and the load in operations a second at which it is reached. */
    public record Reached(Limit limit, double load) {
    }

    /** A share of operations that is to be answered within a time, in seconds. */
    public record Goal(double share, double within) {
    }

    /** {@code hosts}: of each group of the fleet; null where no number of hosts keeps the goal, and {@code why} says so. */
    public record Size(Fleet fleet, Forecast forecast, String why) {
    }

    /**
     * Whether a fleet that has broken down comes back. {@code stuckFrom}, {@code recoversAt}: loads between which both states last;
     * NaN where there are none.
     */
    public record Stuck(boolean now, double stuckFrom, double recoversAt) {
    }

    private Planner() {
    }

    /** What is to be expected of a fleet that has been well. */
    public static Forecast forecast(Fleet fleet) {
        return new Model(fleet).calm();
    }

    /** What is to be expected of one that has lost its copies, with all its clients trying again. */
    public static Forecast afterBreakdown(Fleet fleet) {
        return new Model(fleet).wrecked();
    }

    /** The limits that are reached as load grows, the first one first; those that are not reached at a thousandfold are left out. */
    public static List<Reached> limits(Fleet fleet) {
        List<Reached> found = new ArrayList<>();
        for (Limit limit : forecast(fleet).use().keySet()) {
            double factor = reachedAt(fleet, limit);
            if (factor < MOST_FACTOR) {
                found.add(new Reached(limit, factor * fleet.demand().rate()));
            }
        }
        // Connections that run out where a line grows without bound run out by that.
        double cause = found.stream().filter(one -> one.limit().isWork()).mapToDouble(Reached::load).min().orElse(Double.MAX_VALUE);
        found.sort(Comparator.comparingDouble((Reached one) -> !one.limit().isWork() && one.load() > NEARLY * cause ? Math.max(cause, one.load()) : one.load())
                .thenComparing(Reached::limit));
        return found;
    }

    private static double reachedAt(Fleet fleet, Limit limit) {
        double low = 0;
        double high = 1;
        while (high < MOST_FACTOR && use(fleet, high, limit) < 1) {
            low = high;
            high *= 2;
        }
        if (high >= MOST_FACTOR) {
            return MOST_FACTOR;
        }
        for (int i = 0; i < STEPS && high - low > 1e-3 * high; i++) {
            double middle = (low + high) / 2;
            if (use(fleet, middle, limit) < 1) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    private static double use(Fleet fleet, double factor, Limit limit) {
        return new Model(fleet.loaded(factor)).calm(false).use().get(limit);
    }

    /** The load, in operations a second, up to which a goal is kept; 0 where it is not kept at any. */
    public static double keptUpTo(Fleet fleet, Goal goal) {
        double low = 0;
        double high = 1.0 / 1024;
        while (high < MOST_FACTOR && keeps(fleet.loaded(high), goal)) {
            low = high;
            high *= 2;
        }
        for (int i = 0; i < STEPS && high - low > 1e-3 * high; i++) {
            double middle = (low + high) / 2;
            if (keeps(fleet.loaded(middle), goal)) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return low * fleet.demand().rate();
    }

    /** Whether the goal is kept. */
    public static boolean keeps(Fleet fleet, Goal goal) {
        return fleet.count() > 0 && share(fleet, goal) >= goal.share();
    }

    private static double share(Fleet fleet, Goal goal) {
        return forecast(aimed(fleet, goal.within())).inAim();
    }

    private static Fleet aimed(Fleet f, double within) {
        return new Fleet(f.hosts(), f.ledger(), f.balancers(), f.zones(), f.demand(), f.reads(), Math.min(within, f.deadline()), f.deadline(),
                f.further(), f.hedgeAt(), f.way(), f.clientWay(), f.clients(), f.links(), f.balancerRate(), f.candidates());
    }

    /**
     * The cheapest fleet of the same kinds, as many of a kind in each zone, that keeps a goal. {@code withoutZone}: it has to keep
     * it with any one zone lost. {@code away}: the part of all hosts that are away at one time, as in a rolling restart.
     */
    public static Size size(Fleet fleet, Goal goal, boolean withoutZone, double away) {
        if (withoutZone && fleet.zones() < 2) {
            return new Size(null, forecast(fleet), "the fleet has one zone: with it all is lost");
        }
        List<String> kinds = fleet.hosts().stream().map(Fleet.Hosts::kind).distinct().toList();
        Fleet best = null;
        // One kind is grown alone from what the others' numbers are; the cheapest of these is taken.
        for (String kind : kinds) {
            Fleet grown = smallest(fleet, kind, goal, withoutZone, away);
            if (grown != null && (best == null || grown.cost() < best.cost())) {
                best = grown;
            }
        }
        if (best == null) {
            Forecast most = forecast(scaled(fleet, kinds.get(0), MOST_HOSTS));
            return new Size(null, most, "no number of hosts keeps it: " + most.first().words() + " is used to "
                    + Math.round(most.use().get(most.first()) * 100) + "%");
        }
        return new Size(best, forecast(best), "");
    }

    private static Fleet smallest(Fleet fleet, String kind, Goal goal, boolean withoutZone, double away) {
        int high = 1;
        while (high <= MOST_HOSTS && !holds(scaled(fleet, kind, high), goal, withoutZone, away)) {
            high *= 2;
        }
        if (high > MOST_HOSTS) {
            return null;
        }
        int low = high / 2;
        while (high - low > 1) {
            int middle = (low + high) / 2;
            if (holds(scaled(fleet, kind, middle), goal, withoutZone, away)) {
                high = middle;
            } else {
                low = middle;
            }
        }
        return scaled(fleet, kind, high);
    }

    /** So many hosts of a kind in all, dealt out over its zones. */
    private static Fleet scaled(Fleet fleet, String kind, int many) {
        List<Fleet.Hosts> groups = fleet.hosts().stream().filter(one -> one.kind().equals(kind)).toList();
        List<Fleet.Hosts> made = new ArrayList<>();
        for (Fleet.Hosts one : fleet.hosts()) {
            int at = groups.indexOf(one);
            int count = at < 0 ? one.count() : many / groups.size() + (at < many % groups.size() ? 1 : 0);
            if (count > 0) {
                made.add(one.of(count));
            }
        }
        return fleet.with(made);
    }

    private static boolean holds(Fleet fleet, Goal goal, boolean withoutZone, double away) {
        Fleet there = away <= 0 ? fleet : fleet.with(fleet.hosts().stream().map(one -> one.of(one.count() - (int) Math.ceil(one.count() * away)))
                .filter(one -> one.count() > 0).toList());
        if (!keeps(there, goal)) {
            return false;
        }
        for (int zone = 0; withoutZone && zone < fleet.zones(); zone++) {
            if (!keeps(there.without(zone), goal)) {
                return false;
            }
        }
        return true;
    }

    /** Whether a breakdown would last at the present load, and the loads between which it would. */
    public static Stuck stuck(Fleet fleet) {
        double rate = fleet.demand().rate();
        double from = Double.NaN;
        double to = Double.NaN;
        for (double factor = LEAST_FACTOR; factor <= MOST_SEARCHED; factor *= FINE) {
            boolean lasts = lasts(fleet.loaded(factor));
            if (lasts && Double.isNaN(from)) {
                from = factor * rate;
            }
            if (lasts) {
                to = factor * rate;
            }
        }
        boolean now = lasts(fleet);
        if (from == to) {
            // One load alone is where the limit itself stands.
            return new Stuck(now, Double.NaN, Double.NaN);
        }
        // Load has to fall below the least at which the breakdown lasts.
        return new Stuck(now, to, from);
    }

    /** Whether both states last at this load: it serves clearly less once it has broken down. */
    private static boolean lasts(Fleet fleet) {
        return new Model(fleet).wrecked(false).served() < new Model(fleet).calm(false).served() - APART;
    }

    /** How far a retry habit moves what is served, by the number of tries again. */
    public static Map<Integer, Forecast> habits(Fleet fleet, int most) {
        Map<Integer, Forecast> found = new java.util.TreeMap<>();
        for (int retries = 0; retries <= most; retries++) {
            found.put(retries, forecast(fleet.retrying(retries)));
        }
        return found;
    }
}
