package eiderscale.net;

import eiderscale.Api.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandler;

/** One protocol, as cache hosts speak it. It is given the requests of its own fronts only. */
public interface HostProtocol {
    /** What an answer means. {@code reason}: null for what the protocol does not allow, which {@code fault} names. */
    record Verdict(Reason reason, Answer answer, String fault) {
        /** An answer that means something. */
        public static Verdict of(Reason reason, Answer answer) {
            return new Verdict(reason, answer, null);
        }

        /** What breaks the protocol. */
        public static Verdict broken(String fault) {
            return new Verdict(null, null, fault);
        }
    }

    /** The conversation on one connection, one request at a time. */
    interface Dialog {
        /** Turns what comes into messages, one for each answer. */
        ChannelHandler decoder();

        /** The bytes of a request; {@code leftMs}: how long the balancer will wait for the answer. */
        ByteBuf encode(Request request, ByteBufAllocator alloc, long leftMs);

        /** What a message of the decoder means as the answer to a request. */
        Verdict judge(Request request, Object message);

        /** Whether not a byte is here behind the last answer. */
        boolean isClean();
    }

    /** Begins a conversation. */
    Dialog open();
}
