package eiderscale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When a fleet counts as back, by counts that are made up. */
class FullServiceTest {
    private static final long MS = 1_000_000L;
    private static final long HIT = 5_000 * MS;

    /** 20 s at 100 a window; from the injury on {@code part} of them for so long, and {@code slow} ms for so long. */
    private static Tally played(double part, long badMs, long slow, long slowMs) {
        Tally tally = new Tally(20_000 * MS);
        for (long at = 0; at < 20_000 * MS; at += 250 * MS) {
            boolean bad = at >= HIT && at < HIT + badMs * MS;
            boolean late = at >= HIT && at < HIT + slowMs * MS;
            for (int i = 0; i < 100; i++) {
                tally.add(Tally.Of.ASKED, at, 1);
                if (!bad || i < 100 * part) {
                    tally.served(at, (late ? slow : 10) * MS);
                }
            }
        }
        return tally;
    }

    @ParameterizedTest
    @CsvSource({
        // part, for ms, slow ms, for ms, back after ms (-1: not), cause
        "1.0, 0, 10, 0, 0, ''",
        "0.2, 1000, 10, 0, 1000, share",
        "0.0, 3000, 10, 0, 3000, share",
        "1.0, 0, 60, 2000, 2000, p99",
        "0.5, 1000, 60, 4000, 4000, p99",
        "0.2, 15000, 10, 0, -1, share",
        "0.97, 5000, 10, 0, 0, ''",
    })
    void itIsBackOnceShareAndLatencyAre(double part, long badMs, long slow, long slowMs, long backMs, String cause) {
        FullService full = FullService.of(played(part, badMs, slow, slowMs), 1_000 * MS, HIT);
        assertEquals(backMs < 0 ? -1 : backMs * MS, full.after());
        assertEquals(cause, full.cause());
        if (part < 0.95 && backMs >= 0) {
            assertEquals(badMs / 250 * 100 * (1 - part), full.lost(), 1e-6);
        } else {
            assertTrue(full.lost() >= 0);
        }
    }

    /** A second fall within ten seconds counts; one behind them is another story. */
    @ParameterizedTest
    @CsvSource({"4, 5000", "8, 9000", "12, 0"})
    void itHoldsForTenSeconds(int secondFall, long backMs) {
        Tally tally = new Tally(30_000 * MS);
        for (long at = 0; at < 30_000 * MS; at += 250 * MS) {
            boolean bad = at >= HIT + secondFall * 1_000 * MS && at < HIT + (secondFall + 1) * 1_000 * MS;
            for (int i = 0; i < 100; i++) {
                tally.add(Tally.Of.ASKED, at, 1);
                if (!bad) {
                    tally.served(at, 10 * MS);
                }
            }
        }
        assertEquals(backMs * MS, FullService.of(tally, 0, HIT).after());
    }
}
