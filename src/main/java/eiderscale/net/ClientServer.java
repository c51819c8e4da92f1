package eiderscale.net;

import eiderscale.connections.ConnectionLimits;
import eiderscale.connections.ConnectionTable;
import eiderscale.connections.ConnectionTable.Why;
import eiderscale.connections.Member;
import eiderscale.connections.TimingWheel;
import eiderscale.ledger.AnswerRoom;
import eiderscale.ledger.Budget;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Listens for clients, and carries out on their sockets what the table of connections decides. */
public final class ClientServer {
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
    /** Connections that may be closed in one turn, lest those that fall due together stall those that are served. */
    private static final int MOST_CLOSES = 64;
    private static final long TICK = 50 * Clock.MILLISECOND;
    /** What a connection may be read ahead, so that its end is seen; and where all together are ahead by much. */
    private static final int MOST_AHEAD_BYTES = 128 * 1024;
    private static final int LEAST_AHEAD_BYTES = 4 * 1024;
    private static final long MOST_AHEAD_IN_ALL_BYTES = 4L * 1024 * 1024;

    private final List<Balancer> balancers;
    private final EventLoop loop;
    private final Counters counters;
    private final Front front;
    /** Whether a client that has ended its sending is still there. */
    private final boolean halfClose;
    private final Budget answerBytes;
    private final AnswerRoom answers;
    private final TimingWheel wheel = new TimingWheel(TICK, Clock.now());
    private final ConnectionTable<ClientConnection> table;
    /**
     * One for all connections, as nothing in it lasts from one connection's reads to the next but a guess at how much
     * comes. It reads on behind a short read: that is where the end of a connection shows.
     */
    private final RecvByteBufAllocator.ExtendedHandle reads = (RecvByteBufAllocator.ExtendedHandle)
            new AdaptiveRecvByteBufAllocator(512, 2048, MOST_READ)
            .respectMaybeMoreData(false).maxMessagesPerRead(READS_AT_ONCE).newHandle();
    private final List<Channel> servers = new ArrayList<>();
    private boolean shared;
    private boolean roomWanted;
    /** Bytes of answers, over all connections, that clients have not taken. */
    private long unsent;
    /** Bytes that are kept, over all connections, of what clients have sent ahead. */
    private long ahead;
    /** Connections go behind their next answer. */
    private boolean parting;
    private boolean closing;
    private long accepted;
    private long sweptAt = Clock.now();

    ClientServer(List<Balancer> balancers, EventLoop loop, Counters counters, Front front, ConnectionLimits limits,
                 boolean halfClose, Budget answers) {
        this.halfClose = halfClose;
        this.answerBytes = answers;
        this.answers = new AnswerRoom(answers);
        this.balancers = List.copyOf(balancers);
        this.front = front;
        this.loop = loop;
        this.counters = counters;
        this.table = new ConnectionTable<>(limits, wheel, this::close);
    }

