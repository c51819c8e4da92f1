package eiderscale.meta;

import eiderscale.joining.Place;
import eiderscale.net.Answer;
import eiderscale.net.Client;
import eiderscale.net.ClientConnection;
import eiderscale.net.ClientServer;
import eiderscale.net.Clock;
import eiderscale.ledger.Taken;
import eiderscale.net.Upload;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;

/**
 * One client of the meta protocol: reads its commands and writes their answers in the order of the commands. An idle
 * one holds no buffer, no parser and no queue: it is the one handler in its pipeline.
 */
final class MetaConnection extends ClientConnection {
    /** Requests of one connection that may be open at once; no more are taken in then. */
    private static final int MOST_PIPELINED = 64;
    /** Bytes that are read though nothing may be taken in, so that the end of a client behind them is seen. */
    private static final int MOST_AHEAD = 16 * 1024;
    /** For so long behind a limit of that, in milliseconds, what is read counts as having waited. */
    private static final long UNREAD_MS = 5;
    /** After a fault a connection is not read for this long, and after so many faults no more at all. */
    private static final long PENALTY_MS = 50;
    private static final int MOST_FAULTS = 8;
    private static final long PLACE_WAIT = Clock.SECOND;
    /** A long value of which nothing comes for so long is given up, as any command is that does not become whole. */
    private static final long BODY_REST = 2500 * Clock.MILLISECOND;

    private final MetaFront front;
    /** What has come and is not read as commands yet; null if there is nothing. */
    private ByteBuf held;
    /** Null between two commands. */
    private MetaParser parser;
    /** Commands that are owed an answer, in their order. */
    private Slot first;
    private Slot last;
    private int open;
    private int faults;
    private long pausedUntil;
    private boolean reading;
    private boolean parsing;
    /** Since when the oldest of what is taken in next may have waited for room; 0 if it has just come. */
    private long waitsSince;
    /** What was read ahead had reached its limit: more may have waited unread. */
    private boolean aheadFull;
    /** An answer is shared with others: it is written when all answers of the turn are there. */
    private boolean gathering;
    /** The command that was read last, and its place, until it is begun. */
    private Slot pending;
    private MetaFrame pendingFrame;
    /** Where the long value goes that is coming in; null if there is none or nobody wants it. */
    private Slot uploader;
    /** When the last of it came. */
    private long bodyAt;

    /** The place of one command in the order of answers. */
    private static final class Slot implements Client, JoinedReads.Waiter {
        private final MetaConnection connection;
        private MetaCommand command;
        private ByteBuf answer;
        /** The answer where it is too long to be held; null for any other. */
        private ValueOut value;
        private Taken taken;
        /** How long its command may have waited for room before it was taken in. */
        private long waitedMs;
        /** Where it waits for a fetch that others may wait for too. */
        private Place<JoinedReads.Waiter> place;
        private Slot next;

        Slot(MetaConnection connection) {
            this.connection = connection;
        }

        @Override
        public MetaCommand command() {
            return command;
        }

        @Override
        public void shared(MetaFrame frame, ByteBuf data) {
            connection.gathering = true;
            try {
                if (data == null) {
                    served(frame);
                } else if (!connection.isGone()) {
                    ByteBuf line = MetaCommand.line(connection.channel().alloc(),
                            connection.front.hosts().answerLine(command, frame), null);
                    answer(Unpooled.wrappedBuffer(line, data.retainedDuplicate()));
                }
            } finally {
                connection.gathering = false;
            }
        }

        @Override
        public void given() {
            connection.flushReady();
        }

        @Override
        public void alone() {
            if (!connection.isGone()) {
                taken = connection.core().take(command, this);
            }
        }

        @Override
        public void served(Answer answer) {
            if (answer instanceof MetaValue begun) {
                begin(begun);
                return;
            }
            MetaFrame frame = (MetaFrame) answer;
            answer(connection.front.hosts().answerLine(command, frame), frame.data());
        }

        @Override
        public void refused(long retryAfterMs, Answer last) {
            answer(retryAfterMs > 0 ? "SERVER_ERROR busy " + retryAfterMs + "\r\n" : "SERVER_ERROR busy\r\n", null);
        }

        @Override
        public void failed(Answer last) {
            answer("SERVER_ERROR failed\r\n", null);
        }

        private void begin(MetaValue answer) {
            if (connection.isGone()) {
                return;
            }
            ByteBuf line = MetaCommand.line(connection.channel().alloc(),
                    connection.front.hosts().answerLine(command, answer.frame), null);
            value = new ValueOut(connection, answer, line, connection.front.values(), connection.core().site().stallTime);
            value.start();
            connection.flushReady();
        }

        private void answer(String line, byte[] data) {
            connection.ended(command);
            if (command != null && command.upload != null) {
                command.upload.giveUp();
            }
            if (!connection.isGone()) {
                answer(MetaCommand.line(connection.channel().alloc(), line, data));
            }
        }

