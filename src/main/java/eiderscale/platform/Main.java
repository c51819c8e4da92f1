package eiderscale.platform;

import eiderscale.config.Config;
import eiderscale.config.ConfigException;
import eiderscale.config.Site;
import eiderscale.control.ControlServer;
import eiderscale.handover.Duty;
import eiderscale.handover.Succession;
import eiderscale.knowledge.Knowledge;
import eiderscale.meta.MetaProtocol;
import eiderscale.net.Counters;
import eiderscale.net.Hangup;
import eiderscale.net.LibraryLog;
import eiderscale.net.Node;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The real balancer as a program: reads its configuration (at SIGHUP again), serves until SIGTERM, ends with 0. */
public final class Main {
    private Main() {
    }

    /** A balancer that serves; {@code control}: null where operators cannot call. */
    record Running(Config config, EventLoop loop, Duty duty, SocketAddress bound, SocketAddress control) {
    }

    /** Takes no arguments; {@code GW_CONFIG} names the configuration. */
    public static void main(String[] args) {
        try {
            Running running = begin(System.getenv("GW_CONFIG"), folder());
            Counters.log(running.config.name() + " serves on " + running.bound);
        } catch (ConfigException e) {
            Counters.log(e.getMessage());
            Runtime.getRuntime().halt(1);
        } catch (Exception e) {
            Counters.log("cannot start: " + e);
            Runtime.getRuntime().halt(1);
        }
    }

    /** All that a process does until it serves; {@code folder}: what processes of this balancer share, or null. */
    static Running begin(String path, Path folder) throws Exception {
        Hangup hangup = Hangup.install();
        LibraryLog.install();
        ConfigFile file = new ConfigFile(path);
        Config config = file.config();
        EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("loop")).next();
        Succession succession = Succession.enter(folder, config.name());
        Node node = loop.submit(() -> new Node(config, loop, new MetaProtocol(config.site().hostKind))).get();
        Knowledge told = Duty.ask(succession, config.name(), config.seed());
        Duty duty = loop.submit(() -> Duty.take(List.of(node), config.name(), succession, told)).get();
        // A JVM that SIGTERM ends exits with 143; halting at the end of its hook makes that 0.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(duty, loop), "stop"));
        if (succession.hasPlace()) {
            // Without it nothing could be handed over, and a second process would only take half of the clients.
            node.share();
        }
        SocketAddress bound = loop.submit(node::start).get().sync().channel().localAddress();
        SocketAddress control = null;
        if (config.control() != null) {
            control = loop.submit(() -> new ControlServer(loop, duty).listen(config.control())).get().sync().channel().localAddress();
            Counters.log("operators call " + control);
        }
        hangup.serve(() -> loop.execute(() -> reload(node, file)));
        return new Running(config, loop, duty, bound, control);
    }

    /** Reads the configuration again; one that cannot be used changes nothing. */
    static void reload(Node node, ConfigFile file) {
        try {
            Site before = file.config().site();
            Config fresh = file.read();
            boolean changed = !fresh.site().settings.equals(before.settings) || !fresh.site().sameNames(before);
            if (changed) {
                node.renew(fresh.site());
            }
            node.moveDiscovery(fresh.discovery());
            Counters.log("the new configuration is in service: " + fresh.site().settings.classes().size() + " classes"
                    + (changed ? "" : ", settings as they were"));
        } catch (ConfigException e) {
            Counters.log("the old configuration stays: " + e.getMessage());
        }
    }

    /** What processes of this balancer share; null where they share nothing. */
    private static Path folder() {
        String path = System.getenv("TMPDIR");
        return path == null || path.isEmpty() || !Files.isDirectory(Path.of(path)) ? null : Path.of(path);
    }

    private static void stop(Duty duty, EventLoop loop) {
        try {
            loop.submit(() -> duty.stop(loop)).get().await();
        } catch (Exception e) {
            Counters.log("stopped short: " + e);
        }
        Runtime.getRuntime().halt(0);
    }
}
