package eiderscale.zones;

/**
 * How a zone that was lost is let in again: not at all for a while, then by a ramp, key by key. Which keys come home first
 * is the same at every balancer, so that a key has one home at a time wherever its requests come in. At the first signs of
 * trouble the ramp steps back by half. A zone that is lost again soon waits twice as long each time, within a bound; one
 * that has stood for a while is as good as new.
 *
 * <p>Times in nanoseconds, never falling. For one thread.
 */
public final class WayBack {
    /**
     * The times.
     *
     * @param first how long a zone waits after its first return
     * @param longest how long it waits at most
     * @param ramp how long the ramp takes from nothing to all, the time its hosts need to warm up
     * @param settled after so long without a loss the next wait is the first again
     */
    public record Times(long first, long longest, long ramp, long settled) {
        private static final long SECOND = 1_000_000_000L;

        /** 1 s, 60 s, 24 s, 5 min. */
        public static final Times USUAL = new Times(SECOND, 60 * SECOND, 24 * SECOND, 300 * SECOND);

        /** Throws {@link IllegalArgumentException} for times that are not in this order. */
        public Times {
            if (first < 0 || longest < first || ramp <= 0 || settled < longest) {
                throw new IllegalArgumentException("times of a way back");
            }
        }
    }

    /** A key below this part of all keys is home. */
    private static final double SCALE = 0x1p-53;

    private final Times times;
    private boolean away;
    private long wait;
    /** When the zone was last lost, or was last seen to return. */
    private long lostAt;
    private boolean everLost;
    /** The ramp as a line: so much of it was reached then. */
    private double level = 1;
    private long levelAt;

    /** A zone that is there, with all its keys. */
    public WayBack(Times times) {
        this.times = times;
    }

    /** The zone is lost. */
    public void lost(long now) {
        if (away) {
            return;
        }
        boolean again = everLost && now - lostAt < times.settled;
        wait = again ? Math.min(times.longest, Math.max(times.first, 2 * wait)) : times.first;
        away = true;
        everLost = true;
        lostAt = now;
    }

    /** The zone is there again: after its wait the ramp begins at nothing. */
    public void back(long now) {
        if (away) {
            away = false;
            lostAt = now;
            level = 0;
            levelAt = now + wait;
        }
    }

    /** Signs of trouble on the way: half of what had been reached, and on from there. */
    public void trouble(long now) {
        double reached = part(now);
        if (!away && reached > 0 && reached < 1) {
            level = reached / 2;
            levelAt = now;
        }
    }

    /** The part of its keys that the zone has now, in [0, 1]. */
    public double part(long now) {
        if (away) {
            return 0;
        }
        return now < levelAt ? level : Math.min(1, level + (double) (now - levelAt) / times.ramp);
    }

    /** Whether a key is home now: the same keys at every balancer that is as far, and none that was home goes again. */
    public boolean isHome(long now, long key) {
        double part = part(now);
        // Mixed, as keys need not be spread evenly (Stafford's variant 13 of MurmurHash3's finalizer).
        long mixed = (key ^ key >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return part >= 1 || ((mixed ^ mixed >>> 31) >>> 11) * SCALE < part;
    }

    /** How long it waits, or has waited last, before its ramp. */
    public long waits() {
        return wait;
    }
}
