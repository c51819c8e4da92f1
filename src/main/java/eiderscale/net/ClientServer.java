package eiderscale.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Clients' connections: reads commands and writes their answers in the order of the commands. */
final class ClientServer {
    /** Requests of one connection that may be open at once; reading stops there. */
    private static final int MOST_PIPELINED = 64;
    /** Bytes of answers, over all connections, that clients may leave unread. */
    private static final long MOST_UNREAD = 8L * 1024 * 1024;
    private static final int BACKLOG = 1024;
    /**
     * Connections taken in one turn of the loop. All of them hold a descriptor before the first is looked at, and
     * one that is closed keeps it until the next turn: more at once than there is room for run out of descriptors.
     */
    private static final int ACCEPTS_AT_ONCE = 16;
    private static final long ACCEPT_AGAIN_MS = 20;
    /** Reads of one connection before the loop turns to the next, lest one that floods starves the others. */
    private static final int READS_AT_ONCE = 4;
    private static final int MOST_READ = 16 * 1024;
    /** A first command, or one that has begun, must be whole within this time. */
    private static final long COMMAND_NS = 2 * Clock.SECOND;
    /** A connection on which nothing has been asked for so long is closed; good clients ask far more often. */
    private static final long IDLE_NS = 20 * Clock.SECOND;
    /** A client that does not take the answer behind which its connection closes is not waited for longer. */
    private static final long FAREWELL_NS = 2 * Clock.SECOND;
    /** No connection that has yet to speak is closed sooner to make room: its command may be on its way. */
    private static final long YOUNG_NS = 100 * Clock.MILLISECOND;
    /** So large a part of all connections without a good command is a crowd. */
    private static final int CROWD_PART = 4;
    /** After a fault a connection is not read for this long, and after so many faults no more at all. */
    private static final long PENALTY_MS = 50;
    private static final int MOST_FAULTS = 8;
    private static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(32 * 1024, 128 * 1024);

    private final Balancer balancer;
    private final EventLoop loop;
    private final Counters counters;
    private final int mostClients;
    private final int mostSurplus;
    private final Budget budget;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Connections with nothing to do, the one that has been so for longest first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    /** Likewise those that never brought a good command, or brought a bad one: the first to make room. */
    private final Set<Connection> doubtful = new LinkedHashSet<>();
    /** Those that came while there was no room, and have not been given any yet. */
    private final Queue<Connection> waiting = new ArrayDeque<>();
    private final List<Channel> servers = new ArrayList<>();
    private long unread;
    private boolean closing;

    /** {@code mostSurplus}: connections over {@code mostClients} that are kept just to be refused. */
    ClientServer(Balancer balancer, EventLoop loop, Counters counters, Budget budget, int mostClients,
                 int mostSurplus) {
        this.balancer = balancer;
        this.budget = budget;
        this.loop = loop;
        this.counters = counters;
        this.mostClients = mostClients;
        this.mostSurplus = mostSurplus;
    }