        private void answer(ByteBuf bytes) {
            answer = bytes;
            connection.unread(bytes.readableBytes());
            connection.flushReady();
        }
    }

    MetaConnection(MetaFront front, ClientServer server, SocketChannel channel) {
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
        held = held == null ? bytes : ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(ctx.alloc(), held, bytes);
        takeIn();
        if (!isGone() && !isQuitting() && !hasRoom()) {
            channel().config().setAutoRead(false);
            aheadFull = true;
        }
    }

    /** How long a command that is taken in now may have waited for room, in milliseconds. */
    private long waitedMs() {
        return waitsSince == 0 ? 0 : (Clock.now() - waitsSince) / Clock.MILLISECOND;
    }

    /** Notes since when what could not be taken in waits, and when none of it is left. */
    private void noteWait() {
        if (held != null) {
            waitsSince = waitsSince == 0 && !mayTakeIn() ? Clock.now() : waitsSince;
        } else if (aheadFull) {
            aheadFull = false;
            later(this::noteWait, UNREAD_MS);
        } else {
            waitsSince = 0;
        }
    }

    @Override
    protected int open() {
        return open;
    }

    @Override
    protected boolean isClean() {
        return held == null && parser == null;
    }

    @Override
    protected boolean hasRoom() {
        return mayTakeIn() || held == null || held.readableBytes() < MOST_AHEAD;
    }

    @Override
    protected boolean mayTakeIn() {
        return open < MOST_PIPELINED && Clock.now() >= pausedUntil && wantsBody();
    }

    /** Whether what is coming in of a long value, if anything, has somewhere to go. */
    private boolean wantsBody() {
        return uploader == null || uploader.command.upload.wantsMore();
    }

    /** A host takes more of a long value, or none of it any more. */
    private void roomForBody() {
        if (!parsing && !reading) {
            adjust();
        }
    }

    @Override
    protected void takeIn() {
        if (parsing || held == null) {
            return;
        }
        parsing = true;
        if (parser == null) {
            parser = front.parser();
        }
        MetaFrame frame = next();
        while (frame != null) {
            Slot slot = pending;
            MetaFrame before = pendingFrame;
            // In its place before the last one may be answered: a stop would close upon it.
            add(frame);
            begin(slot, before);
            if (frame.bulk() > 0) {
                // What follows it has to have a place to go to.
                beginPending();
            }
            frame = next();
        }
        parsing = false;
        if (isGone() || isQuitting()) {
            drop();
        } else if (held != null && !held.isReadable()) {
            held.release();
            held = null;
        }
        if (parser != null && parser.isBetweenFrames()) {
            parser = null;
        }
        noteWait();
    }

    /** The next command; null if it is not here, or none may be taken in now. */
    private MetaFrame next() {
        if (parser.isInBulk() && !passOn()) {
            return null;
        }
        return mayRead() && mayTakeIn() ? parser.next(held) : null;
    }

    /** Passes on what is here of a long value; true if that was the last of it and more may be read behind it. */
    private boolean passOn() {
        for (ByteBuf part = wantsBody() ? parser.part(held) : null; part != null; part = wantsBody() ? parser.part(held) : null) {
            if (uploader == null) {
                part.release();
            } else {
                bodyAt = Clock.now();
                uploader.command.upload.part(part);
            }
        }
        MetaFrame end = wantsBody() ? parser.end(held) : null;
        if (end == null) {
            return false;
        }
        Slot ended = uploader;
        uploader = null;
        if (end.fault() != null) {
            faulty();
            quit();
            if (ended != null) {
                // Its host never has the last byte: it does not run, and is answered as that.
                ended.command.upload.cut();
            }
            return false;
        }
        if (ended != null) {
            ended.command.upload.part(Unpooled.copiedBuffer("\r\n", StandardCharsets.ISO_8859_1));
            ended.command.upload.end();
            if (ended.taken != null) {
                ended.taken.bodyEnded(Clock.now());
            }
        }
        return true;
    }

    /** Whether more of a long value has come lately, or its host is what it waits for. */
    private void seeBody(Slot slot) {
        if (uploader != slot || isGone()) {
            return;
        }
        long now = Clock.now();
        if (!wantsBody()) {
            bodyAt = now;
        }
        if (now - bodyAt >= BODY_REST) {
            faulty();
            quit();
            slot.command.upload.cut();
            adjust();
        } else {
            later(() -> seeBody(slot), Math.max(1, (bodyAt + BODY_REST - now) / Clock.MILLISECOND));
        }
    }

    private void add(MetaFrame frame) {
        busy();
        pending = new Slot(this);
        pending.waitedMs = waitedMs();
        pendingFrame = frame;
        if (first == null) {
            first = pending;
        } else {
            last.next = pending;
        }
        last = pending;
        open++;
        later(this::beginPending);
    }

