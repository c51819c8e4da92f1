package eiderscale.http.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.http.cache.HttpCache.Again;
import eiderscale.http.cache.HttpCache.Fetch;
import eiderscale.http.cache.HttpCache.Hit;
import eiderscale.http.cache.HttpCache.Instead;
import eiderscale.http.cache.HttpCache.Outcome;
import eiderscale.http.cache.HttpCache.Pass;
import eiderscale.http.cache.HttpCache.Plan;
import eiderscale.http.cache.HttpCache.Senseless;
import eiderscale.http.cache.HttpCache.Serve;
import eiderscale.http.cache.HttpCache.Unsatisfiable;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Requests and answers in their sequence, against a shelf in a map. */
class HttpCacheTest {
    private static final long NOW = 1_800_000_000_000L;
    private static final CacheKey KEY = CacheKey.of("http", "example.org", "/statement/1");
    private static final int MOST = 1_000;

    private final Map<CacheKey, Variants> kept = new HashMap<>();
    private final HttpCache cache = new HttpCache(new Shelf() {
        @Override
        public Variants get(CacheKey key) {
            return kept.getOrDefault(key, Variants.NONE);
        }

        @Override
        public void set(CacheKey key, Variants variants) {
            kept.put(key, variants);
        }

        @Override
        public boolean takes(long bytes) {
            return bytes <= MOST;
        }
    });

    private Plan get(long after, String... request) {
        return cache.plan("GET", KEY, Fields.of(request), NOW + after * 1000);
    }

    private Fetch fetch(long after, String... request) {
        return assertInstanceOf(Fetch.class, get(after, request));
    }

    private Outcome answer(Fetch fetch, long after, int status, String... fields) {
        return cache.answered(fetch, status, Fields.of(fields), NOW + after * 1000, NOW + after * 1000);
    }

    /** Asks, gets an answer with a body, and keeps it if that may be. */
    private boolean fill(long after, String body, String... fields) {
        Pass pass = assertInstanceOf(Pass.class, answer(fetch(after), after, 200, fields));
        return pass.keep() != null && cache.keep(KEY, pass.keep(), body.getBytes(StandardCharsets.US_ASCII));
    }

    private static String body(Hit hit) {
        return new String(hit.copy().body(), StandardCharsets.US_ASCII);
    }

    private static String date(long after) {
        return HttpDate.format(NOW / 1000 + after);
    }

    @Test
    void whatWasKeptIsServedWithItsAge() {
        assertTrue(fill(0, "one", "cache-control", "max-age=10", "content-length", "3", "age", "2", "connection", "x", "x", "y"));
        Hit hit = assertInstanceOf(Serve.class, get(5)).hit();
        assertEquals("one", body(hit));
        assertEquals(Fields.of("cache-control", "max-age=10", "content-length", "3", "age", "7"), hit.fields());
        assertEquals(200, hit.status());
        assertEquals(3, hit.ttl());
        assertEquals(200, assertInstanceOf(Serve.class, cache.plan("HEAD", KEY, Fields.NONE, NOW)).hit().status());
    }

    @Test
    void aBodyThatIsNotAsLongAsItsHeadSaidIsNotKept() {
        assertFalse(fill(0, "on", "cache-control", "max-age=10", "content-length", "3"));
        assertFalse(fill(0, "x".repeat(MOST + 1), "cache-control", "max-age=10"), "too large, as it turned out");
        Pass pass = assertInstanceOf(Pass.class, answer(fetch(0), 0, 200, "cache-control", "max-age=9", "content-length", "1001"));
        assertNull(pass.keep(), "too large from the start: not even collected");
        assertInstanceOf(Fetch.class, get(1));
    }

    @Test
    void whatIsStaleIsValidatedAndServedAsItWas() {
        fill(0, "one", "cache-control", "max-age=10", "etag", "\"1\"", "date", date(0));
        Fetch asked = fetch(11, "accept", "x");
        assertEquals(Fields.of("accept", "x", "if-none-match", "\"1\""), asked.fields());
        Hit hit = assertInstanceOf(Instead.class, answer(asked, 11, 304, "etag", "\"1\"", "date", date(11), "x-new", "1")).hit();
        assertEquals("one", body(hit));
        assertEquals("1", hit.fields().first("x-new"));
        assertEquals("0", hit.fields().first("age"));
        assertInstanceOf(Serve.class, get(20));
    }

