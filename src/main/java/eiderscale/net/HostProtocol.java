package eiderscale.net;

import eiderscale.Api.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;

/** One protocol, as cache hosts speak it. It is given the requests of its own fronts only. */
public interface HostProtocol {
    /** How far a message brings an answer. */
    enum Stage {
        /** No further: something before the answer, or a part of a body that has begun. */
        PART,
        /** The answer is good and goes to the client now; more of it follows, with {@link #END} behind that. */
        BEGUN,
        /** To its end. */
        END
    }

    /** What an answer means. {@code reason}: null for what the protocol does not allow, which {@code fault} names. */
    record Verdict(Stage stage, Reason reason, Answer answer, String fault) {
        private static final Verdict PART = new Verdict(Stage.PART, null, null, null);

        /** A whole answer that means something, or the end of one that has begun. */
        public static Verdict of(Reason reason, Answer answer) {
            return new Verdict(Stage.END, reason, answer, null);
        }

        /** A good answer of which more is to come. */
        public static Verdict begun(Answer answer) {
            return new Verdict(Stage.BEGUN, Reason.OK, answer, null);
        }

        /** Nothing that decides anything. */
        public static Verdict part() {
            return PART;
        }

        /** What breaks the protocol. */
        public static Verdict broken(String fault) {
            return new Verdict(Stage.END, null, null, fault);
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

        /** Whether another request may follow: not a byte is here behind the last answer, and nothing forbids it. */
        boolean isClean();

        /**
         * Whether a request may run before its last byte has left, as one may whose host reads a body piece by piece:
         * then the first byte counts.
         */
        default boolean runsInPart(Request request) {
            return false;
        }

        /**
         * Whether an answer whose meaning was told before its end goes on to somebody: the connection is left to it until
         * then.
         */
        default boolean trails() {
            return false;
        }

        /** More of an answer that was told before its end; false if the message is no part of one. */
        default boolean trail(Object message) {
            return false;
        }

        /** Whether all of a request has left, what follows its first bytes included: only then it may run. */
        default boolean isSent(Request request) {
            return true;
        }

        /** What was encoded is being written; a body that is still coming follows it there. */
        default void sent(Request request, Channel channel) {
        }

        /** The connection takes bytes again, or no more for now. */
        default void writabilityChanged() {
        }

        /** The connection is gone, or the wait for its answer was given up: what has begun ends here. */
        default void lost() {
        }
    }

    /** Begins a conversation. */
    Dialog open();
}
