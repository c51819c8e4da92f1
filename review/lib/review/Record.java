package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, one event a line with its time in seconds since the start of the test. */
public final class Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    /** Writes to {@code file}, which is made anew. */
    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.ISO_8859_1));
    }

    /** Seconds from the start of the test to a moment of {@link System#nanoTime}. */
    public double seconds(long atNs) {
        return (atNs - startNs) / 1e9;
    }

    /** Notes an event of this moment. */
    public void note(String event) {
        note(System.nanoTime(), event);
    }

    /** Notes an event of an earlier moment. */
    public synchronized void note(long atNs, String event) {
        out.printf(Locale.ROOT, "%9.4f %s%n", seconds(atNs), event);
    }

    /** Notes an event and shows it to whoever runs the test. */
    public void show(String event) {
        note(event);
        System.out.printf(Locale.ROOT, "%9.4f %s%n", seconds(System.nanoTime()), event);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