    @Test
    void aNewAnswerTakesItsPlace() {
        fill(0, "one", "cache-control", "max-age=10", "etag", "\"1\"");
        assertTrue(fill(11, "two", "cache-control", "max-age=10", "etag", "\"2\""));
        assertEquals("two", body(assertInstanceOf(Serve.class, get(12)).hit()));
        assertEquals(1, kept.get(KEY).stored().size());
    }

    @Test
    void aNewAnswerThatMayNotBeKeptTakesTheOldOneOut() {
        fill(0, "one", "cache-control", "max-age=10", "etag", "\"1\"");
        assertFalse(fill(11, "two", "cache-control", "no-store"));
        assertEquals(Reuse.Reason.URI_MISS, fetch(12).reason());
    }

    /** The client's own condition is judged against what the validation brings, and is not sent in place of ours. */
    @Test
    void aClientsConditionsMeetTheStoredCopy() {
        fill(0, "one", "cache-control", "max-age=10", "etag", "\"1\"");
        Hit fresh = assertInstanceOf(Serve.class, get(5, "if-none-match", "W/\"1\"")).hit();
        assertEquals(304, fresh.status());
        Fetch asked = fetch(11, "if-none-match", "\"other\"");
        assertEquals("\"1\"", asked.fields().first("if-none-match"));
        Hit whole = assertInstanceOf(Instead.class, answer(asked, 11, 304, "etag", "\"1\"")).hit();
        assertEquals(200, whole.status(), "the client does not have this one");
        assertEquals(304, assertInstanceOf(Serve.class, get(12, "if-none-match", "\"1\"")).hit().status());
    }

    @Test
    void a304ThatNobodyAskedForMakesNoSense() {
        assertInstanceOf(Senseless.class, answer(fetch(0), 0, 304, "etag", "\"1\""));
        Pass pass = assertInstanceOf(Pass.class, answer(fetch(0, "if-none-match", "\"1\""), 0, 304, "etag", "\"1\""));
        assertNull(pass.keep(), "the client's own");
        fill(0, "one", "cache-control", "max-age=1", "last-modified", date(-100));
        assertInstanceOf(Instead.class, answer(fetch(5), 5, 304), "no validator in it, and one copy alone");
    }

    @Test
    void a304AboutSomethingElseIsAskedAgainWithoutConditions() {
        fill(0, "one", "cache-control", "max-age=10", "etag", "\"1\"");
        Fetch again = assertInstanceOf(Again.class, answer(fetch(11), 11, 304, "etag", "\"9\"")).fetch();
        assertEquals(Fields.NONE, again.fields());
        assertFalse(again.own());
    }

    @Test
    void staleIsServedWhileOneRevalidates() {
        fill(0, "one", "cache-control", "max-age=10, stale-while-revalidate=20", "etag", "\"1\"");
        Serve serve = assertInstanceOf(Serve.class, get(15, "if-none-match", "\"0\""));
        assertEquals("one", body(serve.hit()));
        assertEquals(-5, serve.hit().ttl());
        assertEquals("\"1\"", serve.revalidate().fields().first("if-none-match"));
        assertInstanceOf(Instead.class, answer(serve.revalidate(), 15, 304, "etag", "\"1\""));
        assertNull(assertInstanceOf(Serve.class, get(16)).revalidate(), "fresh again");
        fill(60, "two", "cache-control", "max-age=10, stale-while-revalidate=20, must-revalidate", "etag", "\"2\"");
        assertInstanceOf(Fetch.class, get(75));
    }

    @Test
    void anErrorIsReplacedWhereThatIsAllowed() {
        fill(0, "one", "cache-control", "max-age=10, stale-if-error=20");
        for (int status : new int[] {500, 502, 503, 504}) {
            assertEquals("one", body(assertInstanceOf(Instead.class, answer(fetch(15), 15, status)).hit()));
        }
        assertInstanceOf(Pass.class, answer(fetch(15), 15, 501));
        assertInstanceOf(Pass.class, answer(fetch(15), 15, 404));
        assertNotNull(cache.inPlaceOfError(fetch(15), NOW + 15_000), "no host answered");
        assertNull(cache.inPlaceOfError(fetch(31), NOW + 31_000));
        assertInstanceOf(Pass.class, answer(fetch(31), 31, 503));
    }

    @Test
    void anErrorDoesNotTakeOutWhatIsStored() {
        fill(0, "one", "cache-control", "max-age=10", "etag", "\"1\"");
        assertInstanceOf(Pass.class, answer(fetch(11), 11, 503));
        assertEquals("\"1\"", fetch(12).fields().first("if-none-match"));
    }

