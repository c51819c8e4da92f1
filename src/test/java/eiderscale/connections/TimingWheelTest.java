package eiderscale.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TimingWheelTest {
    private static final long TICK = 10;

    private static final class Probe extends TimingWheel.Timer {
        long firedAt = -1;
        int times;

        @Override
        protected void fire(long now) {
            firedAt = now;
            times++;
        }
    }

    /** Against a plain list: each timer fires once, never early, and at the first step a tick after its moment. */
    @Property(tries = 300, seed = "20261201", edgeCases = EdgeCasesMode.NONE)
    void everyTimerFiresOnceAndInTime(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long now = random.nextLong(-1_000_000, 1_000_000);
        TimingWheel wheel = new TimingWheel(TICK, now);
        List<Probe> set = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            for (int i = random.nextInt(4); i > 0; i--) {
                Probe probe = new Probe();
                wheel.set(probe, now + span(random));
                set.add(probe);
            }
            if (!set.isEmpty() && random.nextInt(3) == 0) {
                Probe probe = set.get(random.nextInt(set.size()));
                if (random.nextBoolean()) {
                    wheel.cancel(probe);
                    set.remove(probe);
                } else {
                    wheel.set(probe, now + span(random));
                }
            }
            assertEquals(set.size(), wheel.size());
            long due = set.stream().mapToLong(Probe::at).min().orElse(Long.MAX_VALUE);
            assertTrue(wheel.nextAt() <= Math.max(now, due) + TICK || due == Long.MAX_VALUE && wheel.nextAt() == due,
                    "told in time: " + wheel.nextAt() + " for " + due);
            now += random.nextInt(20) == 0 ? random.nextLong(10_000_000) : random.nextLong(300);
            int fired = wheel.advance(now, Integer.MAX_VALUE);
            long at = now;
            int before = set.size();
            set.removeIf(probe -> {
                boolean mustHave = probe.at() <= at - TICK;
                if (probe.times == 0) {
                    assertFalse(mustHave, "due at " + probe.at() + ", not fired at " + at);
                    return false;
                }
                assertTrue(probe.at() <= at, "never early");
                assertEquals(1, probe.times);
                assertFalse(probe.isSet());
                return true;
            });
            assertEquals(before - set.size(), fired);
        }
    }

    private static long span(SplittableRandom random) {
        return switch (random.nextInt(5)) {
            case 0 -> -random.nextLong(100);
            case 1 -> random.nextLong(5 * TICK);
            case 2 -> random.nextLong(600 * TICK);
            case 3 -> random.nextLong(512 * 600 * TICK);
            default -> random.nextLong(40 * 512 * 512 * TICK);
        };
    }

    @Test
    void whatFallsDueTogetherIsHandedOutInPortions() {
        TimingWheel wheel = new TimingWheel(TICK, 0);
        List<Probe> all = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            Probe probe = new Probe();
            all.add(probe);
            wheel.set(probe, 1_000);
        }
        int turns = 0;
        while (wheel.nextAt() <= 2_000) {
            assertTrue(wheel.advance(2_000, 64) <= 64);
            turns++;
        }
        assertEquals(100_000 / 64 + 1, turns);
        assertTrue(all.stream().allMatch(probe -> probe.times == 1));
        assertEquals(Long.MAX_VALUE, wheel.nextAt());
    }

    @Test
    void aTimerMayBeSetAgainAsItFires() {
        TimingWheel wheel = new TimingWheel(TICK, 0);
        int[] times = new int[1];
        wheel.set(new TimingWheel.Timer() {
            @Override
            protected void fire(long now) {
                times[0]++;
                wheel.set(this, now + 100);
            }
        }, 100);
        for (long now = 0; now <= 1_000; now += TICK) {
            wheel.advance(now, 10);
        }
        assertEquals(10, times[0]);
        assertThrows(IllegalArgumentException.class, () -> new TimingWheel(0, 0));
    }
}
