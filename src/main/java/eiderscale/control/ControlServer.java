package eiderscale.control;

import eiderscale.net.Counters;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The listener for operators. It has places of its own, apart from those of clients, and a caller that says nothing
 * cannot keep others out: with all places taken, the one that has been silent for longest goes. A call that has come is
 * read in the turn behind its accept, so that it loses its place only to so many connections in one turn as there are
 * places.
 */
public final class ControlServer {
    /** Connections held at once. */
    static final int PLACES = 32;
    /** A caller that has not brought its line by then is closed. */
    static final long PATIENCE_MS = 5_000;
    /** One that has its answer is closed by then. */
    private static final long FAREWELL_MS = 1_000;
    private static final int ACCEPTS_AT_ONCE = 8;
    private static final int BACKLOG = 1024;
    private static final long ACCEPT_AGAIN_MS = 20;

    private final EventLoop loop;
    private final Calls calls;
    /** All that are here, the longest first: silent ones, and those that have yet to take their answer. */
    private final Deque<Caller> held = new ArrayDeque<>();

    /** All of it runs on {@code loop}. */
    public ControlServer(EventLoop loop, Operators operators) {
        this.loop = loop;
        this.calls = new Calls(operators);
    }

    /** Begins to listen; its end is the process's. */
    public ChannelFuture listen(InetSocketAddress address) {
        return new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.RCVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_AT_ONCE))
                .handler(new AcceptFaults())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline().addLast(new Caller(fresh));
                    }
                }).bind(address);
    }

    /** An accept that fails, for want of descriptors, is tried again soon. */
    private final class AcceptFaults extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.channel().config().setAutoRead(false);
            loop.schedule(() -> ctx.channel().config().setAutoRead(true), ACCEPT_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private final class Caller extends ChannelInboundHandlerAdapter {
        private final SocketChannel channel;
        private final byte[] line = new byte[Calls.MOST_LINE];
        private int length;
        private boolean over;
        private Future<?> patience;

        Caller(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (held.size() >= PLACES) {
                held.peekFirst().leave();
            }
            held.addLast(this);
            closeIn(PATIENCE_MS);
        }

        private void closeIn(long ms) {
            if (patience != null) {
                patience.cancel(false);
            }
            patience = loop.schedule(this::leave, ms, TimeUnit.MILLISECONDS);
        }

        private void end() {
            over = true;
            held.remove(this);
            if (patience != null) {
                patience.cancel(false);
            }
        }

        private void leave() {
            end();
            channel.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            try {
                while (!over && bytes.isReadable()) {
                    take(bytes.readByte());
                }
            } finally {
                ReferenceCountUtil.release(bytes);
            }
        }

        private void take(byte next) {
            if (next == '\n') {
                answer(calls.answer(new String(line, 0, length, StandardCharsets.ISO_8859_1)));
            } else if (length == line.length) {
                answer("400 line too long");
            } else {
                line[length++] = next;
            }
        }

        /** What still comes is read and dropped until the caller has gone: a close at once could reset the answer away. */
        private void answer(String text) {
            over = true;
            closeIn(FAREWELL_MS);
            channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), text + "\r\n"))
                    .addListener(done -> channel.shutdownOutput());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                Counters.log("unexpected on an operator's connection: " + cause);
                if (!over) {
                    answer("400 not done");
                }
                return;
            }
            ctx.close();
        }
    }
}
