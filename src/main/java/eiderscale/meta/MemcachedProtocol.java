package eiderscale.meta;

import eiderscale.Api.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Real memcached (1.6; doc/protocol.txt, "Meta Commands"). It holds what it was given: a read that misses is an
 * answer, and no other host is asked. It knows nothing of deadlines, classes or keys of idempotency, so that
 * they are not sent, and turns nothing away.
 */
final class MemcachedProtocol extends MetaHosts {
    @Override
    ByteBuf encode(MetaCommand command, ByteBufAllocator alloc, long leftMs) {
        String line = command.head() + (command.write ? " c" : "") + command.extra + "\r\n";
        return MetaCommand.line(alloc, line, command.value);
    }

    /** Clients of memcached may give every command the same. */
    @Override
    boolean knowsIds() {
        return false;
    }

    /** One that turns out to be too large takes an older value away before it has come. */
    @Override
    boolean beginsAtOnce(MetaCommand command) {
        return command.upload != null;
    }

    @Override
    Reason judge(MetaCommand command, MetaFrame answer) {
        if (answer.fault() != null) {
            return null;
        }
        if (answer.is(0, "SERVER_ERROR")) {
            // Such as 'out of memory storing object': an older value may have been dropped for it.
            return Reason.ERROR;
        }
        boolean miss = !command.write && answer.is(0, "EN");
        boolean good = miss || (command.write ? answer.is(0, "HD") : answer.is(0, "VA"));
        String opaque = answer.flag(answer.is(0, "VA") ? 2 : 1, 'O');
        return good && (command.id().equals(opaque) || miss && opaque == null) ? Reason.OK : null;
    }

    @Override
    String answerLine(MetaCommand command, MetaFrame answer) {
        boolean value = answer.is(0, "VA");
        StringBuilder line = new StringBuilder(answer.words().get(0));
        if (value) {
            line.append(' ').append(answer.length());
        }
        line.append(command.echo());
        for (String word : answer.words().subList(value ? 2 : 1, answer.words().size())) {
            if (word.charAt(0) != 'O') {
                line.append(' ').append(word);
            }
        }
        return line.append("\r\n").toString();
    }
}
