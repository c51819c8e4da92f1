package eiderscale.http.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.http.cache.Reuse.Kind;
import eiderscale.http.cache.Reuse.Reason;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** RFC 9111 sections 4, 4.1, 4.2.4 and 5.2, RFC 5861. */
class ReuseTest {
    private static final long NOW = 1_800_000_000_000L;

    private static Stored stored(Fields request, String... fields) {
        Fields response = Fields.of(fields);
        return Stored.of(200, response, Vary.selecting(response, request), NOW, NOW, null);
    }

    private static Reuse get(String said, Stored stored, long after) {
        return Reuse.of("GET", said.isEmpty() ? Fields.NONE : Fields.of("cache-control", said), List.of(stored),
                NOW + after * 1000);
    }

    /** A response, what a request says, seconds after it came, and what becomes of it. */
    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "max-age=10; ''; 9; FRESH", "max-age=10; ''; 10; VALIDATE", "max-age=10; max-age=5; 5; FRESH", "max-age=10; max-age=5; 6; VALIDATE",
        "max-age=10; max-age=0; 0; FRESH", "max-age=10; max-age=0; 1; VALIDATE", "max-age=10; max-age=x; 1; VALIDATE",
        "max-age=10; min-fresh=4; 6; FRESH", "max-age=10; min-fresh=4; 7; VALIDATE", "max-age=10; min-fresh=x; 1; VALIDATE",
        "max-age=10; no-cache; 1; VALIDATE", "max-age=10; no-store; 1; FRESH", "max-age=10; max-stale; 9999; STALE",
        "max-age=10; max-stale=5; 15; STALE", "max-age=10; max-stale=5; 16; VALIDATE", "max-age=10; max-stale=x; 11; VALIDATE",
        "max-age=10, must-revalidate; max-stale; 11; VALIDATE", "max-age=10, proxy-revalidate; max-stale; 11; VALIDATE",
        "s-maxage=10; max-stale; 11; VALIDATE", "max-age=10, no-cache; ''; 1; VALIDATE", "max-age=10, no-cache; max-stale; 1; VALIDATE",
        "'max-age=10, no-cache=\"set-cookie\"'; ''; 1; FRESH", "max-age=10, stale-while-revalidate=5; ''; 14; STALE_REVALIDATE",
        "max-age=10, stale-while-revalidate=5; ''; 15; VALIDATE", "max-age=10, stale-while-revalidate=5; max-age=20; 12; VALIDATE",
        "max-age=10, stale-while-revalidate=5, must-revalidate; ''; 12; VALIDATE", "max-age=10, stale-while-revalidate=x; ''; 12; VALIDATE",
        "max-age=10; only-if-cached; 9; FRESH", "max-age=10; only-if-cached; 11; UNSATISFIABLE", "max-age=10; 'only-if-cached, max-stale'; 11; STALE",
        "max-age=10; 'only-if-cached, no-cache'; 1; UNSATISFIABLE", "max-age=10, immutable; ''; 9; FRESH", "max-age=10, immutable; ''; 11; VALIDATE",
        "max-age=10; unknown=9; 9; FRESH"})
    void byAgeAndDirectives(String response, String request, long after, Kind kind) {
        assertEquals(kind, get(request, stored(Fields.NONE, "cache-control", response), after).kind());
    }

    @Test
    void pragmaCountsWhereNothingElseIsSaid() {
        List<Stored> one = List.of(stored(Fields.NONE, "cache-control", "max-age=10"));
        assertEquals(Kind.VALIDATE, Reuse.of("GET", Fields.of("pragma", "no-cache"), one, NOW).kind());
        assertEquals(Kind.FRESH, Reuse.of("GET", Fields.of("pragma", "no-cache", "cache-control", "max-age=3"), one, NOW).kind());
    }

    @Test
    void byMethod() {
        List<Stored> one = List.of(stored(Fields.NONE, "cache-control", "max-age=10"));
        assertEquals(Kind.FRESH, Reuse.of("HEAD", Fields.NONE, one, NOW).kind());
        for (String method : new String[] {"POST", "PUT", "DELETE", "OPTIONS", "get", "PURGE"}) {
            assertEquals(new Reuse(Kind.FORWARD, null, Reason.METHOD), Reuse.of(method, Fields.NONE, one, NOW), method);
        }
        assertEquals(new Reuse(Kind.FORWARD, null, Reason.URI_MISS), Reuse.of("GET", Fields.NONE, List.of(), NOW));
        assertEquals(Kind.UNSATISFIABLE, Reuse.of("GET", Fields.of("cache-control", "only-if-cached"), List.of(), NOW).kind());
    }

    @Test
    void errorsAreReplacedWhereSomebodySaysSo() {
        Stored allows = stored(Fields.NONE, "cache-control", "max-age=10, stale-if-error=20");
        assertTrue(Reuse.mayReplaceError(Fields.NONE, allows, NOW + 30_000));
        assertFalse(Reuse.mayReplaceError(Fields.NONE, allows, NOW + 30_001));
        assertFalse(Reuse.mayReplaceError(Fields.of("cache-control", "no-cache"), allows, NOW + 11_000));
        Stored says = stored(Fields.NONE, "cache-control", "max-age=10");
        assertFalse(Reuse.mayReplaceError(Fields.NONE, says, NOW + 11_000));
        assertTrue(Reuse.mayReplaceError(Fields.of("cache-control", "stale-if-error=5"), says, NOW + 11_000));
        Stored never = stored(Fields.NONE, "cache-control", "max-age=10, stale-if-error=20, must-revalidate");
        assertFalse(Reuse.mayReplaceError(Fields.of("cache-control", "stale-if-error=5"), never, NOW + 11_000));
    }

    @Test
    void variantsAreKeptApartAndTheLatestIsTaken() {
        Fields gzip = Fields.of("accept-encoding", "gzip");
        Stored zipped = stored(gzip, "cache-control", "max-age=10", "vary", "Accept-Encoding", "date", HttpDate.format(NOW / 1000 - 5));
        Stored plain = stored(Fields.NONE, "cache-control", "max-age=10", "vary", "accept-encoding");
        Stored later = stored(gzip, "cache-control", "max-age=10", "vary", "Accept-Encoding", "date", HttpDate.format(NOW / 1000));
        List<Stored> all = List.of(later, zipped, plain);
        assertSame(later, Reuse.of("GET", gzip, all, NOW).stored());
        assertSame(plain, Reuse.of("GET", Fields.NONE, all, NOW).stored());
        assertEquals(new Reuse(Kind.FORWARD, null, Reason.VARY_MISS), Reuse.of("GET", Fields.of("accept-encoding", "br"), all, NOW));
        Stored any = stored(gzip, "cache-control", "max-age=10", "vary", "*");
        assertNull(Reuse.of("GET", gzip, List.of(any), NOW).stored());
    }

    @Test
    void blanksAndLinesMakeNoDifferenceToVaryAndOrderAndQuotesDo() {
        String[] same = {"gzip, br", "gzip,br", " gzip ,\tbr "};
        Fields response = Fields.of("vary", "Accept-Encoding, X-A");
        Fields first = Vary.selecting(response, Fields.of("accept-encoding", same[0]));
        for (String value : same) {
            assertEquals(first, Vary.selecting(response, Fields.of("Accept-Encoding", value)), value);
        }
        assertEquals(first, Vary.selecting(response, Fields.of("accept-encoding", "gzip", "accept-encoding", "br")));
        assertFalse(first.equals(Vary.selecting(response, Fields.of("accept-encoding", "br, gzip"))));
        assertFalse(first.equals(Vary.selecting(response, Fields.of("accept-encoding", ""))));
        assertFalse(Vary.selecting(response, Fields.of("x-a", "\"a ,b\"")).equals(Vary.selecting(response, Fields.of("x-a", "\"a,b\""))));
    }

    /** Whatever the fields: a response is never served to a request whose named fields differ from its own. */
    @Property(tries = 1_000, seed = "41", edgeCases = EdgeCasesMode.NONE)
    void noRequestGetsAnothersVariant(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String[] names = {"accept", "accept-language", "x-user"};
        String[] values = {"a", "b", "a, b", "a,b", ""};
        List<Stored> variants = new ArrayList<>();
        List<Fields> requests = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Fields.Builder request = new Fields.Builder();
            for (String name : names) {
                if (random.nextBoolean()) {
                    request.add(name, values[random.nextInt(values.length)]);
                }
            }
            requests.add(request.build());
            Fields.Builder response = new Fields.Builder().add("cache-control", "max-age=100");
            for (String name : names) {
                if (random.nextBoolean()) {
                    response.add("vary", name);
                }
            }
            Fields fields = response.build();
            variants.add(Stored.of(200, fields, Vary.selecting(fields, requests.get(i)), NOW, NOW, null));
        }
        for (Fields request : requests) {
            Stored got = Reuse.of("GET", request, variants, NOW).stored();
            if (got != null) {
                Fields own = requests.get(variants.indexOf(got));
                for (String name : got.fields().members("vary")) {
                    String mine = request.joined(name);
                    String its = own.joined(name);
                    assertEquals(its == null ? null : its.replace(" ", ""), mine == null ? null : mine.replace(" ", ""), name);
                }
            }
        }
    }

    /** What is stale is served under a stated allowance alone, and never past must-revalidate. */
    @Property(tries = 2_000, seed = "424", edgeCases = EdgeCasesMode.NONE)
    void staleIsServedByAllowanceAlone(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String[] responses = {"must-revalidate", "proxy-revalidate", "stale-while-revalidate=30", "no-cache", "s-maxage=20",
            "stale-if-error=50", "public", "immutable"};
        String[] asks = {"max-stale", "max-stale=30", "min-fresh=5", "max-age=40", "no-cache", "no-transform"};
        StringBuilder response = new StringBuilder("max-age=20");
        StringBuilder request = new StringBuilder("x");
        for (String word : responses) {
            response.append(random.nextInt(4) == 0 ? ", " + word : "");
        }
        for (String word : asks) {
            request.append(random.nextInt(4) == 0 ? ", " + word : "");
        }
        long after = random.nextInt(100);
        Kind kind = get(request.toString(), stored(Fields.NONE, "cache-control", response.toString()), after).kind();
        String all = response + " | " + request + " after " + after;
        boolean bound = response.toString().matches(".*(must-revalidate|proxy-revalidate|s-maxage|no-cache).*");
        if (kind == Kind.FRESH) {
            assertTrue(after < 20, all);
        } else if (kind == Kind.STALE) {
            assertTrue(!bound && request.toString().contains("max-stale"), all);
        } else if (kind == Kind.STALE_REVALIDATE) {
            assertTrue(!bound && after < 50 && response.toString().contains("stale-while-revalidate"), all);
        }
        if (request.toString().contains("no-cache")) {
            assertEquals(Kind.VALIDATE, kind, all);
        }
    }
}
