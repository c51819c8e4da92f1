package eiderscale.http;

import eiderscale.http.cache.Fields;
import eiderscale.net.Answer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;

/**
 * A host's answer: its head, and behind it the body as it comes. {@code length}: of the body, negative if it is not told.
 * Whoever takes the answer says at once where the body goes; until then, and after {@link #discard}, it goes nowhere.
 */
final class HttpAnswer implements Answer {
    /** The field by which hosts report their load, as the platform's hosts do in their figures. */
    static final String LOAD = "stairshelf-load";
    /** What is passed over of an answer that nobody wants, before its connection is given up instead, in bytes. */
    private static final long MOST_DISCARDED = 64 * 1024;

    final int status;
    final Fields fields;
    final long length;
    /** Whether a body that is not whole can be told from one that is; not so where the close of its connection ends it. */
    final boolean framed;
    private final Channel host;
    private BodySink sink;
    private long discarded;
    private boolean over;

    HttpAnswer(int status, Fields fields, long length, boolean framed, Channel host) {
        this.status = status;
        this.fields = fields;
        this.length = length;
        this.framed = framed;
        this.host = host;
    }

    @Override
    public String loadReport() {
        return fields.first(LOAD);
    }

    /** Its body goes there. */
    void to(BodySink target) {
        sink = target;
    }

    /** Nobody wants its body: a short one is passed over, for a long one the connection is closed. */
    void discard() {
        sink = null;
        resume();
        if (length > MOST_DISCARDED) {
            host.close();
        }
    }

    /** Reads no more of it for now. */
    void pause() {
        if (!over) {
            host.config().setAutoRead(false);
        }
    }

    /** Reads on. */
    void resume() {
        if (!host.config().isAutoRead()) {
            host.config().setAutoRead(true);
        }
    }

    /** Some of the body has come. */
    void part(ByteBuf bytes) {
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
    boolean end() {
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
    void cut() {
        if (!over) {
            over = true;
            if (sink != null) {
                sink.cut();
            }
        }
    }
}
