package eiderscale.meta;

import eiderscale.Api.Reason;
import eiderscale.ledger.Budget;
import eiderscale.net.HostProtocol;
import eiderscale.net.Request;
import eiderscale.net.Upload;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;

/** How commands are put to one kind of cache host, what its answers mean, and what clients get of them. */
abstract class MetaHosts implements HostProtocol {
    /** Bytes of values that may be held while they come. */
    private Budget budget = new Budget(0);

    /** Values that are still coming are held within this; to be called before a conversation is opened. */
    final void holdWithin(Budget answers) {
        budget = answers;
    }

    /** The bytes of a command; {@code leftMs}: how long the balancer will wait for the answer. */
    abstract ByteBuf encode(MetaCommand command, ByteBufAllocator alloc, long leftMs);

    /** What an answer means; null for what the protocol does not allow. */
    abstract Reason judge(MetaCommand command, MetaFrame answer);

    /** The first line of the client's answer, made from one that means {@link Reason#OK}. */
    abstract String answerLine(MetaCommand command, MetaFrame answer);

    /** Whether an id stands for one request alone, or is just echoed. */
    boolean knowsIds() {
        return true;
    }

    /** Whether a host begins a command before its last byte has come. */
    boolean beginsAtOnce(MetaCommand command) {
        return false;
    }

    @Override
    public final Dialog open() {
        return new Talk();
    }

    private final class Talk implements Dialog {
        private final MetaDecoder decoder = new MetaDecoder(MetaParser.ofAnswers(budget));
        private Channel channel;
        private MetaCommand command;
        /** An answer that has begun. */
        private MetaValue value;

        @Override
        public ChannelHandler decoder() {
            return decoder;
        }

        @Override
        public ByteBuf encode(Request request, ByteBufAllocator alloc, long leftMs) {
            command = (MetaCommand) request;
            value = null;
            return MetaHosts.this.encode(command, alloc, leftMs);
        }

        @Override
        public void sent(Request request, Channel host) {
            channel = host;
            if (command.upload != null) {
                command.upload.follow(host);
            }
        }

        @Override
        public boolean runsInPart(Request request) {
            return beginsAtOnce((MetaCommand) request);
        }

        @Override
        public boolean isSent(Request request) {
            Upload upload = ((MetaCommand) request).upload;
            return upload == null || upload.isDone();
        }

        @Override
        public void writabilityChanged() {
            if (command != null && command.upload != null) {
                command.upload.drained();
            }
        }

        @Override
        public void lost() {
            if (command != null && command.upload != null) {
                command.upload.giveUp();
            }
            if (value != null) {
                value.cut();
            }
        }

        @Override
        public Verdict judge(Request request, Object message) {
            if (message instanceof ByteBuf part) {
                value.part(part.retain());
                return Verdict.part();
            }
            MetaFrame frame = (MetaFrame) message;
            if (value != null) {
                return end(frame);
            }
            Reason reason = MetaHosts.this.judge((MetaCommand) request, frame);
            if (reason == Reason.OK && frame.bulk() > 0) {
                value = new MetaValue(frame, channel);
                return Verdict.begun(value);
            }
            return reason != null ? Verdict.of(reason, frame)
                    : Verdict.broken(frame.fault() != null ? frame.fault() : frame.words().toString());
        }

        private Verdict end(MetaFrame end) {
            MetaValue ended = value;
            value = null;
            if (end.fault() != null) {
                ended.cut();
                return Verdict.broken(end.fault());
            }
            ended.end();
            return Verdict.of(Reason.OK, ended);
        }

        @Override
        public boolean isClean() {
            return decoder.isClean() && (command == null || isSent(command));
        }
    }
}
