package eiderscale.cli;

import eiderscale.standin.Injury;
import eiderscale.standin.StandInHost;
import eiderscale.standin.StandInHttpHost;
import eiderscale.standin.StandInMemcached;
import eiderscale.standin.StandInOrigin;
import eiderscale.standin.StandInServer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Hosts to try a sidecar with, where there are none. */
@Command(name = "stand-in", mixinStandardHelpOptions = true,
        description = "Runs stand-in hosts on loopback until Ctrl-C: memcached 1.6's meta commands, the platform's hosts "
        + "with their slow origin, or HTTP.")
final class StandInCommand implements Callable<Integer> {
    private static final int MOST = 256;
    private static final long PLATFORM_ORIGIN_MS = 25;
    private static final long MEMORY = 64L << 20;
    private static final int LARGEST = 1 << 20;

    enum Kind { MEMCACHED, PLATFORM, HTTP }

    @Spec
    private CommandSpec spec;

    @Option(names = "--kind", required = true, paramLabel = "KIND", description = "memcached, platform or http.")
    private String kind;

    @Option(names = "--listen", paramLabel = "ADDRESS:PORT", defaultValue = "127.0.0.1:0",
            description = "Of the first host, on loopback; the others take the ports behind it (port 0: any free ones). "
            + "Default: ${DEFAULT-VALUE}.")
    private String listen;

    @Option(names = "--count", paramLabel = "N", defaultValue = "1", description = "1 to " + MOST + ". Default: 1.")
    private int count;

    @Option(names = "--delay", paramLabel = "MS", defaultValue = "0", description = "Each answer waits so long.")
    private long delayMs;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "0", description = "Ends after so long; 0: at Ctrl-C.")
    private long seconds;

    @Override
    public Integer call() throws Exception {
        Kind which = kind();
        InetSocketAddress first = address();
        if (count < 1 || count > MOST) {
            throw bad("--count: 1 to " + MOST);
        }
        if (first.getPort() > 0 && first.getPort() + count - 1 > 65_535) {
            throw bad("--listen: no " + count + " ports from " + first.getPort() + " on");
        }
        if (delayMs < 0 || seconds < 0) {
            throw bad("--delay and --seconds: 0 or more");
        }
        EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("stand-ins", true)).next();
        StandInOrigin origin = new StandInOrigin(PLATFORM_ORIGIN_MS);
        List<StandInServer> hosts = new ArrayList<>();
        PrintWriter out = spec.commandLine().getOut();
        for (int i = 0; i < count; i++) {
            int port = first.getPort() == 0 ? 0 : first.getPort() + i;
            InetSocketAddress at = new InetSocketAddress(first.getAddress(), port);
            try {
                hosts.add(start(which, loop, origin, at));
            } catch (Exception e) {
                // Netty throws what binding threw, undeclared.
                hosts.forEach(StandInServer::close);
                throw new IOException("cannot listen on " + at.getAddress().getHostAddress() + ":" + port + ": "
                        + e.getMessage(), e);
            }
            out.println(kind.toLowerCase(Locale.ROOT) + " on " + hosts.get(i).endpoint());
        }
        out.flush();
        if (seconds > 0) {
            TimeUnit.SECONDS.sleep(seconds);
            hosts.forEach(StandInServer::close);
        } else {
            new CountDownLatch(1).await();
        }
        return Stairshelf.GOOD;
    }

    private Kind kind() {
        try {
            return Kind.valueOf(kind.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw bad("--kind: memcached, platform or http, not " + kind);
        }
    }

    private InetSocketAddress address() {
        InetSocketAddress address = Addresses.loopback(listen);
        if (address == null) {
            throw bad("--listen: ADDRESS:PORT with an address of 127.0.0.0/8, not " + listen);
        }
        return address;
    }

    private ParameterException bad(String what) {
        return new ParameterException(spec.commandLine(), what);
    }

    private StandInServer start(Kind which, EventLoop loop, StandInOrigin origin, InetSocketAddress at)
            throws InterruptedException {
        switch (which) {
            case MEMCACHED -> {
                StandInMemcached host = new StandInMemcached(loop, at, MEMORY, LARGEST);
                host.delay(delayMs);
                return host;
            }
            case PLATFORM -> {
                StandInHost host = new StandInHost(loop, origin, at);
                host.script(command -> new StandInHost.Turn(Injury.NONE, delayMs));
                return host;
            }
            default -> {
                StandInHttpHost host = new StandInHttpHost(loop, at);
                host.script(request -> StandInHttpHost.Reply.of(200, "Cache-Control: max-age=60\r\nContent-Type: text/plain\r\n",
                        request.method() + " " + request.target() + "\n").after(delayMs));
                return host;
            }
        }
    }
}
