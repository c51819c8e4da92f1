package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * What one client has yet to take of its answers. It waits in the order of its writes and goes to the socket piece by
 * piece, as the socket copies what it queues to memory outside the heap: a client that takes nothing holds
 * {@link #WINDOW_BYTES} there, however much waits for it. For one event loop.
 */
final class ClientOutput {
    /** Hears of what becomes of the output. */
    interface Listener {
        /** The client has taken some, after {@link #flush} had returned with more than it would take. */
        void onTaken();

        /** So many bytes more, or fewer, wait. */
        void onChange(int bytes);

        /** A piece of so many bytes is handed to the socket. */
        void onPiece(int bytes);

        /** The client has taken nothing for the time that it may. */
        void onStall();

        /** How long the client may take nothing while something waits, in nanoseconds. */
        long stallTime();
    }

    /** Bytes that the socket's own queue holds at most. */
    private static final int WINDOW_BYTES = 16 * 1024;
    /** Less room than this is left to grow: filling whatever room there is leads to ever smaller pieces (RFC 1122, 4.2.3.4). */
    private static final int LEAST_ROOM_BYTES = WINDOW_BYTES / 2;
    /** Bytes that are passed on in one go; others have their turn before the rest. */
    private static final int MOST_AT_ONCE_BYTES = 256 * 1024;
    /** From so many waiting bytes on the client is behind, until no more than the lower mark wait. */
    private static final int HIGH_MARK_BYTES = 128 * 1024;
    private static final int LOW_MARK_BYTES = 32 * 1024;

    /** Some of an answer; {@code onTaken}: told when the system has taken all of it, or it was let go. */
    private record Part(ByteBuf bytes, Runnable onTaken) {
    }

    private final SocketChannel channel;
    private final Listener listener;
    /** Null while nothing waits, as on most connections. */
    private Deque<Part> parts;
    private int waiting;
    private int inSocket;
    /** Bytes that were passed on since others had their turn. */
    private int passedOn;
    private boolean behind;
    private boolean flushing;
    private boolean resting;
    private boolean watched;
    private boolean closed;
    private long takenAt;

    ClientOutput(SocketChannel channel, Listener listener) {
        this.channel = channel;
        this.listener = listener;
    }

    /** The same for what nobody asks after: small pieces share a buffer. */
    void write(ByteBuf bytes) {
        Part last = closed || parts == null ? null : parts.peekLast();
        int size = bytes.readableBytes();
        if (last != null && last.onTaken == null && Buffers.append(last.bytes, bytes)) {
            change(size);
        } else {
            write(Buffers.compactWithRoom(bytes), null);
        }
    }

    /** Adds something, to be sent by {@link #flush}. {@code onTaken}: told when it is held no longer; or null. */
    void write(ByteBuf bytes, Runnable onTaken) {
        if (closed) {
            bytes.release();
            tell(onTaken);
            return;
        }
        if (parts == null) {
            parts = new ArrayDeque<>(4);
        }
        if (waiting == 0) {
            takenAt = Clock.now();
        }
        parts.add(new Part(bytes, onTaken));
        change(bytes.readableBytes());
    }

    /** Sends as much as the client takes; the rest follows as it takes that. */
    void flush() {
        if (flushing || closed) {
            return;
        }
        flushing = true;
        while (!closed && passedOn < MOST_AT_ONCE_BYTES && passOn()) {
            channel.flush();
        }
        flushing = false;
        if (passedOn >= MOST_AT_ONCE_BYTES) {
            rest();
        }
        if (waiting > 0) {
            watch();
        } else {
            parts = null;
        }
    }

    /** Goes on behind what others have to do. */
    private void rest() {
        if (!resting) {
            resting = true;
            channel.eventLoop().execute(this::goOn);
        }
    }

    private void goOn() {
        resting = false;
        passedOn = 0;
        if (!closed) {
            flush();
            listener.onTaken();
        }
    }

    /** Fills the socket's queue once there is room worth filling; false if nothing was added to it. */
    private boolean passOn() {
        if (WINDOW_BYTES - inSocket < LEAST_ROOM_BYTES) {
            return false;
        }
        boolean some = false;
        while (!closed && inSocket < WINDOW_BYTES && parts != null && !parts.isEmpty()) {
            pass(parts.peek());
            some = true;
        }
        return some;
    }

    private void pass(Part part) {
        int size = Math.min(WINDOW_BYTES - inSocket, part.bytes.readableBytes());
        boolean isLast = size == part.bytes.readableBytes();
        if (isLast) {
            parts.remove();
        }
        inSocket += size;
        passedOn += size;
        listener.onPiece(size);
        ByteBuf piece = isLast ? part.bytes : part.bytes.readRetainedSlice(size);
        channel.write(piece).addListener(done -> taken(size, isLast ? part.onTaken : null));
    }

    private void taken(int size, Runnable onTaken) {
        inSocket -= size;
        takenAt = Clock.now();
        change(-size);
        tell(onTaken);
        if (!flushing && !closed) {
            flush();
            listener.onTaken();
        }
    }

    private static void tell(Runnable onTaken) {
        if (onTaken != null) {
            onTaken.run();
        }
    }

    private void change(int bytes) {
        waiting += bytes;
        behind = waiting >= HIGH_MARK_BYTES || behind && waiting > LOW_MARK_BYTES;
        listener.onChange(bytes);
    }

    private void watch() {
        if (!watched) {
            watched = true;
            watchFor(listener.stallTime());
        }
    }

    private void watchFor(long nanoseconds) {
        channel.eventLoop().schedule(this::seeStall, nanoseconds, TimeUnit.NANOSECONDS);
    }

    private void seeStall() {
        long left = takenAt + listener.stallTime() - Clock.now();
        if (closed || waiting == 0) {
            watched = false;
        } else if (left > 0) {
            watchFor(left);
        } else {
            listener.onStall();
        }
    }

    /** Whether the client has yet to take something. */
    boolean isWaiting() {
        return waiting > 0;
    }

    /** Whether the client will soon have taken what waits, so that more may be added. */
    boolean takesMore() {
        return waiting < LOW_MARK_BYTES;
    }

    /** Whether the client is so far behind that it is to be given no more. */
    boolean isBehind() {
        return behind;
    }

    /** The connection has ended: lets go of what waits. */
    void close() {
        closed = true;
        while (parts != null && !parts.isEmpty()) {
            Part part = parts.remove();
            change(-part.bytes.readableBytes());
            part.bytes.release();
            tell(part.onTaken);
        }
        parts = null;
    }
}
