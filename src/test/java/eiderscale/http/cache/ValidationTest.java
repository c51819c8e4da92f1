package eiderscale.http.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.http.cache.Preconditions.Outcome;
import eiderscale.http.cache.Ranges.Slice;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** RFC 9111 sections 3.2 to 3.4, 4.3 and 4.4; RFC 9110 sections 8.8, 13 and 14. */
class ValidationTest {
    private static final long NOW = 1_800_000_000_000L;
    private static final String OLD = HttpDate.format(NOW / 1000 - 1000);
    private static final String DATE = HttpDate.format(NOW / 1000);

    private static Stored stored(String... fields) {
        return Stored.of(200, Fields.of(fields), Fields.NONE, NOW, NOW, null);
    }

    private static Stored part(String tag, long first, long last) {
        return Stored.of(206, Fields.of("etag", tag, "cache-control", "max-age=9"), Fields.NONE, NOW, NOW,
                new ContentRange(first, last, 100));
    }

    @Test
    void itAsksByAllTagsAndTheDateOfTheChosenOne() {
        Stored one = stored("etag", "\"1\"", "last-modified", OLD);
        Stored two = stored("etag", "W/\"2\"");
        Fields asked = Validation.request(Fields.of("accept", "x", "if-none-match", "\"own\"", "range", "bytes=0-1"), one,
                List.of(one, two));
        assertEquals(Fields.of("accept", "x", "if-none-match", "\"1\", W/\"2\"", "if-modified-since", OLD), asked);
        assertEquals(Fields.NONE, Validation.request(Fields.NONE, stored("etag", "no tag", "last-modified", "soon"), List.of()));
        assertFalse(Validation.hasValidator(stored("date", DATE)));
    }

    @Test
    void a304IsAboutThoseThatShareItsValidator() {
        Stored one = stored("etag", "\"1\"");
        Stored same = stored("etag", "\"1\"", "vary", "a");
        Stored two = stored("etag", "W/\"2\"", "date", OLD);
        Stored dated = stored("last-modified", OLD, "date", DATE);
        List<Stored> all = List.of(one, same, two, dated);
        assertEquals(List.of(one, same), Validation.selected(Fields.of("etag", "\"1\""), all), "a strong one: all");
        assertEquals(List.of(two), Validation.selected(Fields.of("etag", "W/\"2\""), all));
        assertEquals(List.of(dated), Validation.selected(Fields.of("last-modified", OLD), all));
        assertEquals(List.of(), Validation.selected(Fields.of("etag", "\"9\""), all));
        assertEquals(List.of(), Validation.selected(Fields.NONE, all), "none of several without a validator");
        assertEquals(List.of(dated), Validation.selected(Fields.NONE, List.of(dated)));
        assertEquals(List.of(), Validation.selected(Fields.NONE, List.of()), "a 304 that nobody asked for");
    }

    @Test
    void freshenedItHasTheNewFieldsAndTheOldBody() {
        Stored old = Stored.of(200, Fields.of("etag", "\"1\"", "content-length", "5", "content-type", "text/plain", "age", "90",
                "cache-control", "max-age=10", "x-a", "1", "x-a", "2", "date", OLD), Fields.NONE, NOW - 500_000, NOW - 500_000, null);
        assertFalse(old.freshness().isFresh(NOW));
        Stored fresh = Validation.freshened(old, Fields.of("etag", "\"1\"", "content-length", "0", "content-type", "x/y", "x-a", "3",
                "connection", "x-hop", "x-hop", "1", "date", DATE, "cache-control", "max-age=20"), NOW - 1000, NOW);
        assertEquals("5", fresh.fields().first("content-length"));
        assertEquals("text/plain", fresh.fields().first("content-type"));
        assertEquals(List.of("3"), fresh.fields().all("x-a"));
        assertNull(fresh.fields().first("x-hop"));
        assertNull(fresh.fields().first("age"));
        assertEquals(1, fresh.freshness().age(NOW));
        assertTrue(fresh.freshness().isFresh(NOW + 18_000));
        assertFalse(fresh.freshness().isFresh(NOW + 19_000));
        Stored undated = Validation.freshened(old, Fields.of("etag", "\"1\""), NOW, NOW);
        assertEquals(0, undated.freshness().age(NOW), "not as old as the date that it had");
        assertTrue(undated.freshness().isFresh(NOW), "by what it said before");
    }

