package eiderscale.http.cache;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What is stored under one key. */
class VariantsTest {
    private static final long NOW = 1_800_000_000_000L;

    private static Copy copy(String tag, Fields request, String body, String... more) {
        Fields fields = Fields.of("etag", tag, "cache-control", "max-age=9").updatedBy(Fields.of(more));
        return new Copy(Stored.of(200, fields, Vary.selecting(fields, request), NOW, NOW, null),
                body.getBytes(StandardCharsets.US_ASCII));
    }

    private static Copy part(String tag, byte[] whole, int first, int last) {
        Stored stored = Stored.of(206, Fields.of("etag", tag, "content-range", "x", "cache-control", "max-age=9"), Fields.NONE, NOW,
                NOW, new ContentRange(first, last, whole.length));
        return new Copy(stored, Arrays.copyOfRange(whole, first, last + 1));
    }

    private static String body(Variants variants, Fields request) {
        Stored found = Reuse.of("GET", request, variants.stored(), NOW).stored();
        return found == null ? null : new String(variants.copy(found).body(), StandardCharsets.US_ASCII);
    }

    @Test
    void aNewOneTakesThePlaceOfThatForTheSameRequestsAlone() {
        Fields a = Fields.of("x", "a");
        Fields b = Fields.of("x", "b");
        Variants variants = Variants.NONE.with(copy("\"1\"", a, "one", "vary", "X")).with(copy("\"2\"", b, "two", "vary", "x"));
        assertEquals("one", body(variants, a));
        assertEquals("two", body(variants, b));
        Variants after = variants.with(copy("\"3\"", a, "three", "vary", "x"));
        assertEquals("three", body(after, a));
        assertEquals("two", body(after, b));
        assertEquals(2, after.stored().size());
        assertEquals("one", body(variants, a), "what somebody holds does not change");
    }

    @Test
    void requestsThatDifferInOneFieldDoNotFillTheStore() {
        Variants variants = Variants.NONE;
        for (int i = 0; i < 100; i++) {
            variants = variants.with(copy("\"" + i + "\"", Fields.of("x", "" + i), "b" + i, "vary", "x"));
        }
        assertEquals(16, variants.stored().size());
        assertEquals("b99", body(variants, Fields.of("x", "99")));
        assertNull(body(variants, Fields.of("x", "1")), "the oldest went");
    }

    @Test
    void a304FreshensThoseItIsAbout() {
        Variants variants = Variants.NONE.with(copy("\"1\"", Fields.of("x", "a"), "one", "vary", "x"))
                .with(copy("\"2\"", Fields.of("x", "b"), "two", "vary", "x"));
        long later = NOW + 20_000;
        Variants after = variants.freshened(Fields.of("etag", "\"2\"", "date", HttpDate.format(later / 1000)), later, later);
        assertFalse(after.stored().get(0).freshness().isFresh(later));
        assertTrue(after.stored().get(1).freshness().isFresh(later));
        assertArrayEquals("two".getBytes(StandardCharsets.US_ASCII), after.copy(after.stored().get(1)).body());
    }

    @Test
    void aHeadFreshensOrTakesOut() {
        Variants variants = Variants.NONE.with(copy("\"1\"", Fields.of("x", "a"), "one", "vary", "x"))
                .with(copy("\"2\"", Fields.of("x", "b"), "two", "vary", "x"));
        Variants fits = variants.afterHead(Fields.of("x", "a"), Fields.of("etag", "\"1\"", "cache-control", "max-age=99"), NOW, NOW);
        assertEquals(99, fits.stored().get(0).freshness().lifetime());
        assertEquals(2, fits.stored().size());
        Variants differs = variants.afterHead(Fields.of("x", "a"), Fields.of("etag", "\"9\""), NOW, NOW);
        assertEquals(1, differs.stored().size());
        assertEquals("two", body(differs, Fields.of("x", "b")));
    }

    @Test
    void aPartNeverPassesForTheWhole() {
        byte[] whole = "0123456789".getBytes(StandardCharsets.US_ASCII);
        Variants half = Variants.NONE.with(part("\"1\"", whole, 0, 4));
        assertNull(body(half, Fields.NONE));
        assertEquals("01234", body(half, Fields.of("range", "bytes=1-2")), "the copy, of which the slice is sent");
        Variants all = half.with(part("\"1\"", whole, 5, 9));
        assertEquals("0123456789", body(all, Fields.NONE));
        assertEquals(200, all.stored().get(0).status());
        assertNull(all.stored().get(0).fields().first("content-range"));
        assertSame(all.stored().get(0), all.with(part("\"1\"", whole, 2, 3)).stored().get(0), "a part of what is here whole");
        assertNull(body(half.with(part("\"2\"", whole, 5, 9)), Fields.NONE), "of another response");
        assertThrows(IllegalArgumentException.class, () -> new Copy(part("\"1\"", whole, 0, 4).stored(), new byte[4]));
    }

    /** However parts come and overlap: what is served as the whole is the whole, byte for byte. */
    @Property(tries = 500, seed = "206", edgeCases = EdgeCasesMode.NONE)
    void partsMakeTheWholeOrNothing(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] whole = new byte[20 + random.nextInt(200)];
        random.nextBytes(whole);
        Variants variants = Variants.NONE;
        for (int i = 0; i < 12; i++) {
            int first = random.nextInt(whole.length);
            int last = Math.min(whole.length - 1, first + random.nextInt(whole.length));
            variants = variants.with(part("\"1\"", whole, first, last));
            Stored stored = variants.stored().get(0);
            byte[] body = variants.copy(stored).body();
            if (stored.range() == null) {
                assertArrayEquals(whole, body);
            } else {
                assertArrayEquals(Arrays.copyOfRange(whole, (int) stored.range().first(), (int) stored.range().last() + 1), body);
            }
        }
    }
}
