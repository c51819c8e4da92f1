package eiderscale.net;

import eiderscale.Api.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** How commands are put to one kind of cache host, what its answers mean, and what clients get of them. */
interface HostProtocol {
    /** The bytes of a command; {@code leftMs}: how long the balancer will wait for the answer. */
    ByteBuf encode(Command command, ByteBufAllocator alloc, long leftMs);

    /** What an answer means; null for what the protocol does not allow. */
    Reason judge(Command command, MetaFrame answer);

    /** The first line of the client's answer, made from one that means {@link Reason#OK}. */
    String answerLine(Command command, MetaFrame answer);
}