    @Test
    void aHeadFitsWhereWhatItTellsIsTheSame() {
        Stored one = stored("etag", "\"1\"", "content-length", "5");
        assertTrue(Validation.fits(one, Fields.of("etag", "\"1\"", "content-length", "5")));
        assertTrue(Validation.fits(one, Fields.of("date", DATE)));
        assertFalse(Validation.fits(one, Fields.of("etag", "\"2\"")));
        assertFalse(Validation.fits(one, Fields.of("content-length", "6")));
        assertFalse(Validation.fits(one, Fields.of("last-modified", OLD)));
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "\"1\"; NOT_MODIFIED", "W/\"1\"; NOT_MODIFIED", "\"2\", \"1\"; NOT_MODIFIED", "\"2\"; SEND", "*; NOT_MODIFIED",
        "1; SEND", "\"a,b\", \"1\"; NOT_MODIFIED", "\"1; SEND", ",, \"1\"; NOT_MODIFIED", "junk, \"1\"; NOT_MODIFIED"})
    void ifNoneMatch(String list, Outcome outcome) {
        assertEquals(outcome, Preconditions.judge(Fields.of("if-none-match", list), stored("etag", "\"1\""), NOW));
    }

    @Test
    void otherConditions() {
        Stored dated = stored("last-modified", OLD, "date", DATE);
        assertEquals(Outcome.NOT_MODIFIED, Preconditions.judge(Fields.of("if-modified-since", OLD), dated, NOW));
        assertEquals(Outcome.NOT_MODIFIED, Preconditions.judge(Fields.of("if-modified-since", DATE), dated, NOW));
        assertEquals(Outcome.SEND, Preconditions.judge(Fields.of("if-modified-since", HttpDate.format(NOW / 1000 - 1001)), dated, NOW));
        assertEquals(Outcome.SEND, Preconditions.judge(Fields.of("if-modified-since", "x"), dated, NOW));
        assertEquals(Outcome.SEND, Preconditions.judge(Fields.of("if-modified-since", OLD, "if-modified-since", OLD), dated, NOW));
        assertEquals(Outcome.SEND, Preconditions.judge(Fields.of("if-none-match", "\"9\"", "if-modified-since", DATE), dated, NOW),
                "the tag goes before the date");
        assertEquals(Outcome.NOT_MODIFIED, Preconditions.judge(Fields.of("if-modified-since", DATE), stored("date", DATE), NOW));
        assertEquals(Outcome.FORWARD, Preconditions.judge(Fields.of("if-match", "\"1\""), dated, NOW));
        assertEquals(Outcome.FORWARD, Preconditions.judge(Fields.of("if-unmodified-since", DATE), dated, NOW));
        assertEquals(Outcome.SEND, Preconditions.judge(Fields.of("if-none-match", "*"), Stored.of(404, Fields.NONE, Fields.NONE, NOW,
                NOW, null), NOW), "not of an error");
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "bytes=0-4; 0; 4", "bytes=5-; 5; 9", "bytes=-3; 7; 9", "bytes=-30; 0; 9", "bytes=8-99; 8; 9", "Bytes=0-0; 0; 0",
        "bytes=10-; 0; -1", "bytes=-0; 0; -1", "bytes=99-100; 0; -1"})
    void oneRangeIsServed(String range, long first, long last) {
        assertEquals(new Slice(first, last), Ranges.asked(Fields.of("range", range), stored("etag", "\"1\""), 10));
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {"bytes=4-3", "bytes=a-b", "lines=0-4", "bytes=0-1,3-4", "bytes=", "bytes=-", "bytes=1",
        "bytes=99999999999999999999-"})
    void whatIsNoRangeIsTheWhole(String range) {
        assertNull(Ranges.asked(Fields.of("range", range), stored("etag", "\"1\""), 10));
    }

    @Test
    void ifRangeNeedsAStrongValidator() {
        Fields range = Fields.of("range", "bytes=0-1", "if-range", "\"1\"");
        assertEquals(new Slice(0, 1), Ranges.asked(range, stored("etag", "\"1\""), 10));
        assertNull(Ranges.asked(range, stored("etag", "\"2\""), 10));
        assertNull(Ranges.asked(range, stored("etag", "W/\"1\""), 10));
        Fields weak = Fields.of("range", "bytes=0-1", "if-range", "W/\"1\"");
        assertNull(Ranges.asked(weak, stored("etag", "W/\"1\""), 10));
        Fields date = Fields.of("range", "bytes=0-1", "if-range", OLD);
        assertEquals(new Slice(0, 1), Ranges.asked(date, stored("last-modified", OLD, "date", DATE), 10));
        assertNull(Ranges.asked(date, stored("last-modified", OLD, "date", OLD), 10), "made in the same second");
        assertNull(Ranges.asked(date, stored("last-modified", DATE, "date", DATE), 10));
    }

    @Test
    void partsAreServedWithinThemAndCombinedByAStrongTag() {
        Stored low = part("\"1\"", 0, 49);
        assertEquals(Reuse.Kind.FRESH, Reuse.of("GET", Fields.of("range", "bytes=10-20"), List.of(low), NOW).kind());
        assertEquals(Reuse.Reason.PARTIAL, Reuse.of("GET", Fields.of("range", "bytes=10-50"), List.of(low), NOW).reason());
        assertEquals(Reuse.Reason.PARTIAL, Reuse.of("GET", Fields.NONE, List.of(low), NOW).reason());
        assertEquals(Reuse.Reason.PARTIAL, Reuse.of("HEAD", Fields.NONE, List.of(low), NOW).reason());
        assertEquals(new ContentRange(0, 99, 100), Ranges.combined(low, part("\"1\"", 50, 99)));
        assertEquals(new ContentRange(0, 60, 100), Ranges.combined(part("\"1\"", 20, 60), low));
        assertNull(Ranges.combined(low, part("\"1\"", 51, 99)), "a gap");
        assertNull(Ranges.combined(low, part("\"2\"", 50, 99)));
        assertNull(Ranges.combined(part("W/\"1\"", 0, 49), part("W/\"1\"", 50, 99)), "weak tags");
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {"bytes 0-4/10; bytes 0-4/10", "bytes 0-4/*; bytes 0-4/*", "BYTES 9-9/10; bytes 9-9/10"})
    void contentRange(String text, String read) {
        assertEquals(read, ContentRange.parse(text).toString());
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {"bytes */10", "bytes 4-3/10", "bytes 0-10/10", "bytes 0-4", "0-4/10", "bytes a-b/10", "bytes -4/10"})
    void whatIsNoContentRange(String text) {
        assertNull(ContentRange.parse(text));
    }

    @Test
    void unsafeMethodsTakeOutWhatTheyNameOfTheirOwnOrigin() {
        CacheKey target = CacheKey.of("HTTP", "Example.org:80", "/a/b?x=1");
        assertEquals(CacheKey.of("http", "example.org", "/a/b?x=1#f"), target);
        assertEquals(List.of(target), Invalidation.of("POST", target, 200, Fields.NONE));
        assertEquals(List.of(target), Invalidation.of("MOVE", target, 204, Fields.NONE), "one that is not known");
        assertEquals(List.of(), Invalidation.of("POST", target, 404, Fields.NONE));
        assertEquals(List.of(), Invalidation.of("GET", target, 200, Fields.of("location", "/c")));
        assertEquals(List.of(target, CacheKey.of("http", "example.org", "/a/c"), CacheKey.of("http", "example.org", "/d")),
                Invalidation.of("PUT", target, 201, Fields.of("location", "c", "content-location", "http://EXAMPLE.org:80/d#x")));
        for (String other : new String[] {"http://other.org/", "https://example.org/", "http://example.org:81/", "mailto:x@y", "::", "%"}) {
            assertEquals(List.of(target), Invalidation.of("DELETE", target, 303, Fields.of("location", other)), other);
        }
    }

    @Test
    void cacheStatusSaysWhatWasDone() {
        assertEquals("stairshelf; hit; ttl=-3; detail=stale", CacheStatus.hit("stairshelf", -3).detail("stale").toString());
        assertEquals("origin; hit, stairshelf; fwd=uri-miss; fwd-status=200; stored; collapsed", CacheStatus.forwarded("stairshelf",
                Reuse.Reason.URI_MISS).answered(200).stored().collapsed().after("origin; hit"));
    }
}
