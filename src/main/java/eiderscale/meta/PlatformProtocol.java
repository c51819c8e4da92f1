package eiderscale.meta;

import eiderscale.Api.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** Hosts that read through and answer for themselves: they get commands in the words of the clients. */
final class PlatformProtocol extends MetaHosts {
    @Override
    ByteBuf encode(MetaCommand command, ByteBufAllocator alloc, long leftMs) {
        String line = command.head() + " P" + command.figures(leftMs) + "\r\n";
        return MetaCommand.line(alloc, line, command.value);
    }

    @Override
    Reason judge(MetaCommand command, MetaFrame answer) {
        if (answer.fault() != null) {
            return null;
        }
        if (answer.is(0, "SERVER_ERROR")) {
            return answer.is(1, "busy") ? Reason.REJECTED : answer.is(1, "failed") ? Reason.ERROR : null;
        }
        int flags = answer.is(0, "VA") ? 2 : 1;
        boolean kind = command.write ? answer.is(0, "HD") && answer.flag(flags, 'c') != null
                : answer.is(0, "VA");
        return kind && command.id().equals(answer.flag(flags, 'O')) ? Reason.OK : null;
    }

    /** Without what hosts tell balancers only. */
    @Override
    String answerLine(MetaCommand command, MetaFrame answer) {
        return command.write ? "HD" + command.echo() + " c" + answer.flag(1, 'c') + "\r\n"
                : "VA " + answer.length() + command.echo() + "\r\n";
    }
}
