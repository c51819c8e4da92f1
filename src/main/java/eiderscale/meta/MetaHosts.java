package eiderscale.meta;

import eiderscale.Api.Reason;
import eiderscale.net.Budget;
import eiderscale.net.HostProtocol;
import eiderscale.net.Request;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandler;

/** How commands are put to one kind of cache host, what its answers mean, and what clients get of them. */
abstract class MetaHosts implements HostProtocol {
    /** Each connection holds one value at most, so that their number bounds this. */
    private final Budget budget = new Budget(Long.MAX_VALUE);

    /** The bytes of a command; {@code leftMs}: how long the balancer will wait for the answer. */
    abstract ByteBuf encode(MetaCommand command, ByteBufAllocator alloc, long leftMs);

    /** What an answer means; null for what the protocol does not allow. */
    abstract Reason judge(MetaCommand command, MetaFrame answer);

    /** The first line of the client's answer, made from one that means {@link Reason#OK}. */
    abstract String answerLine(MetaCommand command, MetaFrame answer);

    @Override
    public final Dialog open() {
        return new Talk();
    }

    private final class Talk implements Dialog {
        private final MetaDecoder decoder = new MetaDecoder(MetaParser.ofAnswers(budget));

        @Override
        public ChannelHandler decoder() {
            return decoder;
        }

        @Override
        public ByteBuf encode(Request request, ByteBufAllocator alloc, long leftMs) {
            return MetaHosts.this.encode((MetaCommand) request, alloc, leftMs);
        }

        @Override
        public Verdict judge(Request request, Object message) {
            MetaFrame frame = (MetaFrame) message;
            Reason reason = MetaHosts.this.judge((MetaCommand) request, frame);
            return reason != null ? Verdict.of(reason, frame)
                    : Verdict.broken(frame.fault() != null ? frame.fault() : frame.words().toString());
        }

        @Override
        public boolean isClean() {
            return decoder.isClean();
        }
    }
}
