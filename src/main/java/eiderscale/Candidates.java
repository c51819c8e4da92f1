package eiderscale;

import eiderscale.HostHealth.Host;

/** Weighted rendezvous hashing: the few hosts that a key lives on. */
final class Candidates {
    /** Most candidates of a hot key, and further hosts kept for when all candidates are spent. */
    private static final int MOST = 32;
    private static final int SPARE = 2;
    /** Hosts of capacity given to a hot key, for each host's worth of traffic that it draws. */
    private static final double ROOM = 3;
    private static final double SLOWER = 2;
    private static final int SLOTS = 256;
    /** Requests, or time, after which all counts are halved, and the least that tell a share. */
    private static final int WINDOW = 256;
    private static final long WINDOW_NS = 5_000_000_000L;
    private static final int LEAST = 16;
    private static final double UNIT = 1.0 / (1L << 53);

    final Host[] top = new Host[MOST + SPARE];
    int count;
    /** How many of {@link #top} are candidates; the rest are spare. */
    int width;
    private final double[] distance = new double[MOST + SPARE];
    final long[] keys = new long[SLOTS];
    final int[] counts = new int[SLOTS];
    int counted;
    private long halved;
    private final HostHealth health;
    private final int ordinary;

    /** {@code ordinary}: candidates of a key on the ordinary path. */
    Candidates(HostHealth health, int ordinary) {
        this.health = health;
        this.ordinary = ordinary;
    }

    /** Fills {@link #top} with the usable hosts of least -ln(1 - hash) / weight, near ones made heavier. */
    void find(long now, long key, double nearness) {
        width = width(key);
        int depth = width + SPARE;
        count = 0;
        double worst = Double.MAX_VALUE;
        Host[] hosts = health.caches;
        for (int i = 0; i < health.cacheCount; i++) {
            Host host = hosts[i];
            long hash = mix(key ^ host.salt);
            double x = (hash >>> 11) * UNIT;
            double inverse = host.inOwnZone ? host.inverseWeight / nearness : host.inverseWeight;
            // x <= -ln(1 - x): most hosts fall out here, without a logarithm.
            if (x * inverse >= worst) {
                continue;
            }
            // 1 - x is exact, so that this is -log1p(-x), which has no machine code of its own.
            double d = -Math.log(1 - x) * inverse;
            if (d >= worst || !health.admits(now, host, hash)) {
                continue;
            }
            int at = count < depth ? count++ : depth - 1;
            while (at > 0 && distance[at - 1] > d) {
                distance[at] = distance[at - 1];
                top[at] = top[at - 1];
                at--;
            }
            distance[at] = d;
            top[at] = host;
            if (count == depth) {
                worst = distance[depth - 1];
            }
        }
    }

    /** Counts an arrival for the key, in a small table where a rarer key gives way to a commoner one. */
    void count(long now, long key) {
        int slot = slot(key);
        if (keys[slot] == key) {
            counts[slot]++;
        } else if (--counts[slot] < 0) {
            keys[slot] = key;
            counts[slot] = 1;
        }
        if (++counted >= WINDOW || now - halved > WINDOW_NS && counted > LEAST) {
            halved = now;
            counted /= 2;
            for (int i = 0; i < SLOTS; i++) {
                counts[i] /= 2;
            }
        }
    }

    /** Guards against a hot key swamping two hosts: candidates grow with its share of our traffic. */
    private int width(long key) {
        int slot = slot(key);
        if (keys[slot] != key || counted < LEAST || ordinary == 1) {
            return ordinary;
        }
        double share = (counts[slot] - 2.0) / counted;
        return (int) Math.max(ordinary, Math.min(MOST, Math.ceil(share * health.cacheCount * ROOM)));
    }

    /** The candidate with the fewest of our requests in flight; among equals the nearest if not slow. */
    Host leastInFlight() {
        // With many balancers most counts are 0 and tell nothing: then latency does.
        Host best = null;
        for (int i = 0; i < count && i < width; i++) {
            if (best == null || top[i].inFlight < best.inFlight
                    || top[i].inFlight == best.inFlight && best.latency > SLOWER * top[i].latency) {
                best = top[i];
            }
        }
        return best;
    }

    static int slot(long key) {
        return (int) (mix(key) & (SLOTS - 1));
    }

    /** A 64-bit finaliser (SplitMix64): spreads every bit of the input over the output. */
    static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
