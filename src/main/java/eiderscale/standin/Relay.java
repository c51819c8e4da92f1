package eiderscale.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A way from one process to another that can be injured: it passes bytes on, later, in one direction only, or not at all.
 * What is held back while a way is cut goes on when it is whole again, as TCP would send it again; nothing is lost of a
 * connection that stays. One that comes while the way there is cut is taken by the relay and stays silent until then: on one
 * machine a connection cannot be kept from coming up, and clients of a cut machine see silence, as they would behind a
 * front.
 */
public final class Relay extends StandInServer {
    /** Bytes held back for one direction of a connection before its sender is read no more. */
    private static final int MOST_HELD = 256 * 1024;

    /** How a direction treats its bytes. */
    private static final class Way {
        volatile boolean cut;
        volatile long delayNs;
    }

    private final Supplier<InetSocketAddress> target;
    private final Way there = new Way();
    private final Way back = new Way();
    private volatile boolean repeats;

    /** Starts on a free port of loopback; {@code target}: asked at each connection, as what is behind may move. */
    public Relay(EventLoop loop, Supplier<InetSocketAddress> target) throws InterruptedException {
        super(loop, anywhere());
        this.target = target;
        start();
    }

    /** From now on nothing goes towards the target, or nothing comes from it, or both; or all does again. */
    public void cut(boolean towards, boolean from) {
        loop.submit(() -> {
            there.cut = towards;
            back.cut = from;
            connections.forEach(one -> one.pipeline().fireUserEventTriggered(Change.WAY));
        }).syncUninterruptibly();
    }

    /** From now on bytes take so much longer, each way, in milliseconds. */
    public void delay(long ms) {
        there.delayNs = TimeUnit.MILLISECONDS.toNanos(ms);
        back.delayNs = there.delayNs;
    }

    /**
     * From now on what the target sends comes twice: the second time when the next bytes of that connection pass towards the
     * target, as a late second answer does that crosses the next request.
     */
    public void repeat(boolean twice) {
        repeats = twice;
    }

    /** Resets all connections; new ones come up. */
    public void resetAll() {
        loop.submit(() -> connections.forEach(StandInServer::reset)).syncUninterruptibly();
    }

    private enum Change { WAY }

    @Override
    void open(Channel fresh) {
        fresh.pipeline().addLast(new Near());
    }

    /** Bytes of one direction on their way: in order, each not before its time. */
    private final class Pipe {
        private record Part(ByteBuf bytes, long due) {
        }

        private final Way way;
        private final Deque<Part> parts = new ArrayDeque<>();
        private Channel from;
        private Channel to;
        private int held;
        private boolean ended;
        private boolean closed;

        Pipe(Way way) {
            this.way = way;
        }

        void put(ByteBuf bytes) {
            parts.add(new Part(bytes, System.nanoTime() + way.delayNs));
            held += bytes.readableBytes();
            move();
            from.config().setAutoRead(held < MOST_HELD);
        }

        /** The sender has closed: what is held goes first, unless the way is cut, where nobody hears of it. */
        void end() {
            ended = true;
            move();
        }

        void move() {
            if (closed || way.cut || to == null) {
                return;
            }
            while (!parts.isEmpty()) {
                long wait = parts.peek().due - System.nanoTime();
                if (wait > 0) {
                    loop.schedule(this::move, wait, TimeUnit.NANOSECONDS);
                    return;
                }
                ByteBuf bytes = parts.poll().bytes;
                held -= bytes.readableBytes();
                to.write(bytes);
            }
            to.flush();
            if (from != null) {
                from.config().setAutoRead(held < MOST_HELD);
            }
            if (ended) {
                closed = true;
                to.close();
            }
        }

        void drop() {
            closed = true;
            parts.forEach(part -> part.bytes.release());
            parts.clear();
        }
    }

    /** The side that connected to the relay; it opens the other. */
    private final class Near extends ChannelInboundHandlerAdapter {
        private final Pipe out = new Pipe(there);
        private final Pipe in = new Pipe(back);
        private Channel far;
        /** What the target sent last, where that is to come once more; null otherwise. */
        private ByteBuf last;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            out.from = ctx.channel();
            in.to = ctx.channel();
            reach(ctx);
        }

        private void reach(ChannelHandlerContext ctx) {
            if (there.cut || far != null) {
                return;
            }
            ChannelFuture up = new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .handler(new Far(ctx.channel())).connect(target.get());
            far = up.channel();
            up.addListener(done -> {
                if (done.isSuccess() && ctx.channel().isActive()) {
                    in.from = far;
                    out.to = far;
                    out.move();
                } else {
                    far.close();
                    reset(ctx.channel());
                }
            });
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            out.put((ByteBuf) bytes);
            if (last != null) {
                in.put(last);
                last = null;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            forgetLast();
            in.drop();
            if (far == null || there.cut) {
                // Nobody sends again what its sender has closed while nothing went there.
                out.drop();
                if (far != null) {
                    far.close();
                }
            } else {
                out.end();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object change) {
            reach(ctx);
            out.move();
            in.move();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            reset(ctx.channel());
        }

        private void keepLast(ByteBuf bytes) {
            forgetLast();
            last = bytes.copy();
        }

        private void forgetLast() {
            if (last != null) {
                last.release();
                last = null;
            }
        }

        /** The side towards the target. */
        private final class Far extends ChannelInboundHandlerAdapter {
            private final Channel near;

            Far(Channel near) {
                this.near = near;
            }

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                if (repeats && near.isActive()) {
                    keepLast((ByteBuf) bytes);
                }
                in.put((ByteBuf) bytes);
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                out.drop();
                in.end();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                // A process that has died resets; its client is to see a reset as well, unless the way back is cut.
                if (!back.cut) {
                    reset(near);
                }
                ctx.close();
            }
        }
    }
}
