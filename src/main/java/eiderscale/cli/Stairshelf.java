package eiderscale.cli;

import eiderscale.config.ConfigException;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** The command line. Exit codes: 0 good, 1 cannot run, 2 bad usage or a bad file. */
@Command(name = "stairshelf", mixinStandardHelpOptions = true, version = "stairshelf 0.2.0",
        description = "A balancer for cache hosts, one beside each application.",
        synopsisSubcommandLabel = "COMMAND", exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:good", "1:cannot run", "2:bad usage or a bad file"},
        subcommands = {SidecarCommand.class, ConfigCommand.class, DemoCommand.class, StandInCommand.class, LabCommand.class, FleetCommand.class,
            PlanCommand.class, CtlCommand.class, StateCommand.class, MembersCommand.class, CheckCommand.class, HelpCommand.class, AutoComplete.GenerateCompletion.class})
public final class Stairshelf implements Runnable {
    static final int GOOD = 0;
    static final int CANNOT_RUN = 1;
    static final int BAD = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Stairshelf() {
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "which command?");
    }

    /** Runs the command that the arguments name, and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(line().execute(args));
    }

    /** All commands, ready to run. */
    static CommandLine line() {
        CommandLine line = new CommandLine(new Stairshelf());
        line.setExecutionExceptionHandler((thrown, command, result) -> {
            boolean known = thrown instanceof ConfigException || thrown instanceof java.io.IOException;
            command.getErr().println(known ? thrown.getMessage() : "unexpected: " + thrown);
            if (!known) {
                thrown.printStackTrace(command.getErr());
            }
            return thrown instanceof ConfigException ? BAD : CANNOT_RUN;
        });
        return line;
    }
}
