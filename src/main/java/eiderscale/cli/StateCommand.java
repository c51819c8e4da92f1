package eiderscale.cli;

import com.fasterxml.jackson.jr.ob.JSON;
import eiderscale.knowledge.Knowledge;
import eiderscale.knowledge.Origin;
import eiderscale.knowledge.Refused;
import eiderscale.net.Clock;
import eiderscale.net.Entry;
import eiderscale.sidecar.State;
import eiderscale.store.StateStore;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What a balancer keeps on disk. */
@Command(name = "state", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        description = "What a balancer keeps in state.folder of its file. All but compact, import and --forget read a copy, also "
        + "while the balancer runs.",
        exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:good", "1:it cannot be read or used, or is not whole", "2:bad usage"})
final class StateCommand implements Runnable {
    private static final int WAIT_S = 30;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new picocli.CommandLine.ParameterException(spec.commandLine(), "which command?");
    }

    private interface Reading {
        int of(StateStore.Contents contents) throws IOException;
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private int read(Path folder, Reading reading) {
        try {
            int code = reading.of(StateStore.read(folder.resolve(StateStore.FILE)));
            out().flush();
            return code;
        } catch (IOException e) {
            return bad(folder + ": " + (e instanceof java.nio.file.NoSuchFileException ? "there is no " + StateStore.FILE : e.getMessage()));
        }
    }

    private int bad(String why) {
        spec.commandLine().getErr().println("stairshelf: " + why);
        spec.commandLine().getErr().flush();
        return Stairshelf.CANNOT_RUN;
    }

    /** Runs a task on a store of which nobody else has the folder. */
    private int change(Path folder, java.util.function.ToIntFunction<StateStore> task) {
        if (!Files.isDirectory(folder)) {
            return bad(folder + ": there is no such folder");
        }
        StateStore.Opened opened = StateStore.open(folder, this::bad);
        if (opened.store() == null) {
            return bad(folder + ": " + switch (opened.refusal()) {
                case IN_USE -> "a process has it: stop that first";
                case NEWER -> "a newer program has written it";
                case NO_FOLDER -> "it cannot be written";
            });
        }
        try (StateStore store = opened.store()) {
            int code = task.applyAsInt(store);
            CountDownLatch flushed = new CountDownLatch(1);
            store.flush(flushed::countDown);
            boolean done = flushed.await(WAIT_S, java.util.concurrent.TimeUnit.SECONDS) && !store.isFailing();
            out().flush();
            return done ? code : bad(folder + ": it could not be written");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Stairshelf.CANNOT_RUN;
        }
    }

    private static String age(long at, long now) {
        double seconds = (now - at) / 1e9;
        return seconds < 0 ? String.format(Locale.ROOT, "%.1f s in the future", -seconds)
                : seconds < 600 ? String.format(Locale.ROOT, "%.1f s ago", seconds) : String.format(Locale.ROOT, "%.1f h ago", seconds / 3600);
    }

    private static Knowledge known(StateStore.Contents contents, Origin origin, String name) throws Refused {
        byte[] record = contents.values().get(name);
        return record == null || origin == null ? null : Knowledge.decode(origin.balancer(), record);
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Whose it is, how old, and what is known.")
    int show(@Parameters(paramLabel = "FOLDER") Path folder) {
        return read(folder, contents -> {
            long now = Clock.now();
            Origin origin = State.origin(contents.values().get(State.ORIGIN));
            if (origin == null) {
                out().println("nobody has signed it");
                return Stairshelf.CANNOT_RUN;
            }
            out().printf(Locale.ROOT, "balancer %s, incarnation %d, last written %s%n", origin.balancer(), origin.incarnation(),
                    age(origin.at(), now));
            Origin.Standing standing = origin.standing(origin.balancer(), StateStore.place(folder), StateStore.touched(folder), now);
            out().println("here it counts as " + standing.name().toLowerCase(Locale.ROOT).replace('_', ' '));
            try {
                Knowledge calls = known(contents, origin, State.CALLS);
                Knowledge known = known(contents, origin, State.KNOWN);
                for (var call : (calls != null ? calls : known != null ? known : new Knowledge("", java.util.List.of(), null, null)).calls()) {
                    out().printf("call: host %x %s, %s%n", call.host(), call.out() ? "out" : "in", age(call.at(), now));
                }
                if (known != null && known.hosts() != null) {
                    out().println("list: from " + known.hosts().source());
                }
                if (known != null && known.learnt() != null) {
                    var learnt = known.learnt();
                    out().printf(Locale.ROOT, "learnt: %d hosts, %d cold, %d breakers open, told %s%n", learnt.hosts().size(),
                            learnt.hosts().stream().filter(host -> host.coldSince() > 0).count(),
                            learnt.hosts().stream().filter(host -> host.openUntil() > now).count(), age(learnt.at(), now));
                }
            } catch (Refused e) {
                out().println("a record is refused: " + e.getMessage());
            }
            out().printf("journal: %d requests on their way or unanswered%n", contents.journal().size());
            return Stairshelf.GOOD;
        });
    }

    @Command(name = "verify", mixinStandardHelpOptions = true, description = "Whether all of it can be read and is whole.")
    int verify(@Parameters(paramLabel = "FOLDER") Path folder) {
        return read(folder, contents -> {
            int wrong = contents.unreadable();
            Origin origin = State.origin(contents.values().get(State.ORIGIN));
            wrong += origin == null ? 1 : 0;
            for (String name : new String[] {State.CALLS, State.KNOWN}) {
                try {
                    known(contents, origin, name);
                } catch (Refused e) {
                    out().println(name + ": " + e.getMessage());
                    wrong++;
                }
            }
            out().println(wrong == 0 ? "whole: " + contents.values().size() + " values, " + contents.journal().size() + " entries"
                    : wrong + " are not whole");
            return wrong == 0 ? Stairshelf.GOOD : Stairshelf.CANNOT_RUN;
        });
    }

    @Command(name = "may-have-run", mixinStandardHelpOptions = true,
            description = "Requests of durable classes that went out, or were about to, and whose clients got no answer.")
    int mayHaveRun(@Parameters(paramLabel = "FOLDER") Path folder,
            @Option(names = "--forget", description = "Empties the list, once it has been dealt with; the balancer must not run.") boolean forget) {
        if (forget) {
            return change(folder, store -> {
                Map<String, byte[]> entries = store.entries();
                entries.keySet().forEach(store::leave);
                out().println(entries.size() + " forgotten");
                return Stairshelf.GOOD;
            });
        }
        return read(folder, contents -> {
            contents.journal().forEach((name, entry) -> {
                Map<String, Object> words = Entry.read(entry);
                out().printf("%s class %s id %s what %s at %s%n", name, words.get("class"), words.get("id"), words.get("what"),
                        words.get("at") instanceof Number at ? Instant.ofEpochMilli(at.longValue() / Clock.MILLISECOND) : "?");
            });
            return Stairshelf.GOOD;
        });
    }

    @Command(name = "compact", mixinStandardHelpOptions = true, description = "Rewrites the file without what is waste.")
    int compact(@Parameters(paramLabel = "FOLDER") Path folder) {
        return change(folder, store -> {
            try {
                long before = Files.size(folder.resolve(StateStore.FILE));
                store.compact();
                out().printf("%d bytes before, %d after%n", before, Files.size(folder.resolve(StateStore.FILE)));
                return Stairshelf.GOOD;
            } catch (IOException | InterruptedException e) {
                return bad(folder + ": " + e.getMessage());
            }
        });
    }

    @Command(name = "export", mixinStandardHelpOptions = true, description = "Writes all of it as JSON.")
    int export(@Parameters(paramLabel = "FOLDER") Path folder) {
        return read(folder, contents -> {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("values", encoded(contents.values()));
            all.put("journal", encoded(contents.journal()));
            out().println(JSON.std.asString(all));
            return Stairshelf.GOOD;
        });
    }

    private static Map<String, String> encoded(Map<String, byte[]> map) {
        Map<String, String> encoded = new LinkedHashMap<>();
        map.forEach((name, value) -> encoded.put(name, Base64.getEncoder().encodeToString(value)));
        return encoded;
    }

    @Command(name = "import", mixinStandardHelpOptions = true,
            description = "Takes what export has written. It counts as a copy: believed for what is worse alone.")
    int take(@Parameters(paramLabel = "FOLDER") Path folder, @Parameters(paramLabel = "FILE") Path file) {
        Map<String, Object> all;
        try {
            all = JSON.std.mapFrom(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            return bad(file + ": it cannot be read as what export writes");
        }
        if (!(all.get("values") instanceof Map<?, ?> values) || !(all.get("journal") instanceof Map<?, ?> journal)) {
            return bad(file + ": it is not what export writes");
        }
        return change(folder, store -> {
            try {
                values.forEach((name, value) -> store.put((String) name, Base64.getDecoder().decode((String) value)));
                journal.forEach((name, value) -> store.enter((String) name, Base64.getDecoder().decode((String) value), () -> { }, () -> { }));
                return Stairshelf.GOOD;
            } catch (IllegalArgumentException | ClassCastException e) {
                return bad(file + ": it is not what export writes");
            }
        });
    }
}
