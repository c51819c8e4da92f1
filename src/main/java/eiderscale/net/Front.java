package eiderscale.net;

import io.netty.channel.socket.SocketChannel;

/** One protocol, as clients speak it. */
public interface Front {
    /** The handler of a new connection, added to its pipeline alone. */
    ClientConnection open(ClientServer server, SocketChannel channel);

    /** What of its own it holds and has counted, for the log; empty for nothing. */
    default String gauges() {
        return "";
    }
}