    @Test
    void writesGoThroughAndTakeOut() {
        fill(0, "one", "cache-control", "max-age=100");
        Fetch post = assertInstanceOf(Fetch.class, cache.plan("POST", KEY, Fields.NONE, NOW));
        assertInstanceOf(Pass.class, answer(post, 1, 500));
        assertInstanceOf(Serve.class, get(1), "it failed");
        Pass pass = assertInstanceOf(Pass.class, answer(post, 1, 200, "cache-control", "max-age=100"));
        assertNull(pass.keep());
        assertInstanceOf(Fetch.class, get(1));
    }

    @Test
    void onlyIfCachedIsNeverAskedFor() {
        assertInstanceOf(Unsatisfiable.class, get(0, "cache-control", "only-if-cached"));
    }

    @Test
    void aRangeIsCutFromTheWhole() {
        fill(0, "0123456789", "cache-control", "max-age=10", "etag", "\"1\"");
        Hit part = assertInstanceOf(Serve.class, get(1, "range", "bytes=2-4")).hit();
        assertEquals(206, part.status());
        assertEquals(new Ranges.Slice(2, 4), part.slice());
        assertEquals(416, assertInstanceOf(Serve.class, get(1, "range", "bytes=10-")).hit().status());
        assertEquals(304, assertInstanceOf(Serve.class, get(1, "range", "bytes=2-4", "if-none-match", "\"1\"")).hit().status());
        assertEquals(200, assertInstanceOf(Serve.class, get(1, "range", "bytes=2-4", "if-range", "\"0\"")).hit().status());
    }

    @Test
    void aConditionOnTheOriginsStateIsTheOrigins() {
        fill(0, "one", "cache-control", "max-age=10", "etag", "\"1\"");
        assertEquals(Fields.of("if-match", "\"1\""), fetch(1, "if-match", "\"1\"").fields());
    }

    @Test
    void fieldsThatNoCacheNamesAreServedAfterValidationAlone() {
        fill(0, "one", "cache-control", "max-age=10, no-cache=\"set-cookie\"", "etag", "\"1\"", "set-cookie", "a=b");
        assertNull(assertInstanceOf(Serve.class, get(1)).hit().fields().first("set-cookie"));
        Hit validated = assertInstanceOf(Instead.class, answer(fetch(11), 11, 304, "etag", "\"1\"")).hit();
        assertEquals("a=b", validated.fields().first("set-cookie"));
    }

    /**
     * Random histories against the origin's own: no answer is served without asking that is older than its lifetime
     * and the allowances it came with, and none survives a write that succeeded.
     */
    @Property(tries = 500, seed = "20261203", edgeCases = EdgeCasesMode.NONE)
    void nothingIsServedPastItsTime(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        kept.clear();
        long now = 0;
        int version = 0;
        Map<Integer, Long> madeAt = new HashMap<>();
        Map<Integer, Integer> lasts = new HashMap<>();
        int oldest = 0;
        for (int step = 0; step < 60; step++) {
            now += random.nextInt(8);
            if (random.nextInt(10) == 0) {
                Fetch post = (Fetch) cache.plan("POST", KEY, Fields.NONE, NOW + now * 1000);
                int status = random.nextBoolean() ? 204 : 503;
                answer(post, now, status);
                if (status == 204) {
                    version++;
                    oldest = version;
                }
                continue;
            }
            Plan plan = get(now);
            if (plan instanceof Serve serve) {
                int served = Integer.parseInt(body(serve.hit()));
                assertTrue(served >= oldest, "from before a write");
                assertTrue(now - madeAt.get(served) < lasts.get(served), "version " + served + " at " + now);
            } else if (plan instanceof Fetch fetch) {
                boolean same = fetch.own() && fetch.fields().has("if-none-match") && random.nextBoolean()
                        && fetch.fields().first("if-none-match").equals("\"" + version + "\"");
                if (same) {
                    assertInstanceOf(Instead.class, answer(fetch, now, 304, "etag", "\"" + version + "\"", "date", date(now)));
                } else {
                    version += random.nextInt(2);
                    int age = random.nextInt(10);
                    int behind = random.nextInt(3) == 0 ? 5 : 0;
                    Pass pass = assertInstanceOf(Pass.class, answer(fetch, now, 200, "etag", "\"" + version + "\"", "date", date(now),
                            "cache-control", "max-age=" + age + (behind > 0 ? ", stale-while-revalidate=" + behind : "")));
                    cache.keep(KEY, pass.keep(), String.valueOf(version).getBytes(StandardCharsets.US_ASCII));
                    lasts.put(version, age + behind);
                }
                madeAt.put(version, now);
            }
        }
    }
}
