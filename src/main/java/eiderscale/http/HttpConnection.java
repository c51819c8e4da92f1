package eiderscale.http;

import eiderscale.config.HttpRules;
import eiderscale.net.ClientConnection;
import eiderscale.net.ClientServer;
import eiderscale.net.Clock;
import eiderscale.net.Core;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

/**
 * One client that speaks HTTP/1.1. Its requests are served one after the other, so that answers come in their order
 * (RFC 9112 section 9.3.2); what it sends ahead waits. An idle one holds no buffer and no decoder: it is the one handler
 * in its pipeline.
 */
final class HttpConnection extends ClientConnection {
    /** Requests that are begun without a rest, lest a client that sends many small ones keeps the others waiting. */
    private static final int MOST_AT_ONCE = 32;
    private static final long REST_MS = 1;

    private final HttpFront front;
    /** Requests that were begun since the last rest. */
    private int begun;
    private boolean resting;
    /** Null between two requests. */
    private StrictRequestDecoder decoder;
    /** The request that is being read or answered. */
    private Turn turn;
    /** Its body is not all here. */
    private boolean inBody;
    private boolean parsing;
    private boolean flushing;

    HttpConnection(HttpFront front, ClientServer server, SocketChannel channel) {
        super(server, channel);
        this.front = front;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (isGone() || isQuitting()) {
            discard(bytes);
            return;
        }
        ahead().add(bytes);
        takeIn();
        if (!isGone() && !hasRoom()) {
            channel().config().setAutoRead(false);
        }
    }

    @Override
    protected int open() {
        return turn == null ? 0 : 1;
    }

    @Override
    protected boolean isClean() {
        return ahead().isEmpty() && decoder == null;
    }

    @Override
    protected boolean hasRoom() {
        return turn == null && !resting || super.hasRoom();
    }

    @Override
    protected boolean mayTakeIn() {
        return !parsing && !rests();
    }

    @Override
    protected void takeIn() {
        if (turn != null) {
            turn.flow(isWritable());
        }
        if (parsing || isClean()) {
            return;
        }
        parsing = true;
        try {
            boolean more = true;
            while (more && mayParse()) {
                more = readOne();
            }
        } catch (Exception e) {
            throw new IllegalStateException("reading a request", e);
        } finally {
            parsing = false;
        }
        if (isGone() || isQuitting()) {
            ahead().drop();
            drop();
        } else {
            ahead().settle();
        }
        if (decoder != null && decoder.isBetween()) {
            decoder = null;
        }
        if (inBody && turn != null && ahead().isEmpty() && hasEnded()) {
            inBody = false;
            turn.spoilt(new BadRequest(400, "the body ended before its end"));
        }
    }

    /** A further request waits for the answer to the one before, and for its client to take it; its body waits until its host takes more. */
    private boolean mayParse() {
        return !isGone() && !isQuitting() && (turn == null ? isWritable() && !rests() : inBody && turn.wantsBody());
    }

    private boolean rests() {
        if (begun >= MOST_AT_ONCE && !resting) {
            resting = true;
            later(this::goOn, REST_MS);
        }
        return resting;
    }

    private void goOn() {
        resting = false;
        begun = 0;
        look();
    }

    private boolean readOne() throws Exception {
        if (decoder == null) {
            if (ahead().size() == 0) {
                return false;
            }
            decoder = new StrictRequestDecoder();
        }
        Object part = decoder.next(ahead().isEmpty() ? Unpooled.EMPTY_BUFFER : ahead().bytes());
        if (part == null) {
            return false;
        }
        try {
            take(part);
        } finally {
            ReferenceCountUtil.release(part);
        }
        return true;
    }

    private void take(Object part) throws Exception {
        if (part instanceof BadRequest bad) {
            fault(bad);
        } else if (part instanceof HttpRequest request) {
            begin(request);
        } else if (part instanceof HttpContent content && inBody) {
            inBody = !(part instanceof LastHttpContent);
            turn.body(content.content(), !inBody);
        }
    }

    /** What cannot be read as one request and no other: answered, and nothing behind it is read. */
    private void fault(BadRequest bad) {
        faulty();
        if (turn == null) {
            busy();
            turn = new Turn(this, front);
        }
        inBody = false;
        turn.spoilt(bad);
    }

    private void begin(HttpRequest request) throws Exception {
        busy();
        begun++;
        Turn fresh = new Turn(this, front);
        turn = fresh;
        try {
            RequestHead head = RequestHead.of(request);
            inBody = head.length() != 0;
            if (!inBody) {
                // The decoder has the empty end of it ready: none of it is left when the next request is looked for.
                ReferenceCountUtil.release(decoder.next(Unpooled.EMPTY_BUFFER));
            }
            fresh.begin(head);
            if (!inBody && turn == fresh) {
                fresh.body(Unpooled.EMPTY_BUFFER, true);
            }
        } catch (BadRequest e) {
            faulty();
            inBody = false;
            fresh.spoilt(e);
        }
    }

    @Override
    protected void drop() {
        if (decoder != null) {
            decoder.drop();
            decoder = null;
        }
    }

    @Override
    protected void abandon() {
        Turn left = turn;
        turn = null;
        if (left != null) {
            left.gone();
        }
    }

    // What its request asks and tells.

    /** The answer is written to its end. {@code close}: nothing may follow it. */
    void done(Turn ended, boolean close) {
        if (turn != ended || isGone()) {
            return;
        }
        turn = null;
        if (close || inBody) {
            quit();
            ahead().drop();
            drop();
        }
        flush();
        adjust();
    }

    /** What was written goes out at the end of this turn of the loop. */
    void write(ByteBuf bytes) {
        send(bytes);
        if (!flushing) {
            flushing = true;
            later(this::flushLater);
        }
    }

    private void flushLater() {
        flushing = false;
        flush();
    }

    /** An answer that cannot be ended as it should: the client must be able to tell. */
    void breakOff(boolean reset) {
        flush();
        if (reset) {
            channel().config().setSoLinger(0);
        }
        channel().close();
    }

    /** Reads on, or not, as the request allows. */
    void look() {
        if (!isGone() && !parsing) {
            adjust();
        }
    }

    Future<?> after(Runnable task, long ms) {
        return later(task, ms);
    }

    boolean hasLeft() {
        return isGone();
    }

    boolean isOver() {
        return isQuitting();
    }

    boolean takes() {
        return isWritable();
    }

    /** Whether nothing may follow the answer that is being written. */
    boolean isLast() {
        return isStopping();
    }

    boolean surplus() {
        return isSurplus();
    }

    boolean asks(int tenant) {
        return mayAskFor(tenant);
    }

    void good() {
        spoke();
    }

    void bad() {
        faulty();
    }

    void noPlace() {
        refusedHere();
    }

    Core pool(int number) {
        return core(number);
    }

    HttpRules rules() {
        return core(0).snapshot().site().http;
    }

    SocketChannel socket() {
        return channel();
    }

    long retryMs() {
        return core(0).snapshot().retryAfterMs(Clock.SECOND);
    }
}
