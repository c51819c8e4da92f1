package eiderscale.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.flow.FlowControlHandler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;

/** Clients' connections: reads commands and writes their answers in the order of the commands. */
final class ClientServer {
    /** Requests of one connection that may be open at once; reading stops there. */
    private static final int MOST_PIPELINED = 64;
    /** Bytes of answers, over all connections, that clients may leave unread. */
    private static final long MOST_UNREAD = 8L * 1024 * 1024;
    private static final int BACKLOG = 1024;
    private static final int ACCEPTS_AT_ONCE = 256;
    private static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(32 * 1024, 128 * 1024);

    private final Balancer balancer;
    private final EventLoop loop;
    private final Counters counters;
    private final int mostClients;
    private final int mostSurplus;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Connections with nothing to do, the one that has been so for longest first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    private Channel server;
    private long unread;
    private boolean closing;

    /** {@code mostSurplus}: connections over {@code mostClients} that are kept just to be refused. */
    ClientServer(Balancer balancer, EventLoop loop, Counters counters, int mostClients, int mostSurplus) {
        this.balancer = balancer;
        this.loop = loop;
        this.counters = counters;
        this.mostClients = mostClients;
        this.mostSurplus = mostSurplus;
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                // The whole accept queue is taken in one go: what waits there counts as taken.
                .option(ChannelOption.RCVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_AT_ONCE))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        fresh.pipeline().addLast(MetaDecoder.ofCommands(), new FlowControlHandler(),
                                new Connection(fresh));
                    }
                }).bind(address);
        server = bound.channel();
        return bound;
    }

    /** Takes no more connections, and closes those there are as they fall idle. */
    void close() {
        closing = true;
        server.close();
        for (Connection connection : List.copyOf(connections)) {
            connection.adjust();
        }
    }

    int clients() {
        return connections.size();
    }

    /** The place of one command in the order of answers. */
    private final class Slot implements Exchange.Client {
        private final Connection connection;
        private ByteBuf answer;
        private Exchange exchange;

        Slot(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void answer(String line, byte[] data) {
            if (!connection.gone) {
                answer = Command.line(connection.channel.alloc(), line, data);
                unread += answer.readableBytes();
                connection.flushReady();
            }
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<MetaFrame> {
        private final Channel channel;
        private final Queue<Slot> slots = new ArrayDeque<>();
        /** There was no room for it: all it gets is a refusal. */
        private boolean surplus;
        private boolean quitting;
        private boolean gone;
        private boolean reading;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= mostClients + mostSurplus) {
                gone = true;
                ctx.close();
                return;
            }
            if (connections.size() >= mostClients && !evict()) {
                surplus = true;
            }
            connections.add(this);
            idle.add(this);
        }

        private boolean evict() {
            Iterator<Connection> longest = idle.iterator();
            if (!longest.hasNext()) {
                return false;
            }
            Connection evicted = longest.next();
            // Counted out now, as the channel reports its end only later: a burst would evict but one.
            longest.remove();
            connections.remove(evicted);
            evicted.channel.close();
            return true;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaFrame frame) {
            if (quitting) {
                return;
            }
            idle.remove(this);
            reading = true;
            Slot slot = new Slot(this);
            slots.add(slot);
            if (frame.fault() != null) {
                counters.malformed++;
                slot.answer(frame.fault() + "\r\n", null);
            } else {
                take(slot, frame);
            }
            reading = false;
            flushReady();
        }

        private void take(Slot slot, MetaFrame frame) {
            switch (frame.words().get(0)) {
                case "mg", "ms" -> request(slot, frame);
                case "mn" -> slot.answer("MN\r\n", null);
                case "quit" -> {
                    slots.remove(slot);
                    quitting = true;
                }
                default -> {
                    counters.malformed++;
                    slot.answer("ERROR\r\n", null);
                }
            }
        }

        private void request(Slot slot, MetaFrame frame) {
            if (surplus) {
                counters.localRefusals++;
                quitting = true;
                slot.answer("SERVER_ERROR busy\r\n", null);
                return;
            }
            try {
                Command command = new Command(frame, balancer.site());
                slot.exchange = balancer.take(command, slot);
            } catch (Command.Malformed e) {
                counters.malformed++;
                slot.answer(e.getMessage() + "\r\n", null);
            }
        }

        /** Writes the answers that no earlier command has to come before. */
        void flushReady() {
            if (reading || gone) {
                return;
            }
            boolean wrote = false;
            while (!slots.isEmpty() && slots.peek().answer != null) {
                ByteBuf answer = slots.poll().answer;
                int bytes = answer.readableBytes();
                channel.write(answer).addListener(done -> unread -= bytes);
                wrote = true;
            }
            if (wrote) {
                channel.flush();
            }
            adjust();
        }

        /** Reads on, stops reading, or closes, as its open requests and its client's reading allow. */
        void adjust() {
            if (slots.isEmpty() && (closing || quitting)) {
                // Behind what is still being written: a close at once would cut a long answer short.
                quitting = true;
                channel.config().setAutoRead(false);
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            } else if (unread > MOST_UNREAD && !channel.isWritable()) {
                // A client that does not read its answers must not take the memory of the others.
                channel.close();
            } else {
                if (slots.isEmpty()) {
                    idle.add(this);
                }
                channel.config().setAutoRead(slots.size() < MOST_PIPELINED && channel.isWritable());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            adjust();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            gone = true;
            connections.remove(this);
            idle.remove(this);
            for (Slot slot : slots) {
                if (slot.answer != null) {
                    unread -= slot.answer.readableBytes();
                    slot.answer.release();
                } else if (slot.exchange != null) {
                    balancer.clientGone(slot.exchange);
                }
            }
            slots.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                Counters.log("on a client's connection", cause);
            }
            ctx.close();
        }
    }
}
