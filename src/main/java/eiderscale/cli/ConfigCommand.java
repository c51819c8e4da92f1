package eiderscale.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import eiderscale.config.AppFile;
import eiderscale.config.Change;
import eiderscale.config.ConfigException;
import eiderscale.config.KeyTable;
import eiderscale.config.Problem;
import eiderscale.config.Schema;
import eiderscale.config.Writer;
import eiderscale.sidecar.Sidecar;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The tool for applications' files. */
@Command(name = "config", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        description = "Writes, checks, shows and compares applications' files.")
final class ConfigCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "which command?");
    }

    private static AppFile good(Path path, PrintWriter err) {
        AppFile file = Sidecar.read(path);
        if (!file.isGood()) {
            file.problems().forEach(problem -> err.println(path + ":" + problem.text()));
            throw new ConfigException(path + ": cannot be used");
        }
        return file;
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Reports all that is wrong with files, each fault with its place and what is allowed. "
            + "Exits 2 if a file has errors.")
    int check(
            @Parameters(paramLabel = "FILE", arity = "1..*", description = "Files to check.") List<Path> files,
            @Option(names = "--json", description = "Prints one JSON object for machines.") boolean json,
            @Option(names = "--strict", description = "Takes warnings for errors.") boolean strict)
            throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        List<Map<String, Object>> all = new ArrayList<>();
        long errors = 0;
        long warnings = 0;
        for (Path path : files) {
            List<Problem> problems = Sidecar.read(path).problems();
            for (Problem problem : problems) {
                boolean error = problem.severity() == Problem.Severity.ERROR;
                errors += error ? 1 : 0;
                warnings += error ? 0 : 1;
                all.add(entry(path, problem));
                if (!json) {
                    out.println(path + ":" + problem.text());
                }
            }
        }
        if (json) {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("errors", errors);
            result.put("warnings", warnings);
            result.put("problems", all);
            out.println(JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT, JSON.Feature.WRITE_NULL_PROPERTIES)
                    .asString(result));
        } else {
            out.println(files.size() + (files.size() == 1 ? " file: " : " files: ") + errors + " errors, "
                    + warnings + " warnings");
        }
        out.flush();
        return errors > 0 || strict && warnings > 0 ? Stairshelf.BAD : Stairshelf.GOOD;
    }

    private static Map<String, Object> entry(Path path, Problem problem) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("file", path.toString());
        entry.put("line", problem.at().line());
        entry.put("column", problem.at().column());
        entry.put("severity", problem.severity() == Problem.Severity.ERROR ? "error" : "warning");
        entry.put("key", problem.key());
        entry.put("message", problem.message());
        entry.put("allowed", problem.allowed());
        entry.put("nearest", problem.nearest());
        return entry;
    }

    @Command(name = "show", mixinStandardHelpOptions = true,
            description = "Prints the configuration in effect, defaults filled in, as a file.")
    int show(@Parameters(paramLabel = "FILE") Path path) {
        spec.commandLine().getOut().print(good(path, spec.commandLine().getErr()).show());
        spec.commandLine().getOut().flush();
        return Stairshelf.GOOD;
    }

    @Command(name = "diff", mixinStandardHelpOptions = true,
            description = "Prints what taking NEW instead of OLD would change in service, and what needs a restart.")
    int diff(@Parameters(paramLabel = "OLD") Path old, @Parameters(paramLabel = "NEW") Path fresh) {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        AppFile before = good(old, err);
        List<Change> changes = before.changes(good(fresh, err));
        changes.forEach(change -> out.println(change.text()));
        long restarts = changes.stream().filter(Change::restart).count();
        out.println(changes.isEmpty() ? "nothing changes" : changes.size() + " changes, " + restarts
                + " of them at a restart only" + (restarts > 0 ? ": a reload would refuse the file" : ""));
        out.flush();
        return Stairshelf.GOOD;
    }

    @Command(name = "schema", mixinStandardHelpOptions = true,
            description = "Prints the JSON Schema of applications' files, for editors.")
    int schema() throws IOException {
        spec.commandLine().getOut().println(JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT)
                .asString(Schema.tree()));
        spec.commandLine().getOut().flush();
        return Stairshelf.GOOD;
    }

    @Command(name = "keys", mixinStandardHelpOptions = true,
            description = "Prints every key with its default, what is allowed and what it means, as Markdown.")
    int keys() {
        spec.commandLine().getOut().print(KeyTable.markdown());
        spec.commandLine().getOut().flush();
        return Stairshelf.GOOD;
    }

    @Command(name = "write", mixinStandardHelpOptions = true,
            description = "Writes an application's file, commented, with every default; asks for what no option "
            + "tells, where there is somebody to ask.")
    int write(
            @Parameters(paramLabel = "FILE") Path path,
            @Option(names = "--application", paramLabel = "NAME") String application,
            @Option(names = "--listen", paramLabel = "ADDRESS:PORT") String listen,
            @Option(names = "--host", paramLabel = "ADDRESS:PORT", description = "A cache host; may be repeated.")
            List<String> hosts,
            @Option(names = "--kind", paramLabel = "KIND", description = "meta or memcached.") String kind,
            @Option(names = "--class", paramLabel = "NAME:OPERATION:EFFECT[:DEADLINE]",
                    description = "A class, such as view-statement:read:safe:1500ms; may be repeated.")
            List<String> classes,
            @Option(names = "--force", description = "Replaces a file that is there.") boolean force)
            throws IOException {
        Questions ask = new Questions(spec.commandLine().getOut());
        String name = ask.orAsk(application, "--application", "Name of the application?");
        String address = ask.orAsk(listen, "--listen", "Where do its clients connect (such as 127.0.0.1:11311)?");
        List<String> addresses = hosts != null ? hosts
                : ask.list(ask.orAsk(null, "--host", "Cache hosts, with blanks between?"));
        String hostKind = kind != null ? kind : "meta";
        List<String> named = classes != null ? classes
                : ask.list(ask.orAsk(null, "--class", "Classes as NAME:OPERATION:EFFECT, with blanks between?"));
        Map<String, String> answers = new LinkedHashMap<>();
        answers.put("application", Questions.quoted(name));
        answers.put("listen", "[" + Questions.quoted(address) + "]");
        answers.put("pool.kind", Questions.quoted(hostKind));
        answers.put("pool.hosts", "[" + String.join(", ", addresses.stream().map(Questions::quoted).toList()) + "]");
        byte[] text = Writer.fresh(answers, named.stream().map(this::requestClass).toList())
                .getBytes(StandardCharsets.UTF_8);
        AppFile file = AppFile.read(text, other -> false);
        if (!file.isGood()) {
            file.problems().stream().filter(p -> p.severity() == Problem.Severity.ERROR)
                    .forEach(problem -> spec.commandLine().getErr().println(problem.text()));
            throw new ConfigException("nothing is written: the answers make no good file");
        }
        try {
            Files.write(path, text, StandardOpenOption.WRITE, StandardOpenOption.CREATE,
                    force ? StandardOpenOption.TRUNCATE_EXISTING : StandardOpenOption.CREATE_NEW);
        } catch (FileAlreadyExistsException e) {
            throw new ConfigException(path + ": is there already; --force replaces it");
        }
        file.problems().forEach(problem -> spec.commandLine().getOut().println(path + ":" + problem.text()));
        spec.commandLine().getOut().println("wrote " + path);
        spec.commandLine().getOut().flush();
        return Stairshelf.GOOD;
    }

    private Writer.NewClass requestClass(String text) {
        String[] parts = text.split(":");
        if (parts.length < 3 || parts.length > 4) {
            throw new ParameterException(spec.commandLine(), "a class is NAME:OPERATION:EFFECT[:DEADLINE], not "
                    + text);
        }
        return new Writer.NewClass(parts[0], parts[1], parts[2], parts.length == 4 ? parts[3] : "1s");
    }
}
