package eiderscale.meta;

import eiderscale.Api;
import eiderscale.ledger.AnswerRoom;
import eiderscale.net.ClientConnection;
import eiderscale.net.ClientServer;
import eiderscale.net.Clock;
import eiderscale.net.Core;
import eiderscale.net.IdClaims;
import eiderscale.net.Upload;
import eiderscale.values.ValueRoom;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;

/**
 * One client of the meta protocol: reads its commands and writes their answers in the order of the commands. An idle
 * one holds no buffer, no parser and no queue: it is the one handler in its pipeline.
 */
final class MetaConnection extends ClientConnection {
    /** Requests of one connection that may be open at once; no more are taken in then. */
    private static final int MOST_PIPELINED = 64;
    /** The same with those that are refused as too much has been sent ahead, so that the end of the client behind it is seen. */
    private static final int MOST_REFUSED = 4096;
    /** Commands that are taken in without a rest, lest a client that sends many small ones keeps the others waiting. */
    private static final int MOST_AT_ONCE = 32;
    private static final long REST_MS = 1;
    /** With no more than this read ahead, in bytes, commands are taken again. */
    private static final int LEAST_OVERRUN = 2 * 1024;
    /** Bytes of answers that wait, or are expected, from which on no more commands of a connection are taken in. */
    private static final long MOST_ANSWERS_BYTES = 512 * 1024;
    /** Of a long value that has nowhere to go so much is read ahead, in bytes. */
    private static final int MOST_BODY_AHEAD = 16 * 1024;
    /** For so long behind a limit of that, in milliseconds, what is read counts as having waited. */
    private static final long UNREAD_MS = 5;
    /** After a fault a connection is not read for this long, and after so many faults no more at all. */
    private static final long PENALTY_MS = 50;
    private static final int MOST_FAULTS = 8;
    private static final long PLACE_WAIT = Clock.SECOND;

    private final MetaFront front;
    /** Its part of the memory for answers that wait. */
    private final AnswerRoom.Share share;
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
    /** So much has been sent ahead that the end of its client would not be seen: commands are refused until that is less. */
    private boolean overrun;
    /** An answer is shared with others: it is written when all answers of the turn are there. */
    private boolean gathering;
    /** The command that was read last, and its place, until it is begun. */
    private Slot pending;
    private MetaFrame pendingFrame;
    /** The long value that is coming in; null if there is none. */
    private LongValueIntake intake;

    MetaConnection(MetaFront front, ClientServer server, SocketChannel channel) {
        super(server, channel);
        this.front = front;
        this.share = answers().share();
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
        if (!isGone() && !isQuitting() && !hasRoom()) {
            channel().config().setAutoRead(false);
            aheadFull = true;
            if (intake == null && !overrun) {
                overrun = true;
                later(this::adjust);
            }
        }
    }

    /** How long a command that is taken in now may have waited for room, in milliseconds. */
    private long waitedMs() {
        return waitsSince == 0 ? 0 : (Clock.now() - waitsSince) / Clock.MILLISECOND;
    }

