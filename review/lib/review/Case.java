package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What all tests share: the record, a temporary folder, and the end of all that was started. */
public abstract class Case {
    /** Exit codes of the test's process; a JVM that fails by itself ends with 1, so that no word of ours is 1. */
    protected static final int HELD = 0;
    /** The rule was broken. */
    protected static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 2;

    /** What was sent, answered and run. */
    protected Record record;
    /** Gone at the end. */
    protected Path folder;
    /** False: the same without the disruption. */
    protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final List<AutoCloseable> started = new ArrayList<>();

    /** Plays it; returns {@link #HELD} or {@link #BROKEN}. */
    protected abstract int play() throws Exception;

    /** Ends it with the test. */
    protected final <T extends AutoCloseable> T keep(T one) {
        synchronized (started) {
            started.add(one);
        }
        return one;
    }

    /** Fails the run, not the rule. */
    protected static void need(boolean holds, String what) throws IOException {
        if (!holds) {
            throw new IOException("could not run: " + what);
        }
    }

    private void end() {
        synchronized (started) {
            for (int i = started.size() - 1; i >= 0; i--) {
                try {
                    started.get(i).close();
                } catch (Exception e) {
                    System.err.println("at the end: " + e);
                }
            }
            started.clear();
        }
    }

    private void clean() {
        if (System.getenv("REVIEW_KEEP") != null) {
            System.out.println("kept " + folder);
            return;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            System.err.println("at the end: " + e);
        }
    }

    /** Runs a test as a program; {@code own}: the folder of the case. */
    protected static void main(Case test, String own) {
        int code = COULD_NOT_RUN;
        try {
            test.record = new Record(Path.of(own, "record.txt"));
            test.folder = Files.createTempDirectory("review");
            Runtime.getRuntime().addShutdownHook(new Thread(test::end));
            test.record.show(test.trouble ? "with the disruption" : "without the disruption");
            code = test.play();
            test.record.show(code == HELD ? "the rule held" : "the rule was broken");
        } catch (Throwable e) {
            System.err.println("could not run: " + e);
            e.printStackTrace();
        }
        test.end();
        if (test.record != null) {
            test.record.close();
        }
        if (test.folder != null) {
            test.clean();
        }
        Runtime.getRuntime().halt(code);
    }
}
