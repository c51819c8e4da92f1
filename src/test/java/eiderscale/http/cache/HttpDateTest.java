package eiderscale.http.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpDateTest {
    private static final long NOW = Instant.parse("2026-12-01T00:00:00Z").getEpochSecond();
    private static final DateTimeFormatter IMF = DateTimeFormatter.ofPattern("EEE, dd MMM yyyy HH:mm:ss 'GMT'", Locale.US);
    private static final DateTimeFormatter RFC_850 = DateTimeFormatter.ofPattern("EEEE, dd-MMM-yy HH:mm:ss 'GMT'",
            Locale.US);
    private static final DateTimeFormatter ASCTIME = DateTimeFormatter.ofPattern("EEE MMM ppd HH:mm:ss yyyy", Locale.US);

    @Test
    void theThreeFormsOfTheText() {
        long moment = Instant.parse("1994-11-06T08:49:37Z").getEpochSecond();
        assertEquals(moment, HttpDate.parse("Sun, 06 Nov 1994 08:49:37 GMT", NOW));
        assertEquals(moment, HttpDate.parse("Sunday, 06-Nov-94 08:49:37 GMT", NOW));
        assertEquals(moment, HttpDate.parse("Sun Nov  6 08:49:37 1994", NOW));
        assertEquals("Sun, 06 Nov 1994 08:49:37 GMT", HttpDate.format(moment));
    }

    /** Two digits: never over 50 years ahead. */
    @Test
    void aYearOfTwoDigits() {
        assertEquals(Instant.parse("2076-01-01T00:00:00Z").getEpochSecond(), HttpDate.parse("Wednesday, 01-Jan-76 00:00:00 GMT", NOW));
        assertEquals(Instant.parse("1977-01-01T00:00:00Z").getEpochSecond(), HttpDate.parse("Saturday, 01-Jan-77 00:00:00 GMT", NOW));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "0", "-1", "soon", "Sun, 06 Nov 1994 08:49:37 UTC", "Sun, 06 Nov 1994 08:49:37", "Sun, 31 Feb 1994 08:49:37 GMT",
        "Sun, 06 Nov 1994 24:49:37 GMT", "Sun, 06 Nov 1994 08:60:37 GMT", "Sun, 06 Nov 1994 08:49:61 GMT", "Xyz, 06 Nov 1994 08:49:37 GMT",
        "Sun, 06 Xyz 1994 08:49:37 GMT", "Sun, 6 Nov 1994 08:49:37 GMT", "Sun, 06 Nov 94 08:49:37 GMT", "Sun, 06 Nov 1994 8:49:37 GMT",
        "Sun, 06 Nov 1994 08:49:37 +0000", "1994-11-06T08:49:37Z", "Sun, 29 Feb 1900 00:00:00 GMT", "Sun, 00 Nov 1994 08:49:37 GMT"})
    void whatIsNoDate(String text) {
        assertEquals(HttpDate.NONE, HttpDate.parse(text, NOW));
    }

    @Property(tries = 1_000, seed = "7231")
    void asTheLibraryHasIt(@ForAll @LongRange(min = -62_000_000_000L, max = 253_402_300_799L) long seconds) {
        var time = Instant.ofEpochSecond(seconds).atZone(ZoneOffset.UTC);
        assertEquals(IMF.format(time), HttpDate.format(seconds));
        assertEquals(seconds, HttpDate.parse(IMF.format(time), NOW));
        assertEquals(seconds, HttpDate.parse(ASCTIME.format(time), NOW));
    }

    @Property(tries = 1_000, seed = "850")
    void theObsoleteFormWithinItsHundredYears(@ForAll @LongRange(min = 218_246_401L, max = 3_374_006_400L) long seconds) {
        assertEquals(seconds, HttpDate.parse(RFC_850.format(Instant.ofEpochSecond(seconds).atZone(ZoneOffset.UTC)), NOW));
    }
}