    /** Notes since when what could not be taken in waits, and when none of it is left. */
    private void noteWait() {
        if (!ahead().isEmpty()) {
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
        return ahead().isEmpty() && parser == null;
    }

    @Override
    protected boolean hasRoom() {
        return mayTakeIn() || (intake == null ? super.hasRoom() : ahead().size() < MOST_BODY_AHEAD);
    }

    @Override
    protected boolean mayTakeIn() {
        return Clock.now() >= pausedUntil && wantsBody()
                && (open == 0 || open < MOST_PIPELINED && isRoomExpected() || overrun && open < MOST_REFUSED);
    }

    /** Whether a further answer will find memory to wait in, if all that are to come are of the usual size. */
    private boolean isRoomExpected() {
        long expected = (open + 1) * front.usualAnswerBytes();
        return share.held() + expected <= Math.min(MOST_ANSWERS_BYTES, share.most());
    }

    /** Whether what is coming in of a long value, if anything, has somewhere to go. */
    private boolean wantsBody() {
        return intake == null || intake.mayCome();
    }

    /** A host takes more of a long value, or none of it any more. */
    private void roomForBody() {
        if (!parsing && !reading) {
            adjust();
        }
    }

    @Override
    protected void takeIn() {
        if (parsing) {
            return;
        }
        parsing = true;
        sendReady();
        int left = MOST_AT_ONCE;
        for (int taken = takeSome(left); taken > 0 && !isGone(); taken = takeSome(left)) {
            left -= taken;
            // Together, and those that are answered make room for others.
            sendReady();
        }
        parsing = false;
        settleAhead();
        if (left == 0) {
            rest(REST_MS);
        }
        noteWait();
    }

    /** Takes commands in, so many at most; how many there were. */
    private int takeSome(int most) {
        if (ahead().isEmpty()) {
            return 0;
        }
        if (parser == null) {
            parser = front.parser();
        }
        int taken = 0;
        for (MetaFrame frame = most > 0 ? next() : null; frame != null; frame = taken < most ? next() : null) {
            Slot slot = pending;
            MetaFrame before = pendingFrame;
            // In its place before the last one may be answered: a stop would close upon it.
            add(frame);
            begin(slot, before);
            if (frame.bulk() > 0) {
                // What follows it has to have a place to go to.
                intake = new LongValueIntake(this);
                beginPending();
            }
            taken++;
        }
        return taken;
    }

    private void settleAhead() {
        if (isGone() || isQuitting()) {
            ahead().drop();
            drop();
        } else {
            ahead().settle();
            overrun &= ahead().size() > LEAST_OVERRUN;
        }
        if (parser != null && parser.isBetweenFrames()) {
            parser = null;
        }
    }

    /** Takes nothing in for a while. */
    private void rest(long ms) {
        pausedUntil = Math.max(pausedUntil, Clock.now() + ms * Clock.MILLISECOND);
        later(this::adjust, ms);
    }

    /** The next command; null if it is not here, or none may be taken in now. */
    private MetaFrame next() {
        if (ahead().isEmpty() || intake != null && !passOn()) {
            return null;
        }
        return mayRead() && mayTakeIn() ? parser.next(ahead().bytes()) : null;
    }

    /** Passes on what is here of a long value; true if that was the last of it and more may be read behind it. */
    private boolean passOn() {
        MetaFrame end = intake.passOn(parser, ahead().bytes());
        if (end == null) {
            return false;
        }
        LongValueIntake ended = intake;
        intake = null;
        if (end.fault() != null) {
            faulty();
            quit();
            ended.cut();
            return false;
        }
        ended.end();
        return true;
    }

    @Override
    protected void readTurnEnded(boolean isSocketEmpty) {
        if (intake != null) {
            intake.readTurnEnded(isSocketEmpty, isSocketEmpty && ahead().size() < parser.bulkLeft());
        }
    }

    /** A long value that is coming in has a time of its own. */
    @Override
    protected boolean isHalf() {
        return !isClean() && intake == null;
    }

    private void add(MetaFrame frame) {
        busy();
        pending = new Slot(this, waitedMs(), isTooLate());
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
        dropIntake();
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
            slot.sayNothing();
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
        rest(PENALTY_MS);
        slot.say(answer + "\r\n");
    }

    private void take(Slot slot, MetaFrame frame) {
        switch (frame.words().get(0)) {
            case "mg", "ms" -> request(slot, frame);
            case "mn" -> {
                spoke();
                slot.say("MN\r\n");
            }
            case "quit" -> {
                quit();
                slot.sayNothing();
            }
            default -> fault(slot, "ERROR", false);
        }
    }

    private void request(Slot slot, MetaFrame frame) {
        if (isSurplus() || slot.isTooLate) {
            refuse(slot, 0);
            return;
        }
        if (overrun || frame.unheld()) {
            refusedHere();
            slot.refuseAhead();
            return;
        }
        try {
            Upload body = frame.bulk() > 0 ? new Upload(frame.bulk(), front.uploads(), this::roomForBody) : null;
            MetaCommand command = new MetaCommand(frame, core().snapshot(), core()::ownId, body, slot.waitedMs);
            if (core().isOpen(command.id())) {
                // Hosts know requests by their ids alone: it could be served with what was made for the first.
                throw new MetaCommand.Malformed("id is in use");
            }
            if (isUnsafe(command) && !claim(slot, command)) {
                refusedHere();
                slot.refused(command.snapshot().retryAfterMs(PLACE_WAIT), null);
                return;
            }
            if (!mayAskFor(command.tenant())) {
                refuse(slot, command.snapshot().retryAfterMs(PLACE_WAIT));
                return;
            }
            slot.command(command);
            if (body != null) {
                intake.belongsTo(slot);
            }
            JoinedReads joined = front.joined(core(), channel().eventLoop());
            if (joined != null && JoinedReads.joins(command)) {
                slot.joins(joined);
            } else {
                if (joined != null && command.write) {
                    joined.written(command);
                }
                slot.take();
            }
            spoke();
        } catch (MetaCommand.Malformed e) {
            fault(slot, e.getMessage(), false);
        }
    }

    /** Claims its id for this process; false if that can't be done, and it must not go out. */
    private boolean claim(Slot slot, MetaCommand command) throws MetaCommand.Malformed {
        IdClaims.Claim claim = core().isSpent(command.id()) ? IdClaims.Claim.TAKEN : core().claims().claim(command.id());
        if (claim == IdClaims.Claim.TAKEN) {
            throw new MetaCommand.Malformed("id was in use and may have run");
        }
        slot.isClaimed = claim == IdClaims.Claim.GRANTED;
        return slot.isClaimed;
    }

    /** Whether it must not run twice, nor a second time under its id. */
    private boolean isUnsafe(MetaCommand command) {
        return front.hosts().knowsIds() && command.classSettings().effect() == Api.Effect.FRAGILE;
    }

    /** A command has its answer. Reads that come from here on must see what a write has done. */
    void ended(MetaCommand command) {
        if (command != null && command.write) {
            JoinedReads joined = front.joined(core(), channel().eventLoop());
            if (joined != null) {
                joined.written(command);
            }
        }
    }

    /** Has no place for it, nor for what was sent behind it: the connection is closed behind that. */
    private void refuse(Slot slot, long retryAfterMs) {
        refusedHere();
        retire();
        slot.refused(retryAfterMs, null);
    }

    /** Writes the answers that no earlier command has to come before, and goes on as that allows. */
    private void flushReady() {
        if (!reading && !gathering && !parsing && !isGone()) {
            sendReady();
            adjust();
        }
    }

    private void sendReady() {
        while (!isGone() && first != null && first.isAnswered() && first.sendOn()) {
            first = first.next;
            open--;
        }
        flush();
    }

    @Override
    protected void onTaken() {
        flushReady();
    }

    // What its commands' places ask and tell.

    void write(ByteBuf bytes, Runnable onTaken) {
        send(bytes, onTaken);
    }

    /** Whether the client will soon have taken what has been written. */
    boolean takes() {
        return takesMore();
    }

    /** An answer may be written. */
    void flow() {
        flushReady();
    }

    /** Runs a task that answers one of many: what it brings is written when all of them are answered. */
    void gather(Runnable task) {
        gathering = true;
        task.run();
        gathering = false;
    }

    boolean isOver() {
        return isGone();
    }

    Core pool() {
        return core();
    }

    AnswerRoom.Share share() {
        return share;
    }

    ValueRoom values() {
        return front.values();
    }

    /** The first line of the answer to a command. */
    String line(MetaCommand command, MetaFrame frame) {
        return front.hosts().answerLine(command, frame);
    }

    /** The answer to a read has come, and is of this size. */
    void answered(int bytes) {
        front.answered(bytes);
    }

    /** There is no memory for an answer to wait in. */
    void noRoom() {
        unheld();
    }

    /** What was begun cannot be ended as it should: its client is to see that. */
    void breakOff() {
        channel().close();
    }

    // What a long value asks and tells that is coming in.

    void after(Runnable task, long ms) {
        later(task, ms);
    }

    boolean mayReadOn() {
        return mayRead() && mayTakeIn();
    }

    void look() {
        readNow();
    }

    /** Nothing more of it has come for too long. */
    void stopsHalfway() {
        faulty();
        quit();
        dropIntake();
        adjust();
    }

    private void dropIntake() {
        LongValueIntake dropped = intake;
        intake = null;
        if (dropped != null) {
            // Which calls back here.
            dropped.cut();
        }
    }

    @Override
    protected void abandon() {
        dropIntake();
        for (Slot slot = first; slot != null; slot = slot.next) {
            slot.abandon(front.joined(core(), channel().eventLoop()));
        }
        first = null;
        open = 0;
    }
}
