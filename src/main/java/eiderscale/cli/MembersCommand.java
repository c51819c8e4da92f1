package eiderscale.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Who else is there, as one balancer holds it. */
@Command(name = "members", mixinStandardHelpOptions = true, description = "Who is there, as a balancer that serves holds it.",
        exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:told", "1:no answer in time, or it is nobody's member", "2:bad usage"})
final class MembersCommand implements Callable<Integer> {
    private static final int PATIENCE_MS = 1_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--control", paramLabel = "ADDRESS:PORT", required = true, description = "As operators.control of the sidecar's file.")
    private String control;

    @Option(names = "--watch", description = "Goes on telling, a line for each change, until it is interrupted.")
    private boolean watch;

    @Override
    public Integer call() throws IOException, InterruptedException {
        InetSocketAddress address = Addresses.loopback(control);
        if (address == null) {
            throw new ParameterException(spec.commandLine(), "--control: ADDRESS:PORT with an address of 127.0.0.0/8, not " + control);
        }
        String before = "";
        while (true) {
            String answer = CtlCommand.ask(address, "MEMBERS", PATIENCE_MS);
            if (answer == null || !answer.startsWith("200 ")) {
                spec.commandLine().getErr().println("stairshelf: " + (answer == null ? "no answer in time" : answer.substring(4)));
                return Stairshelf.CANNOT_RUN;
            }
            String epoch = answer.split(" ")[2];
            if (!epoch.equals(before)) {
                before = epoch;
                String[] words = answer.substring(4).split(" ");
                StringBuilder head = new StringBuilder();
                for (String word : words) {
                    if (word.contains("=")) {
                        head.append("\n  ").append(word.replace("=", " ").replace("/", " "));
                    } else {
                        head.append(head.isEmpty() ? "" : " ").append(word);
                    }
                }
                spec.commandLine().getOut().println(head);
                spec.commandLine().getOut().flush();
            }
            if (!watch) {
                return Stairshelf.GOOD;
            }
            Thread.sleep(PATIENCE_MS / 4);
        }
    }
}
