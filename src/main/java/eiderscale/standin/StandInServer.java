package eiderscale.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** What all stand-ins on loopback share: they listen, die as a process does, and come back at the same address. */
public abstract class StandInServer implements AutoCloseable {
    private static final int CHOKED_BUFFER = 2048;
    private static final long BIND_MS = 10_000;

    final EventLoop loop;
    final ChannelGroup connections;
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile long chokedMs = -1;
    private Channel server;
    private InetSocketAddress address;
    /** Holds the port of one that has died, and refuses: another process would get it, and answer in this one's name. */
    private Socket held;

    /** Does not listen yet. {@code at}: port 0 for a free one. */
    StandInServer(EventLoop loop, InetSocketAddress at) {
        this.loop = loop;
        this.connections = new DefaultChannelGroup(loop);
        this.address = at;
    }

    /** A free port of loopback. */
    static InetSocketAddress anywhere() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Puts the handlers of a new connection into its pipeline. */
    abstract void open(Channel fresh);

    /** Forgets what a process that dies forgets; on the loop. */
    void died() {
    }

    /** Listens, after a stop at the port that it had before. */
    public final void start() throws InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        accepted.incrementAndGet();
                        connections.add(fresh);
                        if (chokedMs < 0) {
                            open(fresh);
                        } else {
                            fresh.config().setAutoRead(false);
                            loop.schedule(() -> reset(fresh), chokedMs, TimeUnit.MILLISECONDS);
                        }
                    }
                });
        letGo();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(address.getPort() == 0 ? 0 : BIND_MS);
        ChannelFuture up = bootstrap.bind(address).await();
        while (!up.isSuccess() && System.nanoTime() < end) {
            // While it was away its port may have gone to somebody's outgoing connection.
            Thread.sleep(50);
            up = bootstrap.bind(address).await();
        }
        server = up.sync().channel();
        address = (InetSocketAddress) server.localAddress();
    }

    /** Dies as a process does: connections are reset, new ones refused, and what it kept is gone. */
    public final void kill() {
        server.close().syncUninterruptibly();
        hold();
        loop.submit(() -> {
            connections.forEach(StandInServer::reset);
            died();
        }).syncUninterruptibly();
    }

    private void hold() {
        Socket socket = new Socket();
        try {
            socket.setReuseAddress(true);
            socket.bind(address);
            held = socket;
        } catch (IOException e) {
            // Somebody has it already.
            letGo();
        }
    }

    private void letGo() {
        if (held != null) {
            try {
                held.close();
            } catch (IOException e) {
                // It was not connected: nothing can be left to say.
            }
            held = null;
        }
    }

    static void reset(Channel connection) {
        if (connection.isOpen()) {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.close();
        }
    }

    /**
     * From now on it takes a few kilobytes of each new connection, reads none of them, and resets the connection after so
     * long: a request that is longer breaks in its middle.
     */
    public final void choke(long ms) {
        server.config().setOption(ChannelOption.SO_RCVBUF, CHOKED_BUFFER);
        chokedMs = ms;
    }

    /** Connections that it has accepted. */
    public final int accepted() {
        return accepted.get();
    }

    /** Where it listens. */
    public final InetSocketAddress address() {
        return address;
    }

    /** {@code ADDRESS:PORT}. */
    public final String endpoint() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** How many connections are up. */
    public final int connections() {
        return connections.size();
    }

    @Override
    public final void close() {
        if (server != null && server.isOpen()) {
            kill();
        }
        letGo();
    }
}
