package eiderscale.net;

import eiderscale.connections.ConnectionTable.Why;
import eiderscale.connections.Member;
import eiderscale.ledger.AnswerRoom;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * One client's connection, whatever it speaks: how it is let in, told to go, and ends. A front says what its requests
 * are; it reports each change of what is open by {@link #adjust}. For one event loop.
 */
public abstract class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Bytes behind the last request that are read for the sake of the client's end, and passed over. */
    private static final int MOST_DISCARDED = 64 * 1024;
    /** Turns of reading in which a connection that ends is read empty before others have theirs. */
    private static final int MOST_LOOKS = 8;

    private final ClientServer server;
    private final SocketChannel channel;
    private final ClientOutput output;
    private final ReadAhead ahead;
    /** Null until it was let in, and for one that was turned away. */
    private Member<ClientConnection> member;
    /** Nothing more is read as a request; it closes behind the last answer. */
    private boolean quitting;
    /** The client has ended its sending, and waits for what it has asked. */
    private boolean ended;
    /** The last answer is on its way and the close behind it. */
    private boolean leaving;
    private boolean gone;
    /** Bytes behind the last request that have been passed over. */
    private int discarded;
    /** It ends behind what its client has sent by now, all of which is answered or refused first. */
    private boolean retiring;
    /** Its socket has been read empty since it was to end. */
    private boolean seenEmpty;
    private boolean looking;

    /** A connection that has just come up, to be let in when it becomes active. */
    protected ClientConnection(ClientServer server, SocketChannel channel) {
        this.server = server;
        this.channel = channel;
        this.output = new ClientOutput(channel, new OutputListener());
        this.ahead = new ReadAhead(server::readAhead);
    }

    /** What follows from how a client takes its answers. */
    private final class OutputListener implements ClientOutput.Listener {
        @Override
        public void onTaken() {
            ClientConnection.this.onTaken();
        }

        @Override
        public void onChange(int bytes) {
            server.unsent(bytes);
        }

        @Override
        public void onPiece(int bytes) {
            server.counters().outputBytes += bytes;
            server.counters().outputPieces++;
        }

        @Override
        public void onStall() {
            server.counters().stalled++;
            // Not an orderly end, which could be taken for the end of an answer.
            channel.config().setSoLinger(0);
            channel.close();
        }

        @Override
        public long stallTime() {
            return server.core(0).snapshot().stallTime();
        }
    }

    // What a front says.

    /** How many of its requests are owed an answer. */
    protected abstract int open();

    /** Whether not a byte of a further request is here. */
    protected abstract boolean isClean();

    /** Whether more may be read now, by the front's own limits: the end of a client is seen only behind all that it sent. */
    protected boolean hasRoom() {
        return ahead.size() < server.mostAhead();
    }

    /** Whether what has been read may be taken in as requests now. */
    protected boolean mayTakeIn() {
        return true;
    }

    /** Takes in what was held back, as far as that may be. */
    protected abstract void takeIn();

    /** Lets go of what was read in part of a request: nothing more is taken in. */
    protected abstract void drop();

    /** Reads what is in its socket, as in a turn of reading. */
    protected final void readNow() {
        ((AbstractNioChannel) channel).unsafe().read();
    }

    /** Whether half a request is here that has to become whole in the usual time. */
    protected boolean isHalf() {
        return !isClean();
    }

    /** A turn of reading is over. {@code isSocketEmpty}: all that the client has sent has been read. */
    protected void readTurnEnded(boolean isSocketEmpty) {
    }

    /** The client has taken some of what waited for it. */
    protected void onTaken() {
        adjust();
    }

    /** The client has gone with requests open. */
    protected abstract void abandon();

    // What a front asks and tells.

    protected final Core core() {
        return server.core(0);
    }

    /** What serves the requests of one of several pools, by its number. */
    protected final Core core(int pool) {
        return server.core(pool);
    }

    protected final SocketChannel channel() {
        return channel;
    }

    protected final boolean isGone() {
        return gone;
    }

    /** Whether the client has ended its sending: what is not here will not come. */
    protected final boolean hasEnded() {
        return ended;
    }

    protected final boolean isQuitting() {
        return quitting;
    }

    /** Reads nothing more as a request, and closes behind the last answer. */
    protected final void quit() {
        quitting = true;
    }

    /** Ends it behind what its client has sent by now; the front refuses the requests among that. */
    protected final void retire() {
        retiring = true;
    }

    /** Whether its process stops: nothing that comes behind the requests that are open is waited for. */
    protected final boolean isStopping() {
        return server.isClosing();
    }

    /** What has come and is not read as requests yet. */
    protected final ReadAhead ahead() {
        return ahead;
    }

    /** Adds to what is sent to the client, by {@link #flush}. {@code onTaken}: told when it is held no longer. */
    protected final void send(ByteBuf bytes, Runnable onTaken) {
        output.write(bytes, onTaken);
    }

    /** The same for what nobody asks after. */
    protected final void send(ByteBuf bytes) {
        output.write(bytes);
    }

    /** Whether the client will soon have taken what waits for it. */
    protected final boolean takesMore() {
        return output.takesMore();
    }

    /** Sends what the client takes; the rest follows as it takes that. */
    protected final void flush() {
        output.flush();
    }

    /** Whether the client takes its answers, but for some that may wait. */
    protected final boolean isWritable() {
        return !output.isBehind();
    }

    /** The memory of all connections' answers. */
    protected final AnswerRoom answers() {
        return server.answers();
    }

    /** Passes over what comes behind the last request, and releases it. */
    protected final void discard(ByteBuf bytes) {
        discarded += bytes.readableBytes();
        bytes.release();
        if (!mayDiscard()) {
            channel.config().setAutoRead(leaving);
        }
    }

    private boolean mayDiscard() {
        return quitting && discarded < MOST_DISCARDED;
    }

    /** Whether more may be read as requests now. */
    protected final boolean mayRead() {
        return !gone && !quitting && isWritable() && hasRoom();
    }

    /** A request has been read, good or bad. */
    protected final void busy() {
        server.busy(member);
    }

    /** A good request has been read. */
    protected final void spoke() {
        server.spoke(member);
    }

    /** A bad request has been read. */
    protected final void faulty() {
        server.counters().malformed++;
        server.faulty(member);
    }

    /** A request was read and its client had closed behind it. */
    protected final void departed() {
        server.counters().departed++;
    }

    /** A request is refused as there is no place for it. */
    protected final void refusedHere() {
        server.counters().ledger.refusedHere();
    }

    /** Whether there was no room for it, so that all it gets is a refusal. */
    protected final boolean isSurplus() {
        return member.isSurplus();
    }

    /** Whether its tenant may ask on it; false if that one has connections enough, and the request is refused. */
    protected final boolean mayAskFor(int tenant) {
        return server.asksFor(member, tenant);
    }

    /** An answer finds no memory to wait in, and its request gets a short one. */
    protected final void unheld() {
        server.counters().unheld++;
    }

    /** Runs a task behind the reads of this turn of the loop. */
    protected final void later(Runnable task) {
        server.loop().execute(task);
    }

    /** Runs a task so many milliseconds later; to be cancelled where it is of no use any more, as it holds what it knows. */
    protected final Future<?> later(Runnable task, long ms) {
        return server.loop().schedule(task, ms, TimeUnit.MILLISECONDS);
    }

    /** Reads on, stops reading, or closes, as its open requests and its client's reading allow. */
    protected final void adjust() {
        takeIn();
        if (isEnding()) {
            look();
        }
        if (gone || leaving) {
            return;
        }
        boolean isDone = isDone();
        if (ended && isDone && mayRead() && mayTakeIn()) {
            // All that had come is answered; half a request will not become whole.
            quitting = true;
        }
        if (isDone && !quitting && (retiring ? retireUnlessAsked() : server.isClosing() && closeUnlessAsked(Why.STOP))) {
            return;
        }
        if (isDone && quitting) {
            leaving = true;
            server.closing(member, false);
            channel.config().setAutoRead(false);
            channel.close();
            return;
        }
        if (isDone) {
            server.rest(member);
            tellHalf();
        }
        channel.config().setAutoRead(!ended && (mayRead() && !isFinishing() || mayDiscard()));
    }

    /** Whether all that was asked is answered and the client has all of that. */
    private boolean isDone() {
        return open() == 0 && !output.isWaiting();
    }

    /** Whether its client has yet to be given the rest of an answer. */
    final boolean isAnswering() {
        return !gone && !isDone();
    }

    /** Whether it goes behind what has been sent by now. */
    private boolean isEnding() {
        return retiring || server.isFinishing();
    }

    /**
     * Reads what its client has sent by now, so that all of it is answered or refused before the connection ends. Where
     * there is no room for that it goes on as soon as there is.
     */
    private void look() {
        if (looking) {
            return;
        }
        looking = true;
        for (int i = 0; i < MOST_LOOKS && !seenEmpty && !gone && !leaving && !ended && mayRead(); i++) {
            readNow();
        }
        looking = false;
    }

    /** Ends it once all that has come is answered, but for half a request; false while more is here, or in its socket. */
    private boolean retireUnlessAsked() {
        if (!seenEmpty || !isClean() && !mayTakeIn()) {
            return false;
        }
        linger();
        return true;
    }

    /** Whether a request that is being read is one too many for a connection that ends, and is refused. */
    protected final boolean isTooLate() {
        return retiring || server.isFinishing() && (open() > 0 || seenEmpty);
    }

    /** Whether all that will be taken in is here: what a client sends beyond that finds the end of the connection. */
    private boolean isFinishing() {
        return isEnding() && seenEmpty && open() > 0 && (isClean() || !mayTakeIn());
    }

    /** Whether half a request is here, seen once all that came has been read. */
    private void tellHalf() {
        if (member != null && !quitting) {
            server.half(member, open() == 0 && isHalf());
        }
    }

    /**
     * Closes it, if a last look at the socket finds nothing: what had come since this turn's reads is a request like
     * any other. One that was idle is told to go first and then waited for, so that a request which crosses that on
     * its way finds an orderly end, as the protocol has it, and not a reset, which would look like a request lost.
     * One that never brought a good request, or does not finish one, is closed outright. False if it stays.
     */
    final boolean closeUnlessAsked(Why why) {
        if (why == Why.FAREWELL) {
            channel.close();
            server.gone(member);
            return true;
        }
        boolean gently = why == Why.STOP || why == Why.IDLE
                || why != Why.SILENCE && member.state() == Member.State.IDLE;
        if (channel.config().isAutoRead() || gently && mayRead()) {
            readNow();
        }
        if (gone || leaving) {
            return true;
        }
        if (!isDone() || gently && !isClean()) {
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

    /** Tells the client; what comes meanwhile is read and let drop, lest it makes a reset. */
    private void linger() {
        quitting = true;
        leaving = true;
        ahead.drop();
        drop();
        server.closing(member, true);
        channel.config().setAutoRead(true);
        channel.shutdownOutput();
    }

    @Override
    public final void channelActive(ChannelHandlerContext ctx) {
        member = server.admit(this, channel);
        if (member == null) {
            gone = true;
            ctx.close();
        }
    }

    @Override
    public final void channelReadComplete(ChannelHandlerContext ctx) {
        tellHalf();
        readTurnEnded(server.hasReadAll());
        if (isEnding() && !seenEmpty && server.hasReadAll()) {
            seenEmpty = true;
            adjust();
        }
    }

    /** The end of a client's sending, where that is not its end. */
    @Override
    public final void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            ended = true;
            if (leaving) {
                channel.close();
            } else {
                adjust();
            }
        }
    }

    @Override
    public final void channelWritabilityChanged(ChannelHandlerContext ctx) {
        adjust();
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) {
        gone = true;
        if (member != null) {
            server.gone(member);
        }
        output.close();
        ahead.drop();
        drop();
        abandon();
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            server.counters().unexpected("on a client's connection", cause);
        }
        ctx.close();
    }
}
