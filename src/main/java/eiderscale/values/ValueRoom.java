package eiderscale.values;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Shares out the bytes that values on their way may hold: read from one peer and not yet taken by the other. Each stream
 * may hold a window: an equal part of all there is, within bounds, and the least one where all there is has been given. A
 * stream that holds its window reads no more until half of that has left. There are as many places as least windows fit;
 * a stream that finds none is held back until another has ended and emptied itself, first come first served, so that a
 * crowd of peers that take nothing costs others time but never memory (credit-based flow control as in RFC 9113 section
 * 5.2, with one account for all).
 */
public final class ValueRoom {
    /** A stream may always hold so many bytes once it has a place: a read of this size is what sockets are good for. */
    public static final int LEAST = 16 * 1024;
    /** More than this makes no stream faster. */
    public static final int MOST = 128 * 1024;

    /** One value on its way; told when it may go on. */
    public final class Stream {
        private final Runnable onRoom;
        private int held;
        private boolean placed;
        private boolean blocked;
        private boolean over;

        private Stream(Runnable onRoom) {
            this.onRoom = onRoom;
        }

        /** Whether more may be read for it now; if not, it is told when. */
        public boolean mayRead() {
            if (!blocked && (!placed || held >= (total < all ? window() : LEAST))) {
                blocked = true;
            }
            return !blocked;
        }

        /** So many bytes have come. */
        public void came(int bytes) {
            held += bytes;
            total += bytes;
        }

        /** So many of its bytes have left. */
        public void left(int bytes) {
            held -= bytes;
            total -= bytes;
            if (over) {
                leave();
            } else if (blocked && placed && held <= window() / 2) {
                blocked = false;
                onRoom.run();
            }
        }

        /** Nothing more comes; what it holds counts until it has left. */
        public void end() {
            if (!over) {
                over = true;
                waiting.remove(this);
                leave();
            }
        }

        private void leave() {
            if (placed && held == 0) {
                placed = false;
                streams--;
                place();
            }
        }

        /** Bytes that it holds. */
        public int held() {
            return held;
        }
    }

    private final long all;
    private final Deque<Stream> waiting = new ArrayDeque<>();
    private int streams;
    private long total;

    /** {@code all}: bytes that all streams may hold together, at least {@link #LEAST}. */
    public ValueRoom(long all) {
        this.all = Math.max(LEAST, all);
    }

    /** A value begins to come. {@code onRoom}: called when {@link Stream#mayRead} was false and is true now. */
    public Stream begin(Runnable onRoom) {
        Stream stream = new Stream(onRoom);
        if (waiting.isEmpty() && hasPlace()) {
            streams++;
            stream.placed = true;
        } else {
            waiting.add(stream);
        }
        return stream;
    }

    private boolean hasPlace() {
        return (streams + 1L) * LEAST <= all;
    }

    private void place() {
        while (!waiting.isEmpty() && hasPlace()) {
            Stream next = waiting.remove();
            next.placed = true;
            streams++;
            if (next.blocked) {
                next.blocked = false;
                next.onRoom.run();
            }
        }
    }

    private int window() {
        return (int) Math.max(LEAST, Math.min(MOST, all / Math.max(1, streams)));
    }

    /** Bytes that all streams hold. */
    public long held() {
        return total;
    }

    /** Streams that have a place. */
    public int streams() {
        return streams;
    }

    /** Streams that are held back for want of one. */
    public int waiting() {
        return waiting.size();
    }
}
