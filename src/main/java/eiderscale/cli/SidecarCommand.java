package eiderscale.cli;

import eiderscale.net.Counters;
import eiderscale.net.Hangup;
import eiderscale.net.LibraryLog;
import eiderscale.sidecar.Sidecar;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Serves until SIGTERM, which ends it with 0 once all is answered; SIGHUP reads the file again. */
@Command(name = "sidecar", mixinStandardHelpOptions = true,
        description = "Serves an application from its file, until SIGTERM. SIGHUP reads the file again.")
final class SidecarCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The application's file.")
    private Path file;

    @Option(names = "--control", paramLabel = "ADDRESS:PORT", description = "Where operators call, in place of operators.control "
            + "of the file: a process that is to take another's place needs an address of its own.")
    private String control;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        InetSocketAddress operators = control == null ? null : Addresses.loopback(control);
        if (control != null && operators == null) {
            throw new ParameterException(spec.commandLine(), "--control: ADDRESS:PORT with an address of 127.0.0.0/8, not " + control);
        }
        Hangup hangup = Hangup.install();
        LibraryLog.install();
        EventLoop loop = new NioEventLoopGroup(1, new DefaultThreadFactory("loop")).next();
        Sidecar sidecar = Sidecar.start(file, operators, loop, Sidecar.standardLog());
        // A JVM that SIGTERM ends exits with 143; halting at the end of its hook makes that 0.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(sidecar), "stop"));
        hangup.serve(sidecar::reload);
        for (InetSocketAddress address : sidecar.addresses()) {
            Counters.log("serves on " + address.getAddress().getHostAddress() + ":" + address.getPort());
        }
        for (InetSocketAddress address : sidecar.httpAddresses()) {
            Counters.log("serves HTTP on " + address.getAddress().getHostAddress() + ":" + address.getPort());
        }
        if (sidecar.control() != null) {
            Counters.log("operators call " + sidecar.control().getAddress().getHostAddress() + ":" + sidecar.control().getPort());
        }
        new CountDownLatch(1).await();
        return Stairshelf.GOOD;
    }

    private static void stop(Sidecar sidecar) {
        try {
            sidecar.stop().await();
        } catch (Exception e) {
            Counters.log("stopped short: " + e);
        }
        Runtime.getRuntime().halt(Stairshelf.GOOD);
    }
}
