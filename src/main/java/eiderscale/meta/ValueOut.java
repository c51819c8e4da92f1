package eiderscale.meta;

import eiderscale.net.BodySink;
import eiderscale.net.Buffers;
import eiderscale.values.ValueRoom;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A long value on its way to its client, as it comes from the host. What comes before all earlier commands are answered
 * is held, as is what the client does not take; the host is not read while that is as much as there is room for.
 */
final class ValueOut implements BodySink {
    private final MetaConnection connection;
    private final MetaValue value;
    private final ByteBuf line;
    private final ValueRoom.Stream room;
    private final Deque<ByteBuf> queued = new ArrayDeque<>();
    /** Its line has been written: nothing else can be answered in its place. */
    private boolean begun;
    private boolean whole;
    private boolean cut;
    private boolean dropped;

    ValueOut(MetaConnection connection, MetaValue value, ByteBuf line) {
        this.connection = connection;
        this.value = value;
        this.line = line;
        this.room = connection.values().begin(value::resume);
    }

    /** Takes it from here on. */
    void start() {
        value.to(this);
        look();
    }

    /** Reads on, or not. */
    private void look() {
        if (!whole && !cut && !room.mayRead()) {
            value.pause();
        }
    }

    @Override
    public void part(ByteBuf bytes) {
        if (dropped) {
            bytes.release();
            return;
        }
        room.came(bytes.readableBytes());
        if (!Buffers.append(queued.peekLast(), bytes)) {
            queued.add(Buffers.compactWithRoom(bytes));
        }
        connection.flow();
        look();
    }

    @Override
    public void end() {
        whole = true;
        room.end();
        connection.flow();
    }

    @Override
    public void cut() {
        cut = true;
        room.end();
        if (begun && !dropped) {
            // The client must not take for whole what it has of it.
            connection.breakOff();
        } else {
            connection.flow();
        }
    }

    /** Whether it ended before any of it went out, so that another answer can. */
    boolean isLost() {
        return cut && !begun;
    }

    /** Writes what there is of it; all answers before it are written. True once that was the last. */
    boolean writeOn() {
        if (!begun) {
            begun = true;
            connection.write(line, () -> { });
        }
        while (!queued.isEmpty() && connection.takes()) {
            ByteBuf bytes = queued.remove();
            int size = bytes.readableBytes();
            connection.write(bytes, () -> room.left(size));
        }
        if (!whole || !queued.isEmpty()) {
            return false;
        }
        connection.write(Unpooled.copiedBuffer("\r\n", StandardCharsets.ISO_8859_1), () -> { });
        return true;
    }

    /** Its client has gone, or gets another answer: what is held of it is let go. */
    void drop() {
        if (dropped) {
            return;
        }
        dropped = true;
        if (!begun) {
            line.release();
        }
        for (ByteBuf bytes = queued.poll(); bytes != null; bytes = queued.poll()) {
            int size = bytes.readableBytes();
            bytes.release();
            room.left(size);
        }
        room.end();
    }
}
