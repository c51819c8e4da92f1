package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.Lookup;
import eiderscale.Api.Reason;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What answers say of the fleet's load where hosts read through: a fetch is no sign of it, a failed one is. */
class MissesTest {
    private static final int REQUESTS = 600;

    /**
     * One read after another: {@code missPart} of them are misses. With an aim of 1,000 ms an answer after 450 ms is a
     * sign of overload, but a miss is allowed what a fetch takes beside a hit, 200 ms at most.
     */
    @ParameterizedTest(name = "{0} of the reads missed, hits {1} ms, misses {2} ms, {3} of the misses fail")
    @CsvSource({
        "0.0, 100, 0, 0.0, false",
        "0.8, 300, 480, 0.0, false",
        "0.8, 100, 700, 0.0, true",
        "0.0, 600, 0, 0.0, true",
        "0.8, 100, 200, 0.9, true",
    })
    void readsAreTurnedAwayWhereTheFleetIsPressed(double missPart, long hitMs, long missMs, double failPart, boolean shed) {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.hedge = false;
        builder.retry = false;
        builder.report = new Api.ReportLayout(-1, -1, 0);
        Bed bed = new Bed(builder).servers(8);
        int refused = 0;
        for (int id = 1; id <= REQUESTS; id++) {
            int before = bed.sends.size();
            bed.request(id, Bed.READ, 7919L * id);
            if (bed.sends.size() == before) {
                refused += id > REQUESTS / 2 ? 1 : 0;
                bed.pass(100);
                continue;
            }
            boolean miss = id * 0.618 % 1 < missPart;
            boolean fails = miss && id * 0.414 % 1 < failPart;
            bed.pass(miss ? missMs : hitMs);
            bed.router.onOutcome(bed.now, new Api.Outcome(id, 0, fails ? Reason.ERROR : Reason.OK, 0, !fails, new float[] {0.5f},
                    fails ? Lookup.UNTOLD : miss ? Lookup.MISS : Lookup.HIT));
        }
        int turnedAway = refused;
        if (shed) {
            assertTrue(turnedAway > REQUESTS / 20, () -> "turned away " + turnedAway);
        } else {
            assertEquals(0, turnedAway);
        }
    }
}