    /** Begins to listen at one more address. */
    ChannelFuture listen(InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap();
        if (shared) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        ChannelFuture bound = bootstrap.group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .handler(new AcceptFaults())
                .option(ChannelOption.RCVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_AT_ONCE))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, () -> reads)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, halfClose)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline().addLast(front.open(ClientServer.this, fresh));
                    }
                }).bind(address);
        servers.add(bound.channel());
        return bound;
    }

    /** Other processes of the same user may listen at its addresses too; to be called before it listens. */
    void share() {
        shared = true;
    }

    /** An accept that fails, for want of descriptors, is tried again soon: it must not reach the loop itself. */
    private final class AcceptFaults extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            accepted++;
            ctx.fireChannelRead(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            counters.noise("cannot accept: " + cause);
            ctx.channel().config().setAutoRead(false);
            loop.schedule(() -> ctx.channel().config().setAutoRead(true), ACCEPT_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Takes no more connections, and closes those there are as they fall idle. From those that are not idle nothing more is
     * read: one on which a client always has a request open would never end otherwise.
     */
    void close() {
        closing = true;
        unlisten();
        table.stop();
        closeResting();
        connections().filter(connection -> connection.open() > 0).forEach(ClientConnection::adjust);
    }

    /** Whether some client has yet to be given the rest of an answer. */
    boolean isAnswering() {
        return connections().anyMatch(ClientConnection::isAnswering);
    }

    private Stream<ClientConnection> connections() {
        List<ClientConnection> all = new ArrayList<>();
        ((SingleThreadEventLoop) loop).registeredChannelsIterator().forEachRemaining(channel -> {
            if (channel.pipeline().last() instanceof ClientConnection connection) {
                all.add(connection);
            }
        });
        return all.stream();
    }

    /** Takes no more connections, and closes those there are behind their next answer. */
    void part() {
        parting = true;
        unlisten();
    }

    /** A listener that closes resets what waits to be accepted: all of that is taken first. */
    private void unlisten() {
        for (Channel server : servers) {
            long before = accepted - 1;
            for (int i = 0; i < BACKLOG && server.isActive() && server.config().isAutoRead() && before != accepted; i++) {
                before = accepted;
                ((AbstractNioChannel) server).unsafe().read();
            }
            server.close();
        }
    }

    /** Those with a command that is not answered close behind the answer. */
    private void closeResting() {
        if (table.closeResting(MOST_CLOSES)) {
            loop.execute(this::closeResting);
        }
    }

    /** Of these, those that have been told to go and are waited for. */
    int toldToGo() {
        return table.lingering();
    }

    int clients() {
        return table.size();
    }

    /**
     * Closes those that say nothing, stop halfway or have been idle for long: each holds a descriptor and memory
     * that others need. To be called every {@code periodNs}; a later call shows that the loop is late.
     */
    void sweep(long periodNs) {
        long now = Clock.now();
        table.late(now, now - sweptAt - periodNs);
        sweptAt = now;
        expire();
        // Behind the reads of this turn, and also where nothing else would ask for it.
        wantRoom();
    }

    private void expire() {
        long now = Clock.now();
        if (wheel.advance(now, MOST_CLOSES) == MOST_CLOSES) {
            // The rest in the next turns, behind what these bring.
            loop.execute(this::expire);
        }
    }

    private void wantRoom() {
        if (table.isCrowded() && !roomWanted) {
            roomWanted = true;
            loop.execute(this::makeRoom);
        }
    }

    /** Behind the reads of a turn of the loop. */
    private void makeRoom() {
        roomWanted = false;
        table.makeRoom(Clock.now(), MOST_CLOSES);
    }

    private boolean close(ClientConnection connection, Why why) {
        boolean closed = connection.closeUnlessAsked(why);
        if (closed) {
            switch (why) {
                case ROOM -> counters.evicted++;
                case EASE -> counters.eased++;
                case SILENCE -> counters.timedOut++;
                case IDLE -> counters.retired++;
                default -> { }
            }
        }
        return closed;
    }

    // What connections tell and ask.

    /** Null if there is no place for it, not even to be refused. */
    Member<ClientConnection> admit(ClientConnection connection, SocketChannel channel) {
        Member<ClientConnection> member = table.admit(connection,
                channel.remoteAddress() == null ? "" : channel.remoteAddress().getAddress(), Clock.now());
        if (member == null) {
            counters.turnedAway++;
            return null;
        }
        wantRoom();
        return member;
    }

    void busy(Member<ClientConnection> member) {
        table.busy(member);
    }

    void spoke(Member<ClientConnection> member) {
        table.spoke(member);
    }

    void faulty(Member<ClientConnection> member) {
        table.faulty(member);
    }

    void rest(Member<ClientConnection> member) {
        table.rest(member, Clock.now());
        wantRoom();
    }

    void half(Member<ClientConnection> member, boolean isHalf) {
        table.half(member, isHalf, Clock.now());
    }

    void closing(Member<ClientConnection> member, boolean lingers) {
        table.closing(member, lingers, Clock.now());
        wantRoom();
    }

    void gone(Member<ClientConnection> member) {
        table.gone(member);
    }

    boolean asksFor(Member<ClientConnection> member, int tenant) {
        return table.asksFor(member, tenant);
    }

    public Core core(int pool) {
        return balancers.get(pool);
    }

    /** So many bytes more, or fewer, of answers wait for their clients. */
    void unsent(int change) {
        unsent += change;
    }

    /** So many bytes more, or fewer, are kept of what clients have sent ahead. */
    void readAhead(int change) {
        ahead += change;
    }

    /** Bytes that a connection may be read ahead of what is taken in. */
    int mostAhead() {
        return ahead < MOST_AHEAD_IN_ALL_BYTES ? MOST_AHEAD_BYTES : LEAST_AHEAD_BYTES;
    }

    /** Whether the read that is being told of found nothing more in its socket. */
    boolean hasReadAll() {
        return reads.lastBytesRead() <= 0;
    }

    /** The memory of all connections' answers. */
    AnswerRoom answers() {
        return answers;
    }

    /** What its connections hold at present. */
    String gauges() {
        return "answers-held " + answerBytes.held() + " unsent " + unsent + " ahead " + ahead;
    }

    /** Whether a connection on which something is asked reads nothing more behind that. */
    boolean isFinishing() {
        return closing;
    }

    /** Whether a connection goes as soon as all it has asked is answered. */
    boolean isClosing() {
        return closing || parting;
    }

    EventLoop loop() {
        return loop;
    }

    Counters counters() {
        return counters;
    }
}