    /** Begins to listen at one more address. */
    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .handler(new AcceptFaults())
                .option(ChannelOption.RCVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_AT_ONCE))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR,
                        // Read on behind a short read: that is where the end of a connection shows.
                        new AdaptiveRecvByteBufAllocator(512, 2048, MOST_READ).respectMaybeMoreData(false)
                                .maxMessagesPerRead(READS_AT_ONCE))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        MetaDecoder decoder = MetaDecoder.ofCommands(budget);
                        fresh.pipeline().addLast(decoder, new FlowControlHandler(),
                                new Connection(fresh, decoder));
                    }
                }).bind(address);
        servers.add(bound.channel());
        return bound;
    }

    /** Takes no more connections, and closes those there are as they fall idle. */
    void close() {
        closing = true;
        servers.forEach(Channel::close);
        for (Connection connection : List.copyOf(connections)) {
            connection.adjust();
        }
    }

    int clients() {
        return connections.size();
    }

    /**
     * Closes those that say nothing, stop halfway or have been idle for long: each holds a descriptor and memory
     * that others need. To be called a few times a second.
     */
    void sweep() {
        long now = Clock.now();
        for (Connection connection : List.copyOf(connections)) {
            connection.checkTime(now);
        }
    }

    /**
     * Finds room for those that came without any. It runs behind the reads of the same turn of the loop: a
     * connection whose command was waiting to be read is not idle any more, and would be lost by a close.
     */
    private void makeRoom() {
        for (Connection late = waiting.poll(); late != null; late = waiting.poll()) {
            // In a crowd that says nothing all are young: good idle connections must not make room for it.
            long least = doubtful.size() > mostClients / CROWD_PART ? 0 : YOUNG_NS;
            if (connections.contains(late) && connections.size() > mostClients && !evict(doubtful, least)
                    && !evict(idle, 0)) {
                late.surplus = true;
            }
        }
    }

    private boolean evict(Set<Connection> from, long leastNs) {
        Iterator<Connection> longest = from.iterator();
        if (!longest.hasNext()) {
            return false;
        }
        Connection evicted = longest.next();
        if (Clock.now() - evicted.since < leastNs) {
            return false;
        }
        counters.evicted++;
        evicted.end();
        return true;
    }

    /** An accept that fails, for want of descriptors, is tried again soon: it must not reach the loop itself. */
    private final class AcceptFaults extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            counters.noise("cannot accept: " + cause);
            ctx.channel().config().setAutoRead(false);
            loop.schedule(() -> ctx.channel().config().setAutoRead(true), ACCEPT_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
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
        private final MetaDecoder decoder;
        private final Queue<Slot> slots = new ArrayDeque<>();
        /** When it came, fell idle or began to quit. */
        private long since = Clock.now();
        /** When the command that is still coming in began; 0 if there is none. */
        private long halfSince;
        private boolean spoke;
        private int faults;
        private long pausedUntil;
        /** There was no room for it: all it gets is a refusal. */
        private boolean surplus;
        private boolean quitting;
        /** The last answer is on its way and the close behind it. */
        private boolean leaving;
        private boolean gone;
        private boolean reading;
        /** The command that was read last, and its place, until it is begun. */
        private Slot pending;
        private MetaFrame pendingFrame;

        Connection(Channel channel, MetaDecoder decoder) {
            this.channel = channel;
            this.decoder = decoder;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (connections.size() >= mostClients + mostSurplus) {
                counters.turnedAway++;
                gone = true;
                ctx.close();
                return;
            }
            connections.add(this);
            doubtful.add(this);
            if (connections.size() > mostClients) {
                waiting.add(this);
                if (waiting.size() == 1) {
                    loop.execute(ClientServer.this::makeRoom);
                }
            }
        }

        private void beIdle() {
            // Asked again while it is idle, it keeps its place in the line.
            if ((spoke && faults == 0 ? idle : doubtful).add(this)) {
                since = Clock.now();
            }
        }

        private void beBusy() {
            idle.remove(this);
            doubtful.remove(this);
            halfSince = 0;
        }

        /** Counted out now, as the channel reports its end only later: a burst would evict but one. */
        private void end() {
            beBusy();
            connections.remove(this);
            channel.close();
        }

        void checkTime(long now) {
            if (leaving) {
                if (now - since > FAREWELL_NS) {
                    channel.close();
                }
            } else if (slots.isEmpty()) {
                boolean late = !spoke && now - since > COMMAND_NS || halfSince != 0 && now - halfSince > COMMAND_NS;
                if (late) {
                    counters.timedOut++;
                    end();
                } else if (now - since > IDLE_NS) {
                    counters.retired++;
                    end();
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, MetaFrame frame) {
            begin();
            if (quitting) {
                return;
            }
            beBusy();
            pending = new Slot(this);
            pendingFrame = frame;
            slots.add(pending);
            loop.execute(this::begin);
        }

        /**
         * Begins the command that was read last, once the reads of this turn are over: by then the end of a
         * connection that was closed behind it has been seen too, and what nobody waits for any more is let drop.
         * Guards against a queue of connections that all are dead by the time they are accepted, each of which
         * would cost as much as a live one: a slow start, a stalled machine, any burst that clients give up on.
         * Harm: a client that only closes its sending side is not answered, as ever.
         */
        private void begin() {
            Slot slot = pending;
            MetaFrame frame = pendingFrame;
            pending = null;
            pendingFrame = null;
            if (slot == null || gone) {
                return;
            }
            if (!channel.isActive()) {
                counters.departed++;
                return;
            }
            reading = true;
            if (frame.fault() != null) {
                fault(slot, frame.fault(), frame.last());
            } else {
                take(slot, frame);
            }
            reading = false;
            flushReady();
        }

        /** How long half a command has been here, seen once all that came has been read. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (!slots.isEmpty() || decoder.isClean()) {
                halfSince = 0;
            } else if (halfSince == 0) {
                halfSince = Clock.now();
            }
        }

        /**
         * Answers what cannot be served. Nothing behind a fault of framing is read; behind any other one reading
         * rests, so that a client which sends the same again at once takes no time from the others.
         */
        private void fault(Slot slot, String answer, boolean last) {
            counters.malformed++;
            faults++;
            quitting = last || faults >= MOST_FAULTS;
            pausedUntil = Clock.now() + PENALTY_MS * Clock.MILLISECOND;
            loop.schedule(this::adjust, PENALTY_MS, TimeUnit.MILLISECONDS);
            slot.answer(answer + "\r\n", null);
        }

        private void take(Slot slot, MetaFrame frame) {
            switch (frame.words().get(0)) {
                case "mg", "ms" -> request(slot, frame);
                case "mn" -> {
                    spoke = true;
                    slot.answer("MN\r\n", null);
                }
                case "quit" -> {
                    slots.remove(slot);
                    quitting = true;
                }
                default -> fault(slot, "ERROR", false);
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
                Command command = new Command(frame, balancer.site(), balancer::ownId);
                slot.exchange = balancer.take(command, slot);
                spoke = true;
            } catch (Command.Malformed e) {
                fault(slot, e.getMessage(), false);
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
            if (gone || leaving) {
                return;
            }
            if (slots.isEmpty() && (closing || quitting)) {
                // Behind what is still being written: a close at once would cut a long answer short.
                leaving = true;
                quitting = true;
                since = Clock.now();
                channel.config().setAutoRead(false);
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            } else if (unread > MOST_UNREAD && !channel.isWritable()) {
                // A client that does not read its answers must not take the memory of the others.
                channel.close();
            } else {
                if (slots.isEmpty()) {
                    beIdle();
                }
                channel.config().setAutoRead(!quitting && slots.size() < MOST_PIPELINED && channel.isWritable()
                        && Clock.now() >= pausedUntil);
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
            beBusy();
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
                counters.unexpected("on a client's connection", cause);
            }
            ctx.close();
        }
    }
}
