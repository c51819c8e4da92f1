package eiderscale.meta;

import eiderscale.net.Budget;
import eiderscale.net.ClientConnection;
import eiderscale.net.ClientServer;
import eiderscale.net.Front;
import io.netty.channel.socket.SocketChannel;

/** Clients of the meta protocol. */
final class MetaFront implements Front {
    private final MetaHosts hosts;
    private final Budget budget;

    MetaFront(MetaHosts hosts, Budget budget) {
        this.hosts = hosts;
        this.budget = budget;
    }

    @Override
    public ClientConnection open(ClientServer server, SocketChannel channel) {
        return new MetaConnection(this, server, channel);
    }

    MetaHosts hosts() {
        return hosts;
    }

    MetaParser parser() {
        return MetaParser.ofCommands(budget);
    }
}
