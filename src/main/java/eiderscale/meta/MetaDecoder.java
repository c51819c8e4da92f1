package eiderscale.meta;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/** Reads what cache hosts answer, by the parser of frames. */
final class MetaDecoder extends ByteToMessageDecoder {
    private final MetaParser parser;

    MetaDecoder(MetaParser parser) {
        this.parser = parser;
    }

    /** Whether the stream stands right between two frames, with not a byte of the next one here. */
    boolean isClean() {
        return parser.isBetweenFrames() && actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (parser.isInBulk()) {
            ByteBuf part = parser.part(in);
            if (part != null) {
                out.add(part);
                return;
            }
        }
        MetaFrame frame = parser.isInBulk() ? parser.end(in) : parser.next(in);
        if (frame != null) {
            out.add(frame);
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        parser.close();
    }
}
