package eiderscale.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A stop's moments against the earliest SIGKILL. */
class StopPlanTest {
    private static final long MS = 1_000_000L;

    /** The longest deadline, 3 s at most, and 0.7 s. */
    @ParameterizedTest
    @CsvSource({"200, 900", "3000, 3700", "3001, 3700", "60000, 3700"})
    void theEarliestKillCountsThreeSecondsAtMost(long deadlineMs, long killMs) {
        assertEquals(killMs * MS, StopPlan.earliestKill(deadlineMs * MS));
    }

    /** Guards against lost requests: whatever the deadlines, the last answer is on its way before the process may be killed. */
    @Property
    void allIsAnsweredBeforeTheEarliestKill(@ForAll @LongRange(min = -1L << 50, max = 1L << 50) long now,
            @ForAll @LongRange(min = 1, max = 600_000 * MS) long longestDeadline) {
        long kill = now + StopPlan.earliestKill(longestDeadline);
        for (StopPlan plan : new StopPlan[] {StopPlan.alone(now, longestDeadline), StopPlan.followed(now, longestDeadline)}) {
            assertTrue(plan.answerBy() < kill);
            assertTrue(plan.closeAt() > now);
            assertTrue(plan.closeAt() < kill);
        }
        assertTrue(StopPlan.followed(now, longestDeadline).closeAt() < StopPlan.followed(now, longestDeadline).answerBy());
    }
}
