package eiderscale.net;

import io.netty.buffer.ByteBuf;

/** Where a body goes as it comes. */
public interface BodySink {
    /** Some of it; the buffer is the sink's to release. */
    void part(ByteBuf bytes);

    /** All of it has come. */
    void end();

    /** It ended before its end: whoever had some of it must be able to tell. */
    void cut();
}
