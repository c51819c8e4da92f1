package eiderscale.http.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderscale.http.cache.Storing.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** RFC 9111 section 3. */
class StoringTest {
    private static Verdict judge(String method, Fields request, int status, String... fields) {
        Fields response = Fields.of(fields);
        return Storing.judge(method, request, status, response, Control.of(response));
    }

    private static Verdict get(int status, String control) {
        return judge("GET", Fields.NONE, status, "cache-control", control);
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "200; max-age=1; STORE", "200; public; STORE", "200; s-maxage=0; STORE", "302; max-age=1; STORE", "302; ''; NOT_ALLOWED",
        "404; ''; STORE", "500; ''; NOT_ALLOWED", "500; max-age=1; STORE", "599; max-age=1; STORE", "200; no-store; NO_STORE",
        "200; 'No-Store, max-age=1'; NO_STORE", "200; 'no-store=x, max-age=1'; NO_STORE", "200; 'private, max-age=1'; PRIVATE",
        "200; 'private=\"\", max-age=1'; PRIVATE", "200; 'private=\"set-cookie\", max-age=1'; STORE", "200; no-cache; STORE",
        "200; 'must-understand, no-store, max-age=1'; STORE", "599; 'must-understand, no-store, max-age=1'; STATUS",
        "599; 'must-understand, max-age=1'; STATUS", "304; max-age=1; STATUS", "206; max-age=1; STATUS", "101; max-age=1; STATUS",
        "200; 'foo=\"no-store\", max-age=1'; STORE", "200; 'no-storex, max-age=1'; STORE"})
    void byStatusAndDirectives(int status, String control, Verdict verdict) {
        assertEquals(verdict, get(status, control));
    }

    @Test
    void byMethodAndRequest() {
        assertEquals(Verdict.METHOD, judge("POST", Fields.NONE, 200, "cache-control", "max-age=9"));
        assertEquals(Verdict.METHOD, judge("HEAD", Fields.NONE, 200, "cache-control", "max-age=9"));
        assertEquals(Verdict.NO_STORE, judge("GET", Fields.of("Cache-Control", "no-store"), 200, "cache-control", "max-age=9"));
        assertEquals(Verdict.STORE, judge("GET", Fields.NONE, 302, "expires", "0"), "stale at once, but it says so");
        assertEquals(Verdict.VARY, judge("GET", Fields.NONE, 200, "vary", "accept, *"));
        assertEquals(Verdict.STORE, judge("GET", Fields.NONE, 206, "content-range", "bytes 0-4/10"));
        assertEquals(Verdict.STATUS, judge("GET", Fields.NONE, 206, "content-range", "bytes 4-0/10"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"public", "s-maxage=9", "must-revalidate"})
    void anAuthorizedAnswerIsSharedWhereItSaysSo(String control) {
        Fields request = Fields.of("authorization", "Basic eDp5");
        assertEquals(Verdict.AUTHORIZED, judge("GET", request, 200, "cache-control", "max-age=9"));
        assertEquals(Verdict.STORE, judge("GET", request, 200, "cache-control", "max-age=9, " + control));
    }

    @Test
    void theTargetedFieldDecidesWhereItIsValid() {
        assertEquals(Verdict.STORE, judge("GET", Fields.NONE, 302, "cache-control", "no-store", "cdn-cache-control", "max-age=9"));
        assertEquals(Verdict.NO_STORE, judge("GET", Fields.NONE, 200, "cache-control", "max-age=9", "cdn-cache-control", "no-store"));
        assertEquals(Verdict.NO_STORE, judge("GET", Fields.NONE, 200, "cache-control", "no-store", "cdn-cache-control", "max-age="));
    }

    @Test
    void whatIsOfTheConnectionOrOfOneUserIsNotKept() {
        Fields response = Fields.of("Connection", "close, X-Hop", "X-Hop", "1", "Keep-Alive", "timeout=5", "Transfer-Encoding",
                "chunked", "Set-Cookie", "a=b", "ETag", "\"1\"", "Proxy-Authenticate", "Basic", "Cache-Control",
                "private=\"Set-Cookie\", max-age=9");
        assertEquals(Fields.of("etag", "\"1\"", "cache-control", "private=\"Set-Cookie\", max-age=9"),
                Storing.kept(response, Control.of(response)));
    }
}
