package eiderscale.http;

import eiderscale.http.cache.CacheStatus;
import eiderscale.http.cache.Copy;
import eiderscale.http.cache.Fields;
import eiderscale.http.cache.HttpCache;
import eiderscale.http.cache.Ranges;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** The answer to one request as it goes to the client (RFC 9112 sections 4, 6 and 7): one head, one body, one end. */
final class Reply {
    /** Bodies up to this are copied behind their head, longer ones go as they are. */
    private static final int COPIED = 8 * 1024;

    /** That it may have run. */
    static final Fields HARMFUL = Fields.of(HttpHosts.HARMLESS, "?0");

    private final HttpConnection connection;
    private final HttpFront front;
    private final Turn turn;
    private RequestHead request;
    private boolean close;
    private boolean begun;
    private boolean done;
    private boolean chunked;
    private boolean bodiless;
    /** Only the close of the connection tells where it ends. */
    private boolean unframed;

    Reply(HttpConnection connection, HttpFront front, Turn turn) {
        this.connection = connection;
        this.front = front;
        this.turn = turn;
    }

    /** What it answers; before that it is of something that could not be read. */
    void to(RequestHead head) {
        request = head;
        close = !head.keepAlive();
    }

    /** Nothing follows it on this connection. */
    void close() {
        close = true;
    }

    boolean hasBegun() {
        return begun;
    }

    boolean isDone() {
        return done;
    }

    /** The client may send the body that it holds back (RFC 9110 section 10.1.1). */
    void goOn() {
        if (!begun) {
            connection.write(text("HTTP/1.1 100 Continue\r\n\r\n"));
        }
    }

    private static ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    /** A short answer of this balancer's own. */
    void plain(int status, String what, Fields more) {
        if (begun) {
            return;
        }
        byte[] body = (what + "\n").getBytes(StandardCharsets.US_ASCII);
        Fields fields = Fields.of("date", front.date(), "content-type", "text/plain", "cache-control", "no-store",
                "content-length", String.valueOf(body.length)).updatedBy(more);
        write(status, fields, body, 0, body.length);
    }

    /** It never ran: asking again does no harm. */
    void refused(long retryAfterMs) {
        plain(503, "busy", harmless(retryAfterMs));
    }

    /** That asking again does no harm, and after which wait; 0: none is told. */
    static Fields harmless(long retryAfterMs) {
        Fields fields = Fields.of(HttpHosts.HARMLESS, "?1");
        return retryAfterMs <= 0 ? fields : fields.updatedBy(Fields.of("retry-after",
                String.valueOf((retryAfterMs + 999) / 1000), "stairshelf-retry-after-ms", String.valueOf(retryAfterMs)));
    }

    /** It may have run. {@code late}: no answer came in time. */
    void failed(boolean late) {
        plain(late ? 504 : 502, late ? "no answer in time" : "failed", HARMFUL);
    }

    /** Something from the store. */
    void hit(HttpCache.Hit hit, CacheStatus status) {
        if (begun) {
            return;
        }
        int code = hit.status();
        Copy copy = hit.copy();
        Fields fields = hit.fields();
        byte[] body = copy.body();
        int from = 0;
        int length = body.length;
        if (code == 304) {
            fields = fields.without(name -> name.equals("content-length") || name.equals("content-type")
                    || name.equals("content-range"));
            length = 0;
        } else if (hit.slice() != null) {
            Ranges.Slice slice = hit.slice();
            long whole = copy.stored().range() == null ? body.length : copy.stored().range().length();
            long start = copy.stored().range() == null ? 0 : copy.stored().range().first();
            if (slice.isSatisfiable()) {
                from = (int) (slice.first() - start);
                length = (int) (slice.last() - slice.first() + 1);
                fields = fields.updatedBy(Fields.of("content-range", "bytes " + slice.first() + "-" + slice.last() + "/" + whole,
                        "content-length", String.valueOf(length)));
            } else {
                length = 0;
                fields = Fields.of("date", front.date(), "content-range", "bytes */" + whole, "content-length", "0");
            }
        } else {
            fields = fields.with("content-length", String.valueOf(length));
        }
        write(code, marked(fields, status), body, from, length);
    }

    private Fields marked(Fields fields, CacheStatus status) {
        return front.via(status == null ? fields
                : fields.with("cache-status", status.after(fields.joined("cache-status"))));
    }

    private void write(int status, Fields fields, byte[] body, int from, int length) {
        begun = true;
        close |= connection.isLast();
        int sent = isHead() ? 0 : length;
        ByteBuf bytes = lead(status, fields, sent <= COPIED ? sent : 0);
        if (sent <= COPIED) {
            bytes.writeBytes(body, from, sent);
            connection.write(bytes);
        } else {
            connection.write(bytes);
            connection.write(Unpooled.wrappedBuffer(body, from, sent));
        }
        done();
    }

    private boolean isHead() {
        return request != null && request.method().equals("HEAD");
    }

    private ByteBuf lead(int status, Fields fields, int room) {
        ByteBuf bytes = connection.socket().alloc().buffer(512 + room);
        HttpHosts.line(bytes, "HTTP/1.1 ", String.valueOf(status), " ", HttpResponseStatus.valueOf(status).reasonPhrase(), "\r\n");
        HttpHosts.fields(bytes, fields);
        if (close) {
            HttpHosts.line(bytes, "connection: close\r\n");
        } else if (request != null && request.isOld()) {
            HttpHosts.line(bytes, "connection: keep-alive\r\n");
        }
        HttpHosts.line(bytes, "\r\n");
        return bytes;
    }

    /** The head of an answer whose body follows; {@code length}: of that, negative if it is not told. */
    void head(int status, Fields fields, long length, CacheStatus cacheStatus) {
        begun = true;
        close |= connection.isLast();
        bodiless = isHead() || status == 204 || status == 304;
        chunked = !bodiless && length < 0 && !request.isOld();
        unframed = !bodiless && length < 0 && request.isOld();
        close |= unframed;
        Fields sent = marked(fields, cacheStatus);
        connection.write(lead(status, chunked ? sent.with("transfer-encoding", "chunked") : sent, 0));
    }

    /** Some of its body. */
    void part(ByteBuf bytes) {
        if (done || bodiless || !bytes.isReadable()) {
            bytes.release();
            return;
        }
        if (chunked) {
            connection.write(text(Integer.toHexString(bytes.readableBytes()) + "\r\n"));
            connection.write(bytes);
            connection.write(text("\r\n"));
        } else {
            connection.write(bytes);
        }
    }

    /** Its body is whole. */
    void end() {
        if (chunked && !done) {
            connection.write(text("0\r\n\r\n"));
        }
        done();
    }

    private void done() {
        if (!done) {
            done = true;
            connection.done(turn, close);
        }
    }

    /** Its body will not be whole. */
    void breakOff() {
        if (!done) {
            done = true;
            connection.breakOff(unframed);
        }
    }
}
