package eiderscale.meta;

import eiderscale.ledger.Budget;
import eiderscale.net.ClientConnection;
import eiderscale.net.ClientServer;
import eiderscale.net.Core;
import eiderscale.net.Front;
import eiderscale.values.ValueRoom;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;

/** Clients of the meta protocol. */
final class MetaFront implements Front {
    /** The part of a further answer in what is usual. */
    private static final double SMOOTHING = 1.0 / 16;

    private final MetaHosts hosts;
    private final Budget budget;
    private final ValueRoom values;
    private final ValueRoom uploads;
    /** Bytes of the answer to a read, smoothed over the last ones. */
    private double usualAnswerBytes;
    /** Made when the first read joins: nothing of it is loaded where none does. */
    private JoinedReads joined;

    MetaFront(MetaHosts hosts, Budget budget) {
        this.hosts = hosts;
        this.budget = budget;
        this.values = new ValueRoom(budget.most() / 2);
        this.uploads = new ValueRoom(budget.most() / 2);
    }

    @Override
    public ClientConnection open(ClientServer server, SocketChannel channel) {
        return new MetaConnection(this, server, channel);
    }

    @Override
    public String gauges() {
        return gauge(" values ", values) + gauge(" uploads ", uploads)
                + (joined == null ? "" : joined.gauges());
    }

    private static String gauge(String name, ValueRoom room) {
        return room.streams() == 0 ? "" : name + room.streams() + " waiting " + room.waiting() + " bytes " + room.held();
    }

    /** Who waits for whom; null where the settings let no read wait and none has. */
    JoinedReads joined(Core core, EventLoop loop) {
        if (joined == null && core.snapshot().site().joining.any()) {
            joined = new JoinedReads(core, () -> core.snapshot().site().joining, loop);
        }
        return joined;
    }

    /** The answer to a read has come, and is of this size. */
    void answered(int bytes) {
        usualAnswerBytes += (bytes - usualAnswerBytes) * SMOOTHING;
    }

    /** Bytes that the answer to a read has usually had of late. */
    long usualAnswerBytes() {
        return (long) usualAnswerBytes;
    }

    MetaHosts hosts() {
        return hosts;
    }

    /** The bytes that long values on their way to clients may hold. */
    ValueRoom values() {
        return values;
    }

    /** The bytes that long values on their way to hosts may hold. */
    ValueRoom uploads() {
        return uploads;
    }

    MetaParser parser() {
        return MetaParser.ofCommands(budget);
    }
}