    @Override
    protected void drop() {
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
        if (slot == null || isGone()) {
            return;
        }
        if (!channel().isActive()) {
            departed();
            return;
        }
        reading = true;
        if (isQuitting()) {
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

    /**
     * Answers what cannot be served. Nothing behind a fault of framing is read; behind any other one reading
     * rests, so that a client which sends the same again at once takes no time from the others.
     */
    private void fault(Slot slot, String answer, boolean isLast) {
        faulty();
        faults++;
        if (isLast || faults >= MOST_FAULTS) {
            quit();
        }
        pausedUntil = Clock.now() + PENALTY_MS * Clock.MILLISECOND;
        later(this::adjust, PENALTY_MS);
        slot.answer(answer + "\r\n", null);
    }

    private void take(Slot slot, MetaFrame frame) {
        switch (frame.words().get(0)) {
            case "mg", "ms" -> request(slot, frame);
            case "mn" -> {
                spoke();
                slot.answer("MN\r\n", null);
            }
            case "quit" -> {
                quit();
                slot.answer = Unpooled.EMPTY_BUFFER;
            }
            default -> fault(slot, "ERROR", false);
        }
    }

    private void request(Slot slot, MetaFrame frame) {
        if (isSurplus() || isBehindTheStop()) {
            refuse(slot, 0);
            return;
        }
        try {
            Upload body = frame.bulk() > 0 ? new Upload(frame.bulk(), this::roomForBody) : null;
            MetaCommand command = new MetaCommand(frame, core().site(), core()::ownId, body, slot.waitedMs);
            if (core().isOpen(command.id())) {
                // Hosts know requests by their ids alone: it could be served with what was made for the first.
                throw new MetaCommand.Malformed("id is in use");
            }
            if (!mayAskFor(command.tenant())) {
                refuse(slot, core().retryAfterMs(PLACE_WAIT));
                return;
            }
            slot.command = command;
            if (body != null) {
                uploader = slot;
                bodyAt = Clock.now();
                later(() -> seeBody(slot), BODY_REST / Clock.MILLISECOND);
            }
            JoinedReads joined = front.joined(core(), channel().eventLoop());
            if (joined != null && joined.joins(command)) {
                slot.place = joined.ask(command, slot);
                joined.look();
            } else {
                if (joined != null && command.write) {
                    joined.written(command);
                }
                slot.taken = core().take(command, slot);
            }
            spoke();
        } catch (MetaCommand.Malformed e) {
            fault(slot, e.getMessage(), false);
        }
    }

    /** A command has its answer. Reads that come from here on must see what a write has done. */
    private void ended(MetaCommand command) {
        if (command != null && command.write) {
            JoinedReads joined = front.joined(core(), channel().eventLoop());
            if (joined != null) {
                joined.written(command);
            }
        }
    }

    /** Has no place for it: the connection is closed behind that. */
    private void refuse(Slot slot, long retryAfterMs) {
        refusedHere();
        quit();
        slot.refused(retryAfterMs, null);
    }

    /** Writes the answers that no earlier command has to come before. */
    private void flushReady() {
        if (reading || gathering || isGone()) {
            return;
        }
        boolean wrote = false;
        while (first != null && (first.answer != null || first.value != null)) {
            if (first.value != null && first.value.isLost()) {
                first.value.drop();
                first.value = null;
                first.answer = Unpooled.copiedBuffer("SERVER_ERROR failed\r\n", StandardCharsets.ISO_8859_1);
                unread(first.answer.readableBytes());
            }
            if (first.value != null) {
                wrote = true;
                if (!first.value.writeOn()) {
                    break;
                }
                first = first.next;
                open--;
                continue;
            }
            ByteBuf answer = first.answer;
            first = first.next;
            open--;
            int bytes = answer.readableBytes();
            channel().write(answer).addListener(done -> unread(-bytes));
            wrote = true;
        }
        if (wrote) {
            channel().flush();
        }
        adjust();
    }

    // What a value on its way asks and tells.

    ChannelFuture write(ByteBuf bytes) {
        return channel().write(bytes);
    }

    /** So many bytes more, or fewer, are held for its client. */
    void held(int change) {
        unread(change);
    }

    /** More can be written. */
    void flow() {
        flushReady();
    }

    void after(Runnable task, long ms) {
        later(task, ms);
    }

    boolean isOver() {
        return isGone();
    }

    /** What was begun cannot be ended as it should: its client is to see that. */
    void breakOff() {
        channel().close();
    }

    @Override
    protected void abandon() {
        if (uploader != null) {
            uploader.command.upload.cut();
            uploader = null;
        }
        for (Slot slot = first; slot != null; slot = slot.next) {
            if (slot.value != null) {
                slot.value.drop();
            }
            if (slot.answer != null) {
                unread(-slot.answer.readableBytes());
                slot.answer.release();
            } else if (slot.taken != null) {
                slot.taken.clientGone(Clock.now());
            } else if (slot.place != null) {
                front.joined(core(), channel().eventLoop()).leave(slot.place);
            }
        }
        first = null;
        open = 0;
    }
}
