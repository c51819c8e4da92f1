package eiderscale.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Operators' calls to a balancer that serves. */
@Command(name = "ctl", mixinStandardHelpOptions = true,
        description = "Asks a balancer that serves, at its control address. health: whether this process takes clients; offline ID: "
        + "nothing more to a cache host, until online ID puts it back.",
        exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:yes", "1:no, or no answer in time", "2:bad usage"})
final class CtlCommand implements Callable<Integer> {
    private static final int MOST_ANSWER = 1024;

    @Spec
    private CommandSpec spec;

    @Option(names = "--control", paramLabel = "ADDRESS:PORT", required = true,
            description = "As operators.control of the sidecar's file, or control of the platform's.")
    private String control;

    @Option(names = "--timeout", paramLabel = "MS", defaultValue = "1000",
            description = "How long to wait for each answer. Default: ${DEFAULT-VALUE}.")
    private int timeoutMs;

    @Parameters(arity = "1..*", paramLabel = "CALL", description = "health, offline ID [ID ...] or online ID [ID ...].")
    private List<String> words;

    @Override
    public Integer call() throws IOException {
        InetSocketAddress address = Addresses.loopback(control);
        if (address == null) {
            throw bad("--control: ADDRESS:PORT with an address of 127.0.0.0/8, not " + control);
        }
        if (timeoutMs < 1) {
            throw bad("--timeout: 1 or more");
        }
        String call = words.get(0).toUpperCase(Locale.ROOT);
        List<String> ids = words.subList(1, words.size());
        boolean health = call.equals("HEALTH");
        if (!health && !call.equals("OFFLINE") && !call.equals("ONLINE") || health != ids.isEmpty()) {
            throw bad("health, offline ID [ID ...] or online ID [ID ...], not " + String.join(" ", words));
        }
        if (ids.stream().anyMatch(id -> !id.matches("[!-~]+"))) {
            throw bad("an id is one word of visible ASCII characters");
        }
        boolean yes = true;
        for (String line : health ? List.of(call) : ids.stream().map(id -> call + " " + id).toList()) {
            yes &= ask(address, line);
        }
        return yes ? Stairshelf.GOOD : Stairshelf.CANNOT_RUN;
    }

    /** The answer to one call; null for none. */
    static String ask(InetSocketAddress address, String line, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(timeoutMs);
            socket.connect(address, timeoutMs);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), MOST_ANSWER).readLine();
        }
    }

    private boolean ask(InetSocketAddress address, String line) throws IOException {
        try {
            String answer = ask(address, line, timeoutMs);
            if (answer == null) {
                throw new IOException(control + " ended the connection without an answer");
            }
            spec.commandLine().getOut().println(answer);
            return answer.startsWith("200");
        } catch (SocketTimeoutException e) {
            throw new IOException(control + " did not answer within " + timeoutMs + " ms", e);
        }
    }

    private ParameterException bad(String what) {
        return new ParameterException(spec.commandLine(), what);
    }
}
