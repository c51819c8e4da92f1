package eiderscale.net;

import eiderscale.values.ValueRoom;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A request's body that is too long to be held: it goes to one host as it comes from the client, which is not read while
 * the host takes nothing. It can go out once. For one event loop.
 */
public final class Upload implements BodySink {
    /** Of its whole length, or negative if it comes in chunks. */
    private final long length;
    private final Runnable onRoom;
    /** The memory for all bodies on their way to hosts. */
    private final ValueRoom rooms;
    /** Its part of that; null before any is needed. */
    private ValueRoom.Stream room;
    private final Queue<ByteBuf> waiting = new ArrayDeque<>();
    private Channel host;
    private boolean ended;
    private boolean over;
    private boolean whole;
    private boolean cut;

    /** {@code rooms}: the memory for all bodies on their way to hosts. {@code onRoom}: told when more may come. */
    public Upload(long length, ValueRoom rooms, Runnable onRoom) {
        this.length = length;
        this.onRoom = onRoom;
        this.rooms = rooms;
    }

    private ValueRoom.Stream room() {
        if (room == null) {
            room = rooms.begin(this::drained);
        }
        return room;
    }

    /** Bytes of it in all, negative if that is not told. */
    public long length() {
        return length;
    }

    /** Whether it has begun to leave. */
    public boolean isTaken() {
        return host != null || over;
    }

    /** Whether all of it has left for the host. */
    public boolean isDone() {
        return whole;
    }

    /** Whether more is wanted from the client now. */
    public boolean wantsMore() {
        return over || host != null && host.isWritable() && room().mayRead();
    }

    /** The head has been written there: the body follows. */
    public void follow(Channel channel) {
        host = channel;
        writeOn();
        onRoom.run();
    }

    /** The host takes bytes again. */
    public void drained() {
        if (wantsMore()) {
            onRoom.run();
        }
    }

    /** Nobody takes the rest: it is passed over. */
    public void giveUp() {
        over = true;
        host = null;
        drop();
        endRoom();
        onRoom.run();
    }

    private void endRoom() {
        if (room != null) {
            room.end();
        }
    }

    private void drop() {
        for (ByteBuf bytes = waiting.poll(); bytes != null; bytes = waiting.poll()) {
            room().left(bytes.readableBytes());
            bytes.release();
        }
    }

    @Override
    public void part(ByteBuf bytes) {
        if (over || !bytes.isReadable()) {
            bytes.release();
        } else {
            room().came(bytes.readableBytes());
            waiting.add(Buffers.compact(bytes));
            writeOn();
        }
    }

    @Override
    public void end() {
        ended = true;
        writeOn();
    }

    /** Whether it ended before its end, which is nobody's fault but its client's. */
    public boolean isCut() {
        return cut;
    }

    @Override
    public void cut() {
        cut = true;
        if (host != null && !over) {
            host.close();
        }
        giveUp();
    }

    private void writeOn() {
        if (host == null) {
            return;
        }
        for (ByteBuf bytes = waiting.poll(); bytes != null; bytes = waiting.poll()) {
            int size = bytes.readableBytes();
            if (length < 0) {
                host.write(ByteBufUtil.writeAscii(host.alloc(), Integer.toHexString(size) + "\r\n"));
            }
            host.write(bytes).addListener(done -> room().left(size));
            if (length < 0) {
                host.write(ByteBufUtil.writeAscii(host.alloc(), "\r\n"));
            }
        }
        if (ended && !over) {
            over = true;
            whole = true;
            endRoom();
            if (length < 0) {
                host.write(Unpooled.copiedBuffer("0\r\n\r\n", StandardCharsets.US_ASCII));
            }
        }
        host.flush();
    }
}
