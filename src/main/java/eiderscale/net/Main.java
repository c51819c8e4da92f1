package eiderscale.net;

import eiderscale.config.Config;
import eiderscale.config.ConfigException;
import eiderscale.Router;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;

/** The real balancer as a program: reads its configuration (at SIGHUP again), serves until SIGTERM, ends with 0. */
public final class Main {
    private Main() {
    }

    /** Takes no arguments; {@code GW_CONFIG} names the configuration. */
    public static void main(String[] args) {
        try {
            Hangup hangup = Hangup.install();
            LibraryLog.install();
            String path = System.getenv("GW_CONFIG");
            Config config = ConfigFile.read(path);
            EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("loop")).next();
            Node node = loop.submit(() -> new Node(config, loop, Router::new)).get();
            // A JVM that SIGTERM ends exits with 143; halting at the end of its hook makes that 0.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, loop), "stop"));
            loop.submit(node::start).get().sync();
            hangup.serve(() -> loop.execute(() -> node.reload(path)));
            Counters.log(config.name() + " serves on " + config.listeners().get(0));
        } catch (ConfigException e) {
            Counters.log(e.getMessage());
            Runtime.getRuntime().halt(1);
        } catch (Exception e) {
            Counters.log("cannot start: " + e);
            Runtime.getRuntime().halt(1);
        }
    }

    private static void stop(Node node, EventLoop loop) {
        try {
            loop.submit(node::stop).get().await();
        } catch (Exception e) {
            Counters.log("stopped short: " + e);
        }
        Runtime.getRuntime().halt(0);
    }
}
