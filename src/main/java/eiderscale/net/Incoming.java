package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;

/**
 * The body of a host's answer as it comes. Whoever takes the answer says at once where the body goes; until then, and
 * after {@link #discard}, it goes nowhere.
 */
public class Incoming {
    /** What is passed over of a body that nobody wants, before its connection is given up instead, in bytes. */
    private static final long MOST_DISCARDED = 64 * 1024;

    private final Channel host;
    private BodySink sink;
    private long discarded;
    private boolean over;

    /** {@code host}: whence it comes. */
    public Incoming(Channel host) {
        this.host = host;
    }

    /** Whether somebody takes it and more of it is to come. */
    public final boolean isWanted() {
        return sink != null && !over;
    }

    /** Whether all of it has come, or no more will. */
    public final boolean isOver() {
        return over;
    }

    /** It goes there, from its first byte on. */
    public void to(BodySink target) {
        sink = target;
    }

    /** Nobody wants it: a short one is passed over, for a long one the connection is closed. */
    public void discard() {
        sink = null;
        resume();
    }

    /** Gives its connection up. */
    protected final void close() {
        host.close();
    }

    /** Reads no more of it for now. */
    public final void pause() {
        if (!over) {
            host.config().setAutoRead(false);
        }
    }

    /** Reads on. */
    public final void resume() {
        if (!host.config().isAutoRead()) {
            host.config().setAutoRead(true);
        }
    }

    /** Some of it has come. */
    public void part(ByteBuf bytes) {
        if (sink != null) {
            sink.part(bytes);
            return;
        }
        discarded += bytes.readableBytes();
        bytes.release();
        if (discarded > MOST_DISCARDED) {
            host.close();
        }
    }

    /** All of it has come; false if it was cut before. */
    public final boolean end() {
        if (over) {
            return false;
        }
        over = true;
        resume();
        if (sink != null) {
            sink.end();
        }
        return true;
    }

    /** No more of it will come. */
    public void cut() {
        if (!over) {
            over = true;
            if (sink != null) {
                sink.cut();
            }
        }
    }
}
