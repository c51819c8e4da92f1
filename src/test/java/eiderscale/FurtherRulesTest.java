package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.Reason;
import org.junit.jupiter.api.Test;

/** The rules that hold only where settings state them: order for each key, and a budget of further attempts. */
class FurtherRulesTest {
    private static Bed ordered() {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.ordered = true;
        return new Bed(builder).servers(6);
    }

    private static Bed budgeted(double free, double share) {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.budget = new Api.Budget(free, share, 2000 * Bed.MS);
        return new Bed(builder).servers(6);
    }

    @Test
    void requestsOfOneKeyRunOneAtATimeInTheOrderTaken() {
        Bed bed = ordered();
        assertNotNull(bed.request(1, Bed.KEYED, 5));
        assertNull(bed.request(2, Bed.KEYED, 5));
        assertNull(bed.request(3, Bed.KEYED, 5));
        assertNotNull(bed.request(4, Bed.KEYED, 6), "another key is free");
        assertNotNull(bed.request(5, Bed.READ, 5), "a class without order is free");
        assertEquals(2, bed.outcome(1, 0, Reason.OK).request());
        assertEquals(3, bed.outcome(2, 0, Reason.OK).request());
    }

    @Test
    void aKeyRestsAfterAnAttemptThatMayRunOn() {
        for (Reason reason : new Reason[] {Reason.TIMEOUT, Reason.RESET}) {
            Bed bed = ordered();
            bed.request(1, Bed.KEYED, 5);
            bed.request(2, Bed.KEYED, 5);
            bed.pass(900);
            assertNull(bed.outcome(1, 0, reason));
            bed.pass(49);
            assertEquals(1, bed.sends.size(), reason + ": the key rests");
            bed.pass(1);
            assertEquals(2, bed.sends.size(), reason + ": and goes on by itself");
        }
    }

    @Test
    void aClientThatLeavesHoldsItsKeyUntilTheAttemptIsReported() {
        Bed bed = ordered();
        bed.request(1, Bed.KEYED, 5);
        bed.request(2, Bed.KEYED, 5);
        bed.router.onClientGone(bed.now, 1);
        bed.pass(300);
        assertEquals(1, bed.sends.size());
        bed.outcome(1, 0, Reason.CANCELLED);
        bed.pass(50);
        assertEquals(2, bed.sends.get(1).request());
    }

    @Test
    void aRestOutlivesTheEndOfTheLine() {
        Bed bed = ordered();
        bed.request(1, Bed.KEYED, 5);
        bed.pass(900);
        bed.outcome(1, 0, Reason.TIMEOUT);
        bed.pass(10);
        assertNull(bed.request(2, Bed.KEYED, 5));
        bed.pass(40);
        assertEquals(2, bed.sends.size());
    }

    @Test
    void aHeldRequestIsRefusedInTimeAndOnce() {
        Bed bed = ordered();
        bed.request(1, Bed.KEYED, 5);
        bed.request(2, Bed.KEYED, 5);
        bed.pass(999);
        assertTrue(bed.refusals.isEmpty());
        bed.pass(1);
        assertTrue(bed.refused(2));
        bed.outcome(1, 0, Reason.OK);
        assertEquals(1, bed.refusals.size());
        assertEquals(1, bed.sends.size());
    }

    @Test
    void aLineThatCannotBeServedInTimeIsRefusedEarly() {
        Bed bed = ordered();
        for (long id = 1; id <= 40; id++) {
            bed.request(id, Bed.KEYED, 100 + id);
            bed.pass(200);
            bed.outcome(id, 0, Reason.OK);
        }
        for (long id = 100; id < 120; id++) {
            bed.request(id, Bed.KEYED, 5);
        }
        assertTrue(bed.refusals.size() >= 14, "refused at once: " + bed.refusals.size());
        assertTrue(bed.refusals.size() <= 16, "those with hope wait: " + bed.refusals.size());
    }

    @Test
    void furtherAttemptsStayWithinTheSlidingWindow() {
        Bed bed = budgeted(1, 0.05);
        int further = 0;
        for (long id = 1; id <= 40; id++) {
            bed.request(id, Bed.READ, id);
            Reason end = id > 35 ? Reason.CONNECT_FAILED : Reason.OK;
            further += bed.outcome(id, 0, end) != null ? 1 : 0;
        }
        assertEquals(3, further, "1 + 5% of 40");
        bed.pass(2000);
        bed.request(50, Bed.READ, 5);
        assertNull(bed.outcome(50, 0, Reason.CONNECT_FAILED), "the attempts of 2 s ago still count, the requests do not");
        bed.pass(1);
        bed.request(51, Bed.READ, 5);
        assertNotNull(bed.outcome(51, 0, Reason.CONNECT_FAILED));
    }

    @Test
    void aCopyTakesFromTheBudgetToo() {
        Bed bed = budgeted(1, 0);
        bed.warmDigest(40);
        bed.pass(2001);
        bed.request(1, Bed.READ, 5);
        bed.pass(100);
        assertEquals(2, bed.sends.size(), "the copy");
        bed.request(2, Bed.READ, 6);
        assertNull(bed.outcome(2, 0, Reason.REJECTED));
    }

    @Test
    void aMissGoesToTheOriginBesideTheBudget() {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.aside = true;
        builder.budget = new Api.Budget(0, 0, 2000 * Bed.MS);
        Bed bed = new Bed(builder).list(java.util.List.of(Bed.server(1), Bed.server(2), Bed.origin(99)));
        bed.request(1, Bed.READ, 5);
        assertEquals(99, bed.outcome(1, 0, Reason.MISS).server());
        assertNull(bed.outcome(1, 1, Reason.CONNECT_FAILED));
    }
}
