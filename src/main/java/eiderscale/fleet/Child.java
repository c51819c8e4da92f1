package eiderscale.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** One started process, what it says, and what can be done to it. */
public final class Child {
    /** Lines of its log that are kept, the last ones. */
    private static final int MOST_LINES = 2000;
    private static final long TICK_MS = 10;
    private static final boolean IGNORED = ignoresHangups();

    private final Process process;
    private final Keeper keeper;
    private final Deque<String> lines = new ArrayDeque<>();
    /** Lines that are no longer kept, the place of the last that was found, and where the next search behind it begins. */
    private long forgotten;
    private long found;
    private long passed;
    private final Thread reads;
    private final long startedAt = System.nanoTime();
    private volatile boolean killed;

    /** Starts it in a folder; {@code keeper} ends it with us. */
    public Child(List<String> command, Map<String, String> environment, Path folder, Keeper keeper) throws IOException {
        this.keeper = keeper;
        ProcessBuilder builder = new ProcessBuilder(hearing(command)).redirectErrorStream(true).directory(folder.toFile());
        builder.environment().putAll(environment);
        process = builder.start();
        keeper.keep(process.pid());
        reads = new Thread(this::read, "log of " + process.pid());
        reads.setDaemon(true);
        reads.start();
    }

    /**
     * The same command, started so that SIGHUP reaches it: a process that was begun with that signal ignored (under nohup, by some
     * runners of tests) hands that on to all it starts, and none of them would ever read its file again.
     */
    public static List<String> hearing(List<String> command) {
        if (!IGNORED) {
            return command;
        }
        List<String> hearing = new ArrayList<>(List.of("env", "--default-signal=HUP"));
        hearing.addAll(command);
        return hearing;
    }

    /** The lowest bit of the mask is SIGHUP's (proc(5)). */
    private static boolean ignoresHangups() {
        try {
            return Files.readAllLines(Path.of("/proc/self/status")).stream().filter(line -> line.startsWith("SigIgn:"))
                    .anyMatch(line -> (Character.digit(line.charAt(line.length() - 1), 16) & 1) == 1);
        } catch (IOException e) {
            return false;
        }
    }

    private void read() {
        try (BufferedReader in = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                synchronized (lines) {
                    lines.addLast(line);
                    if (lines.size() > MOST_LINES) {
                        lines.removeFirst();
                        forgotten++;
                    }
                    lines.notifyAll();
                }
            }
        } catch (IOException e) {
            // It has ended.
        }
    }

    /** Its id. */
    public long pid() {
        return process.pid();
    }

    /** When it was started, by {@link System#nanoTime}. */
    public long startedAt() {
        return startedAt;
    }

    /** Whether it has not ended. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Whether its end is the doing of whoever started it. */
    public boolean isKilled() {
        return killed;
    }

    /** The last lines that it said. */
    public List<String> log() {
        synchronized (lines) {
            return new ArrayList<>(lines);
        }
    }

    /** Waits for a line; throws {@link IllegalStateException} with its log where none comes in time or it ends first. */
    public String await(Predicate<String> wanted, long limitMs) throws InterruptedException {
        return await(wanted, 0, limitMs);
    }

    /** As {@link #await(Predicate, long)}, for a line behind the one that this found before. */
    public String awaitNext(Predicate<String> wanted, long limitMs) throws InterruptedException {
        synchronized (lines) {
            String line = await(wanted, passed, limitMs);
            passed = found + 1;
            return line;
        }
    }

    /** {@code from}: the first line that counts, by its number since the start. */
    private String await(Predicate<String> wanted, long from, long limitMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        synchronized (lines) {
            while (true) {
                found = forgotten;
                for (String line : lines) {
                    if (found >= from && wanted.test(line)) {
                        return line;
                    }
                    found++;
                }
                if (System.nanoTime() > end || !process.isAlive() && !reads.isAlive()) {
                    throw new IllegalStateException((process.isAlive() ? "never said it" : "ended") + ": " + lines);
                }
                lines.wait(TICK_MS);
            }
        }
    }

    /** The port at the end of a line that holds {@code word}. */
    public int port(String word, long limitMs) throws InterruptedException {
        String line = await(one -> one.contains(word), limitMs);
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).trim());
    }

    /** Sends one signal to several, at the same moment as far as that goes. */
    public static void signal(String name, Collection<Child> children) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("kill", "-" + name));
        for (Child child : children) {
            child.killed |= name.equals("KILL");
            if (child.isAlive()) {
                command.add(Long.toString(child.pid()));
            }
        }
        if (command.size() > 2) {
            new ProcessBuilder(command).redirectErrorStream(true).start().waitFor();
        }
    }

    /** SIGKILL, and its end. */
    public void kill() throws InterruptedException {
        killed = true;
        process.destroyForcibly().waitFor();
        forget();
    }

    /** SIGTERM, and its end; its exit code. Throws {@link IllegalStateException} where it does not end in time. */
    public int stop(long limitMs) throws InterruptedException {
        // The process object's own destroy would close its log as well.
        process.toHandle().destroy();
        return end(limitMs);
    }

    /** Its end, which comes by itself; its exit code. Throws {@link IllegalStateException} where it does not come in time. */
    public int end(long limitMs) throws InterruptedException {
        if (!process.waitFor(limitMs, TimeUnit.MILLISECONDS)) {
            throw new IllegalStateException("did not end: " + log());
        }
        reads.join(limitMs);
        forget();
        return process.exitValue();
    }

    private void forget() {
        try {
            keeper.forget(pid());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Processor time that it has used, in milliseconds; 0 once it is gone. */
    public long cpuMs() {
        return process.toHandle().info().totalCpuDuration().map(java.time.Duration::toMillis).orElse(0L);
    }

    /** What it holds in memory, in megabytes; 0 once it is gone. */
    public long residentMb() {
        return megabytes("VmRSS");
    }

    /** The most that it has held in memory, in megabytes; 0 once it is gone. */
    public long peakMb() {
        return megabytes("VmHWM");
    }

    private long megabytes(String what) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid() + "/status"))) {
                if (line.startsWith(what + ":")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
                }
            }
        } catch (IOException e) {
            // It has ended.
        }
        return 0;
    }
}
