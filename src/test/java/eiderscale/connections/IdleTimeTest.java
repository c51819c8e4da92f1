package eiderscale.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class IdleTimeTest {
    private static final long MOST = 18_000_000_000L;

    @Test
    void withoutFullTablesTheSettingsCount() {
        IdleTime time = new IdleTime();
        for (int i = 0; i < 1_000_000; i++) {
            time.welcomed();
        }
        assertEquals(MOST, time.limit(MOST));
    }

    @Property(tries = 200)
    void itStaysWithinItsBounds(@ForAll boolean[] signs) {
        IdleTime time = new IdleTime();
        for (boolean full : signs) {
            if (full) {
                time.turnedAway();
            } else {
                time.welcomed();
            }
            assertTrue(time.limit(MOST) >= IdleTime.LEAST && time.limit(MOST) <= MOST);
        }
    }

    /**
     * Fourteen balancers before hosts with room for eight connections each; every balancer asks every host once a second
     * on average. Counted over all of them, fewer are turned away than where each keeps what it may need again.
     */
    @Test
    void manyBalancersLeaveRoomForOneAnother() {
        double kept = turnedAway(true);
        double fixed = turnedAway(false);
        assertTrue(fixed > 0.3, () -> "with a fixed time turned away: " + fixed);
        assertTrue(kept < 0.75 * fixed, () -> "turned away: " + kept);
    }

    private static double turnedAway(boolean adapts) {
        int balancers = 14;
        int hosts = 60;
        int room = 8;
        SplittableRandom random = new SplittableRandom(5);
        IdleTime[] times = new IdleTime[balancers];
        java.util.Arrays.setAll(times, i -> new IdleTime());
        long[][] idleSince = new long[hosts][balancers];
        long now = 0;
        int asked = 0;
        int away = 0;
        for (int i = 0; i < 40_000; i++) {
            now += 1_000_000_000L / (balancers * hosts);
            int balancer = random.nextInt(balancers);
            long[] host = idleSince[random.nextInt(hosts)];
            int open = 0;
            for (int b = 0; b < balancers; b++) {
                long limit = adapts ? times[b].limit(MOST) : MOST;
                host[b] = host[b] != 0 && now - host[b] > limit ? 0 : host[b];
                open += host[b] != 0 ? 1 : 0;
            }
            boolean full = host[balancer] == 0 && open >= room;
            if (full) {
                times[balancer].turnedAway();
            } else {
                if (host[balancer] == 0) {
                    times[balancer].welcomed();
                }
                host[balancer] = now;
            }
            asked += i > 20_000 ? 1 : 0;
            away += full && i > 20_000 ? 1 : 0;
        }
        return (double) away / asked;
    }
}
