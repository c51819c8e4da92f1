package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.function.IntConsumer;

/**
 * What has come from one client and is not read as requests yet. It is moved to the heap where it has to wait, into a
 * buffer of about its own size: a few bytes never keep the buffer of a whole read. For one event loop.
 */
public final class ReadAhead {
    /** Bytes at the beginning of the buffer that have been read, from which on they are given up. */
    private static final int SPENT_BYTES = 4096;

    private final IntConsumer onChange;
    private ByteBuf held;
    /** Whether {@link #held} is the buffer that the socket was read into. */
    private boolean borrowed;
    private int counted;

    /** {@code onChange}: told of so many bytes more, or fewer, that are kept on the heap. */
    ReadAhead(IntConsumer onChange) {
        this.onChange = onChange;
    }

    /** What is here, to be read from its beginning; null if there is nothing. */
    public ByteBuf bytes() {
        return held;
    }

    /** Whether nothing is here. */
    public boolean isEmpty() {
        return held == null;
    }

    /** Bytes that are here. */
    public int size() {
        return held == null ? 0 : held.readableBytes();
    }

    /** Adds what has come; {@link #settle} is to follow once as much as may be has been read. */
    public void add(ByteBuf bytes) {
        if (held == null) {
            held = bytes;
            borrowed = true;
            return;
        }
        keep(bytes.readableBytes());
        held.writeBytes(bytes);
        bytes.release();
    }

    /** Gives up what has been read, and keeps the rest on the heap. */
    public void settle() {
        if (held != null && !held.isReadable()) {
            drop();
        } else if (held != null && (borrowed || held.readerIndex() > SPENT_BYTES)) {
            keep(0);
        }
        count();
    }

    /** Has it in a buffer of its own, with room for so many bytes more. */
    private void keep(int more) {
        boolean isShared = held.refCnt() > 1;
        if (!borrowed && !isShared && held.readerIndex() <= SPENT_BYTES) {
            return;
        }
        ByteBuf own = Unpooled.buffer(held.readableBytes() + more);
        own.writeBytes(held);
        held.release();
        held = own;
        borrowed = false;
    }

    private void count() {
        int now = held == null || borrowed ? 0 : held.capacity();
        if (now != counted) {
            onChange.accept(now - counted);
            counted = now;
        }
    }

    /** Lets go of all of it. */
    public void drop() {
        if (held != null) {
            held.release();
            held = null;
            borrowed = false;
        }
        count();
    }
}
