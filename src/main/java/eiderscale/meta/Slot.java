package eiderscale.meta;

import eiderscale.Api;
import eiderscale.joining.Place;
import eiderscale.ledger.Taken;
import eiderscale.net.Answer;
import eiderscale.net.Client;
import eiderscale.net.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * The place of one command in the order of its connection's answers. Its answer waits here, within the memory that there is
 * for answers, until all before it have been sent.
 */
final class Slot implements Client, JoinedReads.Waiter {
    private static final byte[] LINE_END = {'\r', '\n'};
    private static final String FAILED = "SERVER_ERROR failed\r\n";
    private static final String BUSY = "SERVER_ERROR busy\r\n";

    /** What a place with a short answer takes. */
    private static final int PLACE_BYTES = 256;

    private final MetaConnection connection;
    /** How long its command may have waited for room before it was taken in, in milliseconds. */
    final long waitedMs;
    /** Its command was read behind those that its connection serves before it ends. */
    final boolean isTooLate;
    /** The other process of an upgrade carries out nothing under its id. */
    boolean isClaimed;
    /** Null until the command has been read, and where it can't be taken. */
    private MetaCommand command;
    /** Null while it is not there, and for a value that is not held. */
    private ByteBuf answer;
    /** Bytes that the answer takes of the memory for answers. */
    private int charged;
    /** The answer where it is too long to be held; null for any other. */
    private ValueOut value;
    private Taken taken;
    /** Where it waits for a fetch that others may wait for too. */
    private Place<JoinedReads.Waiter> place;
    Slot next;

    Slot(MetaConnection connection, long waitedMs, boolean isTooLate) {
        this.connection = connection;
        this.waitedMs = waitedMs;
        this.isTooLate = isTooLate;
    }

    @Override
    public MetaCommand command() {
        return command;
    }

    void command(MetaCommand read) {
        command = read;
    }

    /** It waits for a fetch that others may wait for too. */
    void joins(JoinedReads joined) {
        place = joined.ask(command, this);
        joined.look();
    }

    /** It goes to a host by itself. */
    void take() {
        taken = connection.pool().take(command, this);
    }

    /** How far its long value has come; see {@link Taken#bodyCame}. */
    void bodyCame(boolean isAwaited) {
        if (taken != null) {
            taken.bodyCame(Clock.now(), isAwaited);
        }
    }

    /** All of its long value has come. */
    void bodyEnded() {
        if (taken != null) {
            taken.bodyEnded(Clock.now());
        }
    }

    boolean isAnswered() {
        return answer != null || value != null;
    }

    // What it is answered with.

    @Override
    public void shared(MetaFrame frame, byte[] data) {
        connection.gather(() -> {
            if (!connection.isOver()) {
                // The value is held once for all that it goes to.
                answer(connection.line(command, frame), data, 0);
            }
        });
    }

    @Override
    public void given() {
        connection.flow();
    }

    @Override
    public void alone() {
        if (!connection.isOver()) {
            take();
        }
    }

    @Override
    public void served(Answer given) {
        if (given instanceof MetaValue begun) {
            begin(begun);
            return;
        }
        MetaFrame frame = (MetaFrame) given;
        int size = frame.length();
        finish();
        if (!command.write) {
            connection.answered(size);
        }
        if (connection.isOver()) {
            return;
        }
        if (frame.unheld() || !connection.share().take(size)) {
            connection.noRoom();
            say(mayRepeat() ? BUSY : FAILED);
        } else {
            answer(connection.line(command, frame), frame.data(), size);
        }
    }

    private boolean mayRepeat() {
        return command.classSettings().effect() == Api.Effect.RETRYABLE;
    }

    private void begin(MetaValue begun) {
        if (!connection.isOver()) {
            ByteBuf line = Unpooled.copiedBuffer(connection.line(command, begun.frame), StandardCharsets.ISO_8859_1);
            value = new ValueOut(connection, begun, line);
            value.start();
            connection.flow();
        }
    }

    @Override
    public void refused(long retryAfterMs, Answer last) {
        finish();
        say(retryAfterMs > 0 ? "SERVER_ERROR busy " + retryAfterMs + "\r\n" : BUSY);
    }

    /** Its command is one of too many: what its place takes counts like an answer. */
    void refuseAhead() {
        int size = connection.share().take(PLACE_BYTES) ? PLACE_BYTES : 0;
        answer(BUSY, null, size);
    }

    @Override
    public void failed(Answer last) {
        finish();
        say(FAILED);
    }

    /** Its final answer is known: nothing more of its command is wanted. */
    private void finish() {
        connection.ended(command);
        if (command != null && command.upload != null) {
            command.upload.giveUp();
        }
    }

    /** A line of the balancer's own. */
    void say(String line) {
        if (!connection.isOver()) {
            answer(line, null, 0);
        }
    }

    /** Nothing is said. */
    void sayNothing() {
        answer = Unpooled.EMPTY_BUFFER;
    }

    private void answer(String line, byte[] data, int size) {
        ByteBuf head = Unpooled.wrappedBuffer(line.getBytes(StandardCharsets.ISO_8859_1));
        answer = data == null ? head
                : Unpooled.wrappedBuffer(head, Unpooled.wrappedBuffer(data), Unpooled.wrappedBuffer(LINE_END));
        charged = size;
        if (isClaimed) {
            connection.pool().claims().release(command.id());
            isClaimed = false;
        }
        if (command != null && command.upload == null) {
            // An answer that waits needs nothing of its command.
            command = null;
        }
        connection.flow();
    }

    // As its turn comes, or its client goes.

    /** Sends its answer, as all before it have been sent; false while more of that is to come. */
    boolean sendOn() {
        if (value != null && value.isLost()) {
            value.drop();
            value = null;
            answer = Unpooled.copiedBuffer(FAILED, StandardCharsets.ISO_8859_1);
        }
        if (value != null) {
            return value.writeOn();
        }
        ByteBuf bytes = answer;
        int size = charged;
        answer = Unpooled.EMPTY_BUFFER;
        charged = 0;
        connection.write(bytes, () -> connection.share().giveBack(size));
        return true;
    }

    /** Its client has gone. */
    void abandon(JoinedReads joined) {
        if (value != null) {
            value.drop();
        }
        if (answer != null) {
            connection.share().giveBack(charged);
            charged = 0;
            answer.release();
        } else if (taken != null) {
            taken.clientGone(Clock.now());
        } else if (place != null) {
            joined.leave(place);
        }
    }
}
