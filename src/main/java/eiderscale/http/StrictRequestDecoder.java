package eiderscale.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Netty's decoder of requests, behind a look at each head as it came. Netty joins folded lines, skips blanks before a
 * request line and between its words, and reads on; another server may read the same bytes otherwise, which is how
 * requests are smuggled (RFC 9112 sections 3, 5.2 and 11.2). Such a head is a {@link BadRequest}, and nothing behind it is
 * read. A head is held until all of it is here.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    /** A request line and all fields together, in bytes. */
    static final int MOST_HEAD = 16 * 1024;
    /** A request line. */
    static final int MOST_LINE = 8 * 1024;
    /** Fields of a head: each takes many times its bytes once it is read. */
    static final int MOST_FIELDS = 128;
    private static final int MOST_CHUNK = 16 * 1024;

    private final List<Object> found = new ArrayList<>(2);
    private final Queue<Object> ready = new ArrayDeque<>(2);
    private boolean atHead = true;
    private boolean broken;

    StrictRequestDecoder() {
        super(new HttpDecoderConfig().setStrictLineParsing(true).setUseRfc9112TransferEncoding(true)
                .setMaxInitialLineLength(MOST_LINE).setMaxHeaderSize(MOST_HEAD).setMaxChunkSize(MOST_CHUNK));
    }

    /**
     * What comes next of a request in these bytes: a head, a part of a body or a {@link BadRequest}; null if that is not
     * all here. For one that stands in no pipeline.
     */
    Object next(ByteBuf bytes) throws Exception {
        while (ready.isEmpty() && bytes.isReadable()) {
            int before = bytes.readerIndex();
            decode(null, bytes, found);
            ready.addAll(found);
            found.clear();
            if (ready.isEmpty() && bytes.readerIndex() == before) {
                return null;
            }
        }
        return ready.poll();
    }

    /** Whether it stands between two requests, all parts of the last one having been taken. */
    boolean isBetween() {
        return atHead && !broken && ready.isEmpty();
    }

    /** Lets go of what was not taken. */
    void drop() {
        for (Object part = ready.poll(); part != null; part = ready.poll()) {
            ReferenceCountUtil.release(part);
        }
    }

    /** Whether it stands between two requests, with not a byte of the next one here. */
    boolean isClean() {
        return atHead && !broken && actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (broken) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (atHead) {
            int end = end(buffer);
            try {
                check(buffer, end);
            } catch (BadRequest e) {
                breakOff(e, buffer, out);
                return;
            }
            if (end < 0) {
                return;
            }
            atHead = false;
        }
        int before = out.size();
        super.decode(ctx, buffer, out);
        for (int i = before; i < out.size(); i++) {
            HttpObject part = (HttpObject) out.get(i);
            if (part.decoderResult().isFailure()) {
                out.subList(i, out.size()).clear();
                breakOff(new BadRequest(400, "malformed request"), buffer, out);
                return;
            }
            atHead |= part instanceof LastHttpContent;
        }
    }

    private void breakOff(BadRequest fault, ByteBuf buffer, List<Object> out) {
        broken = true;
        buffer.skipBytes(buffer.readableBytes());
        out.add(fault);
    }

    /** Where the empty line behind the head begins, or -1 if it is not here. */
    private static int end(ByteBuf buffer) {
        int limit = Math.min(buffer.writerIndex(), buffer.readerIndex() + MOST_HEAD);
        for (int i = buffer.readerIndex(); i + 3 < limit; i++) {
            if (buffer.getByte(i) == '\r' && buffer.getByte(i + 1) == '\n' && buffer.getByte(i + 2) == '\r'
                    && buffer.getByte(i + 3) == '\n') {
                return i + 2;
            }
        }
        return -1;
    }

    /** Looks at what of a head is here; {@code end}: negative if that is not all. */
    private static void check(ByteBuf buffer, int end) throws BadRequest {
        int from = buffer.readerIndex();
        int to = end < 0 ? buffer.writerIndex() : end;
        if (to == from) {
            return;
        }
        if (!isTokenStart(buffer.getByte(from))) {
            throw new BadRequest(400, "no request line");
        }
        boolean first = true;
        int blanks = 0;
        int lines = 0;
        for (int i = from; i < to; i++) {
            byte b = buffer.getByte(i);
            if (b == '\n' && buffer.getByte(i - 1) != '\r') {
                throw new BadRequest(400, "a line that does not end in CRLF");
            }
            if (b == '\r' && i + 1 < buffer.writerIndex() && buffer.getByte(i + 1) != '\n') {
                throw new BadRequest(400, "a carriage return alone");
            }
            if (b == '\n') {
                if (first && blanks != 2) {
                    throw new BadRequest(400, "malformed request line");
                }
                first = false;
                if (++lines > MOST_FIELDS + 1) {
                    throw new BadRequest(431, "too many fields");
                }
                boolean folded = i + 1 < to && (buffer.getByte(i + 1) == ' ' || buffer.getByte(i + 1) == '\t');
                if (folded) {
                    throw new BadRequest(400, "a folded line");
                }
            } else if (first) {
                blanks += b == ' ' ? 1 : 0;
                if (b != '\r' && (b < 0x20 || b == 0x7f)) {
                    throw new BadRequest(400, "control character in request line");
                }
                if (i - from >= MOST_LINE) {
                    throw new BadRequest(414, "request line too long");
                }
            }
        }
        if (end < 0 && to - from >= MOST_HEAD) {
            throw new BadRequest(431, "fields too large");
        }
    }

    private static boolean isTokenStart(byte b) {
        return b >= 'A' && b <= 'Z' || b >= 'a' && b <= 'z' || b >= '0' && b <= '9' || "!#$%&'*+-.^_`|~".indexOf(b) >= 0;
    }
}
