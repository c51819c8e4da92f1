package eiderscale.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * An HTTP host on loopback whose answers are the word of a script, byte by byte if it likes, so that failures can be
 * caused; it notes what came. A request is noted as soon as its head is here, and answered when all of it is.
 */
public final class StandInHttpHost extends StandInServer {
    /** A request as it came. {@code body}: filled by the time that it is answered. */
    public record Came(String method, String target, Map<String, String> fields, StringBuilder body) {
        /** The value of a field, or null; {@code name} in lower case. */
        public String field(String name) {
            return fields.get(name);
        }
    }

    /** What is done with a request: bytes are written after a while, and then the connection is kept, closed or reset. */
    public record Reply(String bytes, long delayMs, End end, String rest, long restMs) {
        /** An answer with a body. */
        public static Reply of(int status, String fields, String body) {
            return raw("HTTP/1.1 " + status + " X\r\ncontent-length: " + body.length() + "\r\n" + fields + "\r\n" + body);
        }

        /** These bytes and no others. */
        public static Reply raw(String bytes) {
            return new Reply(bytes, 0, End.KEEP, "", 0);
        }

        /** The same after a while. */
        public Reply after(long ms) {
            return new Reply(bytes, ms, end, rest, restMs);
        }

        /** The same with another end. */
        public Reply then(End how) {
            return new Reply(bytes, delayMs, how, rest, restMs);
        }

        /** The same with more behind it, so many milliseconds later, and the end behind that. */
        public Reply more(String later, long ms) {
            return new Reply(bytes, delayMs, end, later, ms);
        }
    }

    /** What becomes of a connection behind an answer. */
    public enum End { KEEP, CLOSE, RESET }

    private final List<Came> came = new CopyOnWriteArrayList<>();
    private volatile Function<Came, Reply> script = request -> Reply.of(200, "", "ok");
    private volatile Predicate<Came> resetAtHead = request -> false;
    private volatile Predicate<Came> foreign = request -> false;

    /** Starts on a free port of loopback. */
    public StandInHttpHost(EventLoop loop) throws InterruptedException {
        this(loop, anywhere());
    }

    /** Starts there. */
    public StandInHttpHost(EventLoop loop, InetSocketAddress at) throws InterruptedException {
        super(loop, at);
        start();
    }

    @Override
    void open(Channel fresh) {
        fresh.pipeline().addLast("codec", new HttpServerCodec()).addLast(new Conversation());
    }

    /** From now on requests are answered so; called on the host's loop. */
    public void script(Function<Came, Reply> treatment) {
        script = treatment;
    }

    /** Requests of which it resets the connection when their head has come, before their body. */
    public void resetAtHead(Predicate<Came> which) {
        resetAtHead = which;
    }

    /** Reads nothing more on any connection, or reads on. */
    public void reading(boolean on) {
        loop.submit(() -> connections.forEach(connection -> connection.config().setAutoRead(on))).syncUninterruptibly();
    }

    /** Bytes of answers that its peers have not taken. */
    public long untaken() {
        return loop.submit(() -> connections.stream().mapToLong(connection -> connection.unsafe().outboundBuffer() == null ? 0
                : connection.unsafe().outboundBuffer().totalPendingWriteBytes()).sum()).syncUninterruptibly().getNow();
    }

    /** From now on such requests are not for this host: they are not noted, and their connection ends. */
    public void ignore(Predicate<Came> which) {
        foreign = which;
    }

    /** All requests that came, in their order. */
    public List<Came> came() {
        return List.copyOf(came);
    }

    private final class Conversation extends ChannelInboundHandlerAdapter {
        private Came current;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof HttpRequest request) {
                Map<String, String> fields = new java.util.HashMap<>();
                request.headers().forEach(field -> fields.merge(field.getKey().toLowerCase(java.util.Locale.ROOT),
                        field.getValue(), (one, other) -> one + ", " + other));
                current = new Came(request.method().name(), request.uri(), fields, new StringBuilder());
                if (foreign.test(current)) {
                    current = null;
                    ReferenceCountUtil.release(message);
                    ctx.close();
                    return;
                }
                came.add(current);
                if (resetAtHead.test(current)) {
                    current = null;
                    reset(ctx.channel());
                }
            }
            if (message instanceof HttpContent content && current != null) {
                current.body.append(content.content().toString(StandardCharsets.ISO_8859_1));
                if (message instanceof LastHttpContent) {
                    Came whole = current;
                    current = null;
                    answer(ctx, script.apply(whole));
                }
            }
            ReferenceCountUtil.release(message);
        }

        private void answer(ChannelHandlerContext ctx, Reply reply) {
            if (reply.delayMs > 0) {
                loop.schedule(() -> show(ctx, reply), reply.delayMs, TimeUnit.MILLISECONDS);
            } else {
                show(ctx, reply);
            }
        }

        private void show(ChannelHandlerContext ctx, Reply reply) {
            ctx.pipeline().context("codec").writeAndFlush(bytes(reply.bytes));
            if (reply.restMs > 0) {
                loop.schedule(() -> end(ctx, reply), reply.restMs, TimeUnit.MILLISECONDS);
            } else {
                end(ctx, reply);
            }
        }

        private void end(ChannelHandlerContext ctx, Reply reply) {
            ChannelHandlerContext codec = ctx.pipeline().context("codec");
            if (codec == null) {
                return;
            }
            if (reply.end == End.RESET) {
                codec.writeAndFlush(bytes(reply.rest));
                reset(ctx.channel());
            } else if (reply.end == End.CLOSE) {
                codec.writeAndFlush(bytes(reply.rest)).addListener(ChannelFutureListener.CLOSE);
            } else if (!reply.rest.isEmpty()) {
                codec.writeAndFlush(bytes(reply.rest));
            }
        }

        private ByteBuf bytes(String text) {
            return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
