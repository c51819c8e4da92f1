package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Keeps what comes in pieces in memory of about its own size. A piece of a few bytes is a slice of the buffer of a whole
 * read, which stays in memory for as long as the piece does.
 */
public final class Buffers {
    /** A small piece gets a buffer of this size, so that those that follow it find room there, in bytes. */
    private static final int LEAST_BYTES = 1024;

    private Buffers() {
    }

    /** The same bytes, copied to the heap if their buffer keeps more than twice their size; takes {@code bytes} over. */
    public static ByteBuf compact(ByteBuf bytes) {
        return isCompact(bytes) ? bytes : copy(bytes, bytes.readableBytes());
    }

    /** The same with room behind them for {@link #append}. */
    public static ByteBuf compactWithRoom(ByteBuf bytes) {
        return isCompact(bytes) ? bytes : copy(bytes, Math.max(LEAST_BYTES, bytes.readableBytes()));
    }

    /** Adds bytes behind those that {@code last} has, if there is room; takes {@code bytes} over then. */
    public static boolean append(ByteBuf last, ByteBuf bytes) {
        int size = bytes.readableBytes();
        if (last == null || !last.hasArray() || last.isReadOnly() || last.refCnt() != 1 || last.writableBytes() < size
                || last.capacity() > LEAST_BYTES) {
            return false;
        }
        last.writeBytes(bytes);
        bytes.release();
        return true;
    }

    private static boolean isCompact(ByteBuf bytes) {
        ByteBuf root = bytes;
        while (root.unwrap() != null) {
            root = root.unwrap();
        }
        return 2 * bytes.readableBytes() >= root.capacity();
    }

    private static ByteBuf copy(ByteBuf bytes, int capacity) {
        ByteBuf own = Unpooled.buffer(capacity);
        own.writeBytes(bytes);
        bytes.release();
        return own;
    }
}
