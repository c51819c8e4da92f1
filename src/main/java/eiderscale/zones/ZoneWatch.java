package eiderscale.zones;

import java.util.HashMap;
import java.util.Map;

/**
 * Whether a zone is there, from what its hosts do. One bad host is not a zone: a zone counts as lost when hosts with half
 * of its capacity are bad, and as there again when no more than a quarter are. A host is bad when attempts have failed for
 * a while with none that succeeded between, or when the list has it gone or draining. The two bounds, and the while, keep
 * single failures from moving it to and fro.
 *
 * <p>What is known is this balancer's own: where it alone is cut off, it alone goes elsewhere. Times in nanoseconds, never
 * falling. For one thread.
 */
public final class ZoneWatch {
    /**
     * The bounds.
     *
     * @param lostAt part of a zone's capacity that is bad, from which on it is lost, in (0, 1]
     * @param backAt part that may be bad in a zone that is there again, below {@code lostAt}
     * @param failures attempts in a row that must have failed for a host to be bad, 1 at least
     * @param span how long they must have gone on failing, as many may fail in one moment for one cause
     * @param alone how many must have failed in a row where the zone has no other host to compare with
     */
    public record Bounds(double lostAt, double backAt, int failures, long span, int alone) {
        /** Half and a quarter; three failures over 200 ms; six for a host alone. */
        public static final Bounds USUAL = new Bounds(0.5, 0.25, 3, 200_000_000L, 6);

        /** Throws {@link IllegalArgumentException} for bounds that would have a zone lost and there at once. */
        public Bounds {
            if (!(lostAt > 0 && lostAt <= 1 && backAt >= 0 && backAt < lostAt) || failures < 1 || alone < failures || span < 0) {
                throw new IllegalArgumentException("bounds of zones: " + lostAt + ", " + backAt + ", " + failures);
            }
        }
    }

    /** What is known of one host. */
    private static final class Host {
        double capacity;
        boolean listed;
        int failed;
        long failingSince;

        boolean isBad(long now, int needed, long span) {
            return !listed || failed >= needed && now - failingSince >= span;
        }
    }

    private final Bounds bounds;
    private final Map<Long, Host> hosts = new HashMap<>();
    private boolean lost;

    /** A zone without hosts, which is not lost: there is nothing in it to lose. */
    public ZoneWatch(Bounds bounds) {
        this.bounds = bounds;
    }

    /** The list names a host of this zone. {@code ready}: not draining. One that returns under its id begins anew. */
    public void listed(long id, double capacity, boolean ready) {
        Host host = hosts.computeIfAbsent(id, key -> new Host());
        if (ready && !host.listed) {
            host.failed = 0;
        }
        host.capacity = capacity;
        host.listed = ready;
    }

    /**
     * The list does not name it any more: it counts as bad until {@link #forget}, so that a list which shrinks in one
     * zone shows. Unknown ids are passed over.
     */
    public void gone(long id) {
        Host host = hosts.get(id);
        if (host != null) {
            host.listed = false;
        }
    }

    /** It will not return under this id. */
    public void forget(long id) {
        hosts.remove(id);
    }

    /** An attempt at a host was answered, if only to be turned away. */
    public void answered(long id) {
        Host host = hosts.get(id);
        if (host != null) {
            host.failed = 0;
        }
    }

    /** An attempt at a host was not answered: refused, reset, or silent until it was given up on. */
    public void failed(long now, long id) {
        Host host = hosts.get(id);
        if (host != null) {
            if (host.failed++ == 0) {
                host.failingSince = now;
            }
        }
    }

    /** The part of the zone's capacity that is bad, in [0, 1]; 0 for a zone without hosts. */
    public double badPart(long now) {
        int needed = hosts.size() > 1 ? bounds.failures : bounds.alone;
        double all = 0;
        double bad = 0;
        for (Host host : hosts.values()) {
            all += host.capacity;
            bad += host.isBad(now, needed, bounds.span) ? host.capacity : 0;
        }
        return all > 0 ? bad / all : 0;
    }

    /** Whether the zone is lost, as far as is known now. */
    public boolean isLost(long now) {
        double bad = badPart(now);
        lost = lost ? bad > bounds.backAt : bad >= bounds.lostAt;
        return lost;
    }
}
