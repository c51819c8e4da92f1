package eiderscale;

import java.util.*;

/**
 * What a host of each kind can do beside the others, by the utilisation law (Denning and Buzen 1978, "The
 * operational analysis of queueing network models"): the work of an answer is busy time divided by
 * answers. Guards against a list that gives slow and fast machines one weight: each balancer meets a host
 * about once a second and cannot tell its speed from chance, but it meets every kind often. Harm: where a
 * kind does other work than the rest, or reports tell of something else than its cores, its hosts get a
 * wrong part of the keys, within bounds.
 */
final class Capacity {
    /** Time constant by which answers count less with age. */
    private static final double MEMORY_NS = 10e9;
    /** Answers of a kind below which chance decides. */
    private static final double LEAST = 24;
    private static final double MOST_FACTOR = 4;
    /** A busy share under this is noise. */
    private static final double LEAST_BUSY = 0.02;
    /** Factors keep to a grid of so many steps a doubling, so that most balancers place keys alike. */
    private static final int GRID = 4;
    /** Part of a step past which a factor leaves its place on the grid. */
    private static final double HOLD = 0.8;

    static final class Kind {
        double answers;
        double busy;
        long at;
        /** Sum of the listed weights of its hosts that answer. */
        double listed;
        double capacity;
        double factor = 1;
    }

    final Map<Integer, Kind> kinds = new TreeMap<>();

    /** An answer came from a warm host of a kind that has been busy for {@code share}, 0 to 1, lately. */
    void answered(long now, int kind, double share) {
        Kind seen = kinds.computeIfAbsent(kind, k -> new Kind());
        double kept = Math.exp((seen.at - now) / MEMORY_NS);
        seen.answers = seen.answers * kept + 1;
        seen.busy = seen.busy * kept + Math.max(LEAST_BUSY, share);
        seen.at = now;
    }

    /** Begins a look at the fleet: {@link #hosts} follows for each host that answers, then {@link #learn}. */
    void look() {
        kinds.values().forEach(kind -> kind.listed = 0);
    }

    void hosts(int kind, double weight) {
        Kind seen = kinds.get(kind);
        if (seen != null) {
            seen.listed += weight;
        }
    }

    /** Sets the factors anew; true if any changed. */
    boolean learn() {
        double capacities = 0;
        double weights = 0;
        int known = 0;
        for (Kind kind : kinds.values()) {
            kind.capacity = 0;
            if (kind.listed > 0 && kind.answers >= LEAST) {
                // Rate over utilisation; the time over which both were counted is the same for all kinds.
                kind.capacity = kind.answers / kind.listed / (kind.busy / kind.answers);
                capacities += kind.capacity * kind.listed;
                weights += kind.listed;
                known++;
            }
        }
        boolean changed = false;
        for (Kind kind : kinds.values()) {
            changed |= known > 1 && kind.capacity > 0 && move(kind, kind.capacity * weights / capacities);
        }
        return changed;
    }

    private static boolean move(Kind kind, double ratio) {
        double steps = GRID * log2(Math.max(1 / MOST_FACTOR, Math.min(MOST_FACTOR, ratio)));
        if (Math.abs(steps - GRID * log2(kind.factor)) <= HOLD) {
            return false;
        }
        kind.factor = Math.pow(2, Math.rint(steps) / GRID);
        return true;
    }

    private static double log2(double x) {
        return Math.log(x) / Math.log(2);
    }

    /** By what the listed weight of a host of that kind is to be multiplied; 1 while nothing is known. */
    double factor(int kind) {
        Kind seen = kinds.get(kind);
        return seen != null ? seen.factor : 1;
    }
}
