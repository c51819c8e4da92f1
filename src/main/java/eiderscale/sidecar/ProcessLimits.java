package eiderscale.sidecar;

import eiderscale.config.AppFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What this process may use, held against what a file has it use. */
final class ProcessLimits {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String OPEN_FILES = "Max open files";
    private static final long MEGABYTE = 1024 * 1024;

    private ProcessLimits() {
    }

    /** Throws {@link IOException} where the file asks for more. */
    static void check(AppFile app) throws IOException {
        long heap = Runtime.getRuntime().maxMemory();
        if (app.heapBytes() > heap) {
            throw new IOException("the limits need a heap of " + (app.heapBytes() / MEGABYTE + 1)
                    + " MB and this process has " + heap / MEGABYTE + " MB: lower [limits] or set -Xmx in "
                    + "STAIRSHELF_JAVA_OPTS");
        }
        long descriptors = descriptors();
        if (app.descriptors() > descriptors) {
            throw new IOException("limits.descriptors is " + app.descriptors() + " and this process may have "
                    + descriptors + " (ulimit -n)");
        }
    }

    /** The soft limit; without a way to tell it, there is none. */
    private static long descriptors() {
        try {
            for (String line : Files.readAllLines(LIMITS)) {
                String[] words = line.replace(OPEN_FILES, "").trim().split("\\s+");
                if (line.startsWith(OPEN_FILES) && !words[0].equals("unlimited")) {
                    return Long.parseLong(words[0]);
                }
            }
        } catch (IOException | NumberFormatException e) {
            // Another system than Linux: the limit shows when it is reached.
        }
        return Long.MAX_VALUE;
    }
}
