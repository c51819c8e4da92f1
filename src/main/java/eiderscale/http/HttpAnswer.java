package eiderscale.http;

import eiderscale.http.cache.Fields;
import eiderscale.net.Answer;
import eiderscale.net.BodySink;
import eiderscale.ledger.Budget;
import eiderscale.net.Incoming;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.io.ByteArrayOutputStream;

/**
 * A host's answer: its head, and behind it the body as it comes. {@code length}: of the body, negative if it is not told.
 */
final class HttpAnswer extends Incoming implements Answer {
    /** The field by which hosts report their load, as the platform's hosts do in their figures. */
    static final String LOAD = "stairshelf-load";
    /** A body of more bytes that nobody wants is not waited for. */
    private static final long MOST_DISCARDED = 64 * 1024;

    final int status;
    final Fields fields;
    final long length;
    /** Whether a body that is not whole can be told from one that is; not so where the close of its connection ends it. */
    final boolean framed;
    /** What is held of a body until it is known whether anybody wants it; null where nothing is to be held. */
    private ByteArrayOutputStream held;
    private Budget budget;
    private int counted;
    private int room;

    HttpAnswer(int status, Fields fields, long length, boolean framed, Channel host) {
        super(host);
        this.status = status;
        this.fields = fields;
        this.length = length;
        this.framed = framed;
    }

    @Override
    public String summary() {
        return "HTTP " + status;
    }

    @Override
    public String loadReport() {
        return fields.first(LOAD);
    }

    /** Its body is held up to so many bytes, as far as the budget has them, until it is known who wants it. */
    void hold(Budget from, int most) {
        budget = from;
        room = most;
        held = new ByteArrayOutputStream();
    }

    /** Whether more has come, or is said to come, than is held: what it means must be told before its end. */
    boolean isFull() {
        return held != null && (length > room || held.size() > room);
    }

    /** All of its body, if that has come and was held; null otherwise. */
    byte[] whole() {
        return isOver() && held != null && !isFull() ? held.toByteArray() : null;
    }

    @Override
    public void to(BodySink target) {
        super.to(target);
        if (held == null) {
            return;
        }
        byte[] before = held.toByteArray();
        letGo();
        if (before.length > 0) {
            target.part(Unpooled.wrappedBuffer(before));
        }
        if (isOver()) {
            target.end();
        } else {
            resume();
        }
    }

    /** What is held counts no longer, though a whole body may still be asked for. */
    void settle() {
        if (budget != null) {
            budget.giveBack(counted);
            budget = null;
        }
    }

    private void letGo() {
        settle();
        held = null;
    }

    @Override
    public void discard() {
        held = null;
        super.discard();
        if (length > MOST_DISCARDED) {
            close();
        }
    }

    @Override
    public void part(ByteBuf bytes) {
        if (held == null || budget == null) {
            super.part(bytes);
            return;
        }
        int size = bytes.readableBytes();
        byte[] copy = ByteBufUtil.getBytes(bytes);
        bytes.release();
        // One piece more than there is room for: nothing else is read before it is known who wants it.
        if (budget.take(size)) {
            counted += size;
        } else {
            room = -1;
        }
        held.write(copy, 0, size);
    }

    @Override
    public void cut() {
        if (!isOver()) {
            settle();
        }
        super.cut();
    }
}
