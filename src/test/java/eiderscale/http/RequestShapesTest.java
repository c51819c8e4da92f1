package eiderscale.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What another server may read otherwise is refused, however it comes, and nothing behind it is read. */
class RequestShapesTest {
    private static final String NEXT = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";

    /** Requests in short, bodies by their length, refusals by their status. */
    private static List<String> read(String text, SplittableRandom cuts) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        EmbeddedChannel channel = new EmbeddedChannel(new StrictRequestDecoder());
        List<String> read = new ArrayList<>();
        int body = 0;
        for (int at = 0; at < bytes.length;) {
            int some = cuts == null ? bytes.length : Math.min(bytes.length - at, 1 + cuts.nextInt(7));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, some));
            at += some;
            for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
                if (part instanceof BadRequest bad) {
                    read.add(String.valueOf(bad.status()));
                } else if (part instanceof HttpRequest request) {
                    body = 0;
                    try {
                        RequestHead head = RequestHead.of(request);
                        read.add(head.method() + " " + head.target() + " " + head.length() + (head.keepAlive() ? "" : " close"));
                    } catch (BadRequest e) {
                        read.add(String.valueOf(e.status()));
                        channel.finishAndReleaseAll();
                        return read;
                    }
                }
                if (part instanceof HttpContent content) {
                    body += content.content().readableBytes();
                    if (part instanceof LastHttpContent && body > 0) {
                        read.add("body " + body);
                    }
                }
                ReferenceCountUtil.release(part);
            }
        }
        channel.finishAndReleaseAll();
        return read;
    }

    private static String post(String fields, String body) {
        return "POST /x HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body;
    }

    private static final String[] REFUSED = {
        // Two lengths, or one that is none.
        post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        post("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"), post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"),
        post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), post("Content-Length: 3, 3\r\n", "abc"),
        post("Content-Length: +3\r\n", "abc"), post("Content-Length: -3\r\n", "abc"), post("Content-Length: 0x3\r\n", "abc"),
        post("Content-Length:\r\n", ""), post("Content-Length: 3 3\r\n", "abc"), post("Content-Length: 99999999999999999999\r\n", "abc"),
        // Fields that are not what they seem.
        post("Content-Length : 3\r\n", "abc"), post("X: b\r\n folded\r\n", ""), post("X: b\r\n\tfolded\r\n", ""),
        "GET / HTTP/1.1\r\n Host: a\r\n\r\n", post("X\r\n", ""), post(": x\r\n", ""), post("X(y): x\r\n", ""), post("X: a\u0000b\r\n", ""),
        post("X: a\u007fb\r\n", ""),
        // Lines that end in other ways.
        "GET / HTTP/1.1\nHost: a\n\n", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n",
        "GET / HTTP/1.1\rHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\n", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        // Codings.
        post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), post("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n"),
        post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), post("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n"),
        post("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n"),
        post("Transfer-Encoding:\u000bchunked\r\n", "0\r\n\r\n"), "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        // Request lines.
        " GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1 x\r\nHost: a\r\n\r\n",
        "GET / HTTP/1.1 \r\nHost: a\r\n\r\n", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", "GET\t/\tHTTP/1.1\r\nHost: a\r\n\r\n", "GET /\r\nHost: a\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: a\r\n\r\n", "GET / HTTP/1.2\r\nHost: a\r\n\r\n", "G(T / HTTP/1.1\r\nHost: a\r\n\r\n", "GET /\u0001 HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /\u00e9 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /#x HTTP/1.1\r\nHost: a\r\n\r\n", "GET x HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET * HTTP/1.1\r\nHost: a\r\n\r\n", "GET ftp://a/ HTTP/1.1\r\nHost: a\r\n\r\n", "GET http:///x HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET http://u@a/ HTTP/1.1\r\nHost: a\r\n\r\n", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", "TRACE / HTTP/1.1\r\nHost: a\r\n\r\n",
        // Hosts.
        "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", "GET / HTTP/1.1\r\nHost: u@a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a:b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "GET http://a/ HTTP/1.1\r\n\r\n",
        // Expectations that nobody knows.
        post("Expect: 200-ok\r\n", "")};

    private static final String[] BROKEN_BODIES = {"3x\r\nabc\r\n0\r\n\r\n", "-3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
        "ffffffffff\r\nabc\r\n0\r\n\r\n", "3\nabc\r\n0\r\n\r\n", "3\r\nabcXY0\r\n\r\n", "\r\nabc\r\n", "g\r\n"};

    @Test
    void shapesThatAreReadInTwoWaysAreRefusedAndNothingBehindThem() {
        for (String shape : REFUSED) {
            List<String> read = read(shape + NEXT, null);
            assertEquals(1, read.size(), shape + " gave " + read);
            assertTrue(read.get(0).matches("400|417|501|505"), shape + " gave " + read);
        }
    }

    @Test
    void brokenChunksEndTheConnection() {
        for (String body : BROKEN_BODIES) {
            List<String> read = read(post("Transfer-Encoding: chunked\r\n", body) + NEXT, null);
            assertEquals(List.of("POST http://a/x -1", "400"), read, body);
        }
    }

    @Test
    void whatIsRightIsRead() {
        assertEquals(List.of("GET http://a/ 0", "GET http://a/next 0"), read("GET / HTTP/1.1\r\nHost: A:80\r\n\r\n" + NEXT, null));
        assertEquals(List.of("POST http://a/x 3", "body 3", "GET http://a/next 0"), read(post("Content-Length: 3\r\n", "abc") + NEXT, null));
        assertEquals(List.of("POST http://a/x -1", "body 5", "GET http://a/next 0"), read(post("Transfer-Encoding: Chunked\r\n",
                "3;a=b\r\nabc\r\n02\r\nde\r\n0\r\nX-Trailer: y\r\n\r\n") + NEXT, null));
        assertEquals(List.of("GET http://b:81/x?y 0"), read("GET HTTP://B:81/x?y HTTP/1.1\r\nHost: a\r\n\r\n", null));
        assertEquals(List.of("GET http://b/?y 0"), read("GET http://b?y HTTP/1.1\r\nHost: a\r\n\r\n", null));
        assertEquals(List.of("OPTIONS http://a* 0"), read("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", null));
        assertEquals(List.of("GET http://[::1]:8080/ 0"), read("GET / HTTP/1.1\r\nHost: [::1]:8080\r\n\r\n", null));
        assertEquals(List.of("GET http:/// 0 close"), read("GET / HTTP/1.0\r\n\r\n", null));
        assertEquals(List.of("GET http://a/ 0"), read("GET / HTTP/1.0\r\nHost: a\r\nConnection: Keep-Alive\r\n\r\n", null));
        assertEquals(List.of("GET http://a/ 0 close"), read("GET / HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n", null));
        assertEquals(List.of("GET http://a/ 0"), read("GET / HTTP/1.1\r\nHost: a\r\nX: \t b \u00e9 \r\n\r\n", null));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void heads(int fields) {
        String line = "GET /" + "x".repeat(StrictRequestDecoder.MOST_LINE) + " HTTP/1.1\r\nHost: a\r\n\r\n";
        String head = "GET / HTTP/1.1\r\nHost: a\r\n" + "X: yyyyyyyy\r\n".repeat(StrictRequestDecoder.MOST_HEAD / 13) + "\r\n";
        assertEquals(List.of(fields == 0 ? "414" : "431"), read((fields == 0 ? line : head) + NEXT, null));
        assertEquals(List.of(fields == 0 ? "414" : "431"), read((fields == 0 ? line : head) + NEXT, new SplittableRandom(fields)));
    }

    /** However the bytes are cut, the same is read; and no shape lets a request behind it through. */
    @Property(tries = 1_500, seed = "9112", edgeCases = EdgeCasesMode.NONE)
    void howBytesAreCutMakesNoDifference(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(3); i > 0; i--) {
            text.append(random.nextBoolean() ? NEXT : post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"));
        }
        text.append(REFUSED[random.nextInt(REFUSED.length)]).append(NEXT);
        assertEquals(read(text.toString(), null), read(text.toString(), random), text.toString());
    }

    @Test
    void betweenTwoRequestsItHoldsNothing() {
        StrictRequestDecoder decoder = new StrictRequestDecoder();
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        assertTrue(decoder.isClean());
        channel.writeInbound(Unpooled.copiedBuffer("GET / HT", StandardCharsets.US_ASCII));
        assertFalse(decoder.isClean());
        channel.writeInbound(Unpooled.copiedBuffer("TP/1.1\r\nHost: a\r\n\r\n", StandardCharsets.US_ASCII));
        assertTrue(decoder.isClean());
        channel.finishAndReleaseAll();
    }
}
