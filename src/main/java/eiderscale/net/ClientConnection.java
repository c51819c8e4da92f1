package eiderscale.net;

import eiderscale.connections.ConnectionTable.Why;
import eiderscale.connections.Member;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.concurrent.TimeUnit;

/**
 * One client's connection: reads its commands, writes their answers in the order of the commands, and closes. An idle
 * one holds no buffer, no parser and no queue: it is the one handler in its pipeline.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Requests of one connection that may be open at once; reading stops there. */
    private static final int MOST_PIPELINED = 64;
    /** Bytes of answers, over all connections, that clients may leave unread. */
    private static final long MOST_UNREAD = 8L * 1024 * 1024;
    /** After a fault a connection is not read for this long, and after so many faults no more at all. */
    private static final long PENALTY_MS = 50;
    private static final int MOST_FAULTS = 8;

    private final ClientServer server;
    private final SocketChannel channel;
    /** What has come and is not read as commands yet; null if there is nothing. */
    private ByteBuf held;
    /** Null between two commands. */
    private MetaParser parser;
    /** Commands that are owed an answer, in their order. */
    private Slot first;
    private Slot last;
    private int open;
    /** Null until it was let in, and for one that was turned away. */
    private Member<ClientConnection> member;
    private int faults;
    private long pausedUntil;
    private boolean quitting;
    /** The client has ended its sending, and waits for what it has asked. */
    private boolean ended;
    /** The last answer is on its way and the close behind it. */
    private boolean leaving;
    private boolean gone;
    private boolean reading;
    private boolean parsing;
    /** The command that was read last, and its place, until it is begun. */
    private Slot pending;
    private MetaFrame pendingFrame;

    /** The place of one command in the order of answers. */
    private static final class Slot implements Exchange.Client {
        private final ClientConnection connection;
        private ByteBuf answer;
        private Exchange exchange;
        private Slot next;

        Slot(ClientConnection connection) {
            this.connection = connection;
        }

        @Override
        public void answer(String line, byte[] data) {
            if (!connection.gone) {
                answer = Command.line(connection.channel.alloc(), line, data);
                connection.server.unread(answer.readableBytes());
                connection.flushReady();
            }
        }
    }

    ClientConnection(ClientServer server, SocketChannel channel) {
        this.server = server;
        this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        member = server.admit(this, channel);
        if (member == null) {
            gone = true;
            ctx.close();
        }
    }

    /**
     * Closes it, if a last look at the socket finds nothing: what had come since this turn's reads is a command like
     * any other. One that was idle is told to go first and then waited for, so that a command which crosses that on
     * its way finds an orderly end, as the protocol has it, and not a reset, which would look like a request lost.
     * One that never brought a good command, or does not finish one, is closed outright. False if it stays.
     */
    boolean closeUnlessAsked(Why why) {
        if (why == Why.FAREWELL) {
            channel.close();
            server.gone(member);
            return true;
        }
        boolean gently = why == Why.STOP || why == Why.IDLE
                || why != Why.SILENCE && member.state() == Member.State.IDLE;
        if (channel.config().isAutoRead()) {
            ((AbstractNioChannel) channel).unsafe().read();
        }
        if (gone || leaving) {
            return true;
        }
        if (open > 0 || gently && !isClean()) {
            return false;
        }
        if (gently) {
            linger();
        } else {
            // Counted out now, as the channel reports its end only later: a burst would evict but one.
            gone = true;
            server.gone(member);
            channel.close();
        }
        return true;
    }

    /** Behind what is still being written; what comes meanwhile is read and let drop, lest it makes a reset. */
    private void linger() {
        quitting = true;
        leaving = true;
        dropHeld();
        server.closing(member, true);
        channel.config().setAutoRead(true);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> channel.shutdownOutput());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (gone || quitting) {
            bytes.release();
            return;
        }
        held = held == null ? bytes : ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(ctx.alloc(), held, bytes);
        parse();
    }

    /** The end of a client's sending, where that is not its end. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            ended = true;
            if (leaving) {
                channel.close();
            } else {
                adjust();
            }
        }
    }

    /** Whether one more command may be taken in now. */
    private boolean mayRead() {
        return !gone && !quitting && open < MOST_PIPELINED && channel.isWritable() && Clock.now() >= pausedUntil;
    }

    /** Takes commands out of what has come, as many as may be. */
    private void parse() {
        if (parsing || held == null) {
            return;
        }
        parsing = true;
        if (parser == null) {
            parser = server.parser();
        }
        MetaFrame frame = mayRead() ? parser.next(held) : null;
        while (frame != null) {
            Slot slot = pending;
            MetaFrame before = pendingFrame;
            // In its place before the last one may be answered: a stop would close upon it.
            add(frame);
            begin(slot, before);
            frame = mayRead() ? parser.next(held) : null;
        }
        parsing = false;
        if (gone || quitting) {
            dropHeld();
        } else if (!held.isReadable()) {
            held.release();
            held = null;
        }
        if (parser != null && parser.isBetweenFrames()) {
            parser = null;
        }
    }

    private void add(MetaFrame frame) {
        server.busy(member);
        pending = new Slot(this);
        pendingFrame = frame;
        if (first == null) {
            first = pending;
        } else {
            last.next = pending;
        }
        last = pending;
        open++;
        server.loop().execute(this::beginPending);
    }

    /** Whether not a byte of a further command is here. */
    private boolean isClean() {
        return held == null && parser == null;
    }

    private void dropHeld() {
        if (held != null) {
            held.release();
            held = null;
        }
        if (parser != null) {
            parser.close();
            parser = null;
        }
    }

    /**
     * Begins the command that was read last, once the reads of this turn are over: by then the end of a
     * connection that was closed behind it has been seen too, and what nobody waits for any more is let drop.
     * Guards against a queue of connections that all are dead by the time they are accepted, each of which
     * would cost as much as a live one: a slow start, a stalled machine, any burst that clients give up on.
     * Harm: where the end of a client's sending counts as its end, one that waits on is not answered.
     */
    private void beginPending() {
        Slot slot = pending;
        MetaFrame frame = pendingFrame;
        pending = null;
        pendingFrame = null;
        begin(slot, frame);
    }

    private void begin(Slot slot, MetaFrame frame) {
        if (slot == null || gone) {
            return;
        }
        if (!channel.isActive()) {
            server.counters().departed++;
            return;
        }
        reading = true;
        if (quitting) {
            // Behind the last one that is served.
            slot.answer = Unpooled.EMPTY_BUFFER;
        } else if (frame.fault() != null) {
            fault(slot, frame.fault(), frame.last());
        } else {
            take(slot, frame);
        }
        reading = false;
        flushReady();
    }

    /** Whether half a command is here, seen once all that came has been read. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        tellHalf();
    }

    private void tellHalf() {
        if (member != null && !quitting) {
            server.half(member, open == 0 && !isClean());
        }
    }

    /**
     * Answers what cannot be served. Nothing behind a fault of framing is read; behind any other one reading
     * rests, so that a client which sends the same again at once takes no time from the others.
     */
    private void fault(Slot slot, String answer, boolean last) {
        server.counters().malformed++;
        faults++;
        server.faulty(member);
        quitting = last || faults >= MOST_FAULTS;
        pausedUntil = Clock.now() + PENALTY_MS * Clock.MILLISECOND;
        server.loop().schedule(this::adjust, PENALTY_MS, TimeUnit.MILLISECONDS);
        slot.answer(answer + "\r\n", null);
    }

    private void take(Slot slot, MetaFrame frame) {
        switch (frame.words().get(0)) {
            case "mg", "ms" -> request(slot, frame);
            case "mn" -> {
                server.spoke(member);
                slot.answer("MN\r\n", null);
            }
            case "quit" -> {
                quitting = true;
                slot.answer = Unpooled.EMPTY_BUFFER;
            }
            default -> fault(slot, "ERROR", false);
        }
    }

    private void request(Slot slot, MetaFrame frame) {
        if (member.isSurplus()) {
            refuse(slot, "SERVER_ERROR busy\r\n");
            return;
        }
        try {
            slot.exchange = server.take(frame, slot, member);
            if (slot.exchange == null) {
                refuse(slot, server.busy());
                return;
            }
            server.spoke(member);
        } catch (Command.Malformed e) {
            fault(slot, e.getMessage(), false);
        }
    }

    /** Has no place for it: the connection is closed behind that. */
    private void refuse(Slot slot, String line) {
        server.counters().localRefusals++;
        quitting = true;
        slot.answer(line, null);
    }

    /** Writes the answers that no earlier command has to come before. */
    void flushReady() {
        if (reading || gone) {
            return;
        }
        boolean wrote = false;
        while (first != null && first.answer != null) {
            ByteBuf answer = first.answer;
            first = first.next;
            open--;
            int bytes = answer.readableBytes();
            channel.write(answer).addListener(done -> server.unread(-bytes));
            wrote = true;
        }
        if (wrote) {
            channel.flush();
        }
        adjust();
    }

    /** Reads on, stops reading, or closes, as its open requests and its client's reading allow. */
    void adjust() {
        parse();
        if (gone || leaving) {
            return;
        }
        if (ended && open == 0 && mayRead()) {
            // All that had come is answered; half a command will not become whole.
            quitting = true;
        }
        if (open == 0 && server.isClosing() && !quitting && closeUnlessAsked(Why.STOP)) {
            return;
        }
        if (open == 0 && quitting) {
            // Behind what is still being written: a close at once would cut a long answer short.
            leaving = true;
            server.closing(member, false);
            channel.config().setAutoRead(false);
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        } else if (server.unread() > MOST_UNREAD && !channel.isWritable()) {
            // A client that does not read its answers must not take the memory of the others.
            channel.close();
        } else {
            if (open == 0) {
                server.rest(member);
                tellHalf();
            }
            channel.config().setAutoRead(!ended && mayRead());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        adjust();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        gone = true;
        if (member != null) {
            server.gone(member);
        }
        dropHeld();
        for (Slot slot = first; slot != null; slot = slot.next) {
            if (slot.answer != null) {
                server.unread(-slot.answer.readableBytes());
                slot.answer.release();
            } else if (slot.exchange != null) {
                server.clientGone(slot.exchange);
            }
        }
        first = null;
        open = 0;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            server.counters().unexpected("on a client's connection", cause);
        }
        ctx.close();
    }
}
