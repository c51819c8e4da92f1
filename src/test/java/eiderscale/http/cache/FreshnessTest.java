package eiderscale.http.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** RFC 9111 section 4.2, line by line. */
class FreshnessTest {
    private static final long NOW = 1_800_000_000_000L;
    private static final String DATE = HttpDate.format(NOW / 1000);

    private static Freshness fresh(int status, String... fields) {
        Fields all = Fields.of(fields);
        return Freshness.of(status, all, Control.of(all), NOW, NOW);
    }

    private static String at(long seconds) {
        return HttpDate.format(NOW / 1000 + seconds);
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "max-age=60; 60", "Max-Age=60; 60", "max-age=\"60\"; 60", "max-age=060; 60", "max-age=60, s-maxage=10; 10",
        "s-maxage=10; 10", "max-age=60, max-age=60; 60", "max-age=60, max-age=5; 0", "max-age=-1; 0", "max-age=1.5; 0",
        "max-age=+5; 0", "max-age=0x5; 0", "max-age=; 0", "max-age; 0", "max-age=6O; 0", "max-age =60; 0", "max-age= 60; 0",
        "max-age=2147483647; 2147483647", "max-age=2147483648; 2147483648", "max-age=99999999999999999999; 2147483648",
        "s-maxage=x, max-age=60; 0", "foo=\"max-age=5\", max-age=60; 60", "foo=\"a\\\"b, max-age=5\", max-age=60; 60",
        ",,max-age=60,,; 60", "public; 0", "max-age=60 ; 60", "unknown=\"x, max-age=60; 0"})
    void whatCacheControlSays(String control, long lifetime) {
        assertEquals(lifetime, fresh(200, "Date", DATE, "Cache-Control", control).lifetime());
    }

    @Test
    void directivesMayComeInSeveralLines() {
        assertEquals(7, fresh(200, "date", DATE, "cache-control", "public", "cache-control", "max-age=7").lifetime());
    }

    @Test
    void expiresCountsFromDateAndBehindMaxAge() {
        assertEquals(90, fresh(200, "date", DATE, "expires", at(90)).lifetime());
        assertEquals(5, fresh(200, "date", DATE, "expires", at(90), "cache-control", "max-age=5").lifetime());
        assertEquals(100, fresh(200, "date", at(-10), "expires", at(90)).lifetime());
        assertEquals(90, fresh(200, "expires", at(90)).lifetime(), "without a date: from when it came");
        assertEquals(0, fresh(200, "date", DATE, "expires", "0").lifetime());
        assertEquals(0, fresh(200, "date", DATE, "expires", at(-90)).lifetime());
        assertEquals(0, fresh(200, "date", DATE, "expires", at(90), "expires", at(91)).lifetime());
        assertFalse(fresh(200, "date", DATE, "expires", "0").heuristic());
    }

    @Test
    void heuristicFreshnessIsATenthOfTheTimeSinceTheLastChange() {
        Freshness tenth = fresh(200, "date", DATE, "last-modified", at(-1000));
        assertEquals(100, tenth.lifetime());
        assertTrue(tenth.heuristic());
        assertEquals(86_400, fresh(200, "date", DATE, "last-modified", at(-100_000_000)).lifetime(), "a day at most");
        assertEquals(0, fresh(200, "date", DATE).lifetime());
        assertEquals(0, fresh(200, "date", DATE, "last-modified", at(1000)).lifetime(), "changed in the future");
        assertEquals(0, fresh(302, "date", DATE, "last-modified", at(-1000)).lifetime(), "not by this status");
        assertEquals(100, fresh(302, "date", DATE, "last-modified", at(-1000), "cache-control", "public").lifetime());
    }

    @Test
    void theTargetedFieldSetsTheOthersAside() {
        assertEquals(9, fresh(200, "cache-control", "max-age=60", "cdn-cache-control", "max-age=9").lifetime());
        assertEquals(0, fresh(200, "date", DATE, "expires", at(90), "cdn-cache-control", "must-revalidate").lifetime());
        assertEquals(60, fresh(200, "cache-control", "max-age=60", "cdn-cache-control", "max-age=9, =").lifetime(),
                "one that is invalid counts for nothing");
        assertEquals(60, fresh(200, "cache-control", "max-age=60", "cdn-cache-control", "").lifetime());
        assertEquals(8, fresh(200, "cdn-cache-control", "max-age=9;a=b, max-age=8").lifetime(), "the last counts");
        assertEquals(0, fresh(200, "cdn-cache-control", "max-age=\"9\"").lifetime(), "a string is no number there");
        assertFalse(Control.of(Fields.of("cdn-cache-control", "no-store=?0, max-age=3")).has("no-store"));
    }

    private static Freshness aged(long asked, long came, String... fields) {
        Fields all = Fields.of(fields);
        return Freshness.of(200, all, Control.of(all), asked, came);
    }

    @Test
    void ageIsTheGreaterOfWhatClocksAndFieldsTell() {
        assertEquals(0, aged(NOW, NOW, "date", DATE).age(NOW));
        assertEquals(30, aged(NOW, NOW, "date", at(-30)).age(NOW), "by the clocks");
        assertEquals(40, aged(NOW, NOW, "date", at(-30), "age", "40").age(NOW), "by the field");
        assertEquals(42, aged(NOW - 2_000, NOW, "date", DATE, "age", "40").age(NOW), "with the way it took");
        assertEquals(0, aged(NOW, NOW, "date", at(30)).age(NOW), "a clock that goes ahead");
        assertEquals(50, aged(NOW, NOW, "date", DATE, "age", "40").age(NOW + 10_000));
        assertEquals(7, aged(NOW, NOW, "age", "7, 90").age(NOW), "the first of a list");
        assertEquals(7, aged(NOW, NOW, "age", "7", "age", "90").age(NOW));
        for (String wrong : new String[] {"-7", "x", "7.5", "", "+7"}) {
            assertEquals(0, aged(NOW, NOW, "age", wrong).age(NOW), wrong);
        }
        assertEquals(Delta.MOST, aged(NOW, NOW, "age", "99999999999").age(NOW));
        assertEquals(3, aged(NOW, NOW, "age", "3").age(NOW - 5_000), "a clock that was set back");
    }

    @Test
    void freshMeansThatTheLifetimeExceedsTheAge() {
        Freshness ten = aged(NOW, NOW, "date", DATE, "cache-control", "max-age=10");
        assertTrue(ten.isFresh(NOW + 9_999));
        assertFalse(ten.isFresh(NOW + 10_000));
    }

    /** Against the text's own arithmetic, in whole seconds and written down as it stands there. */
    @Property(tries = 2_000, seed = "9111", edgeCases = EdgeCasesMode.NONE)
    void theArithmeticIsThatOfTheText(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long responseTime = NOW / 1000 + random.nextInt(-1000, 1000);
        long requestTime = responseTime - random.nextInt(30);
        long dateValue = responseTime + random.nextInt(-200, 50);
        long ageValue = random.nextInt(100);
        long maxAge = random.nextInt(300);
        long now = responseTime + random.nextInt(400);
        Freshness ours = aged(requestTime * 1000, responseTime * 1000, "date", HttpDate.format(dateValue), "age",
                String.valueOf(ageValue), "cache-control", "max-age=" + maxAge);
        long apparentAge = Math.max(0, responseTime - dateValue);
        long responseDelay = responseTime - requestTime;
        long correctedAgeValue = ageValue + responseDelay;
        long correctedInitialAge = Math.max(apparentAge, correctedAgeValue);
        long residentTime = now - responseTime;
        long currentAge = correctedInitialAge + residentTime;
        assertEquals(currentAge, ours.age(now * 1000));
        assertEquals(maxAge > currentAge, ours.isFresh(now * 1000));
    }
}
