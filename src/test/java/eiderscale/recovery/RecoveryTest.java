package eiderscale.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.recovery.Recovery.State;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RecoveryTest {
    private final Recovery recovery = new Recovery();

    /** How many begin at once. */
    private int burst() {
        int begun = 0;
        while (recovery.mayBegin() && begun < 10_000) {
            recovery.began();
            begun++;
        }
        return begun;
    }

    @Test
    void nothingBeginsBeforeTheListAndThenMoreWithEachAnswer() {
        assertEquals(State.SETTLED, recovery.state());
        recovery.stoodStill(true);
        assertEquals(0, burst());
        recovery.told();
        assertEquals(Recovery.FIRST, burst());
        recovery.ended(true);
        assertEquals(2, burst(), "one that has ended, and one more as it was served");
        recovery.ended(false);
        assertEquals(1, burst(), "what was not served shows no room");
        recovery.settled();
        assertEquals(10_000, burst());
    }

    @Test
    void whereNobodyIsAskedItSettlesAtOnce() {
        recovery.stoodStill(false);
        assertEquals(State.SETTLING, recovery.state());
        assertEquals(Recovery.FIRST, burst());
        recovery.stoodStill(true);
        assertEquals(0, burst(), "a second standstill on the way back");
    }

    @Test
    void wordOfAListOutsideOfAStandstillChangesNothing() {
        recovery.told();
        assertEquals(State.SETTLED, recovery.state());
    }

    /** Whatever ends how: what is out never exceeds the first few and one for each that was served. */
    @Property
    void theBurstIsBounded(@ForAll @Size(max = 200) List<@IntRange(min = 0, max = 2) Integer> steps) {
        Recovery one = new Recovery();
        one.stoodStill(false);
        int out = 0;
        int served = 0;
        for (int step : steps) {
            if (step == 2 && one.mayBegin()) {
                one.began();
                out++;
            } else if (step < 2 && out > 0) {
                out--;
                served += step;
                one.ended(step == 1);
            }
            assertTrue(out <= Recovery.FIRST + served);
            assertTrue(out > 0 || one.mayBegin(), "with nothing out something may begin");
        }
    }

    @Test
    void aStandstillIsNoticedOnceByWhateverComesFirst() {
        Heartbeat heartbeat = new Heartbeat(0, 100);
        assertFalse(heartbeat.beat(90));
        assertFalse(heartbeat.isFirst(189));
        assertTrue(heartbeat.isFirst(190));
        assertFalse(heartbeat.isFirst(190));
        assertFalse(heartbeat.beat(250));
        assertTrue(heartbeat.beat(350), "a beat may come first as well");
        assertFalse(heartbeat.isFirst(400));
        assertThrows(IllegalArgumentException.class, () -> new Heartbeat(0, 0));
    }
}
