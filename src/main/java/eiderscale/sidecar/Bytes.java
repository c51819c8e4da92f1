package eiderscale.sidecar;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** The bytes of a file, as far as anyone will read them. */
final class Bytes {
    /** More than any file may have: what is longer is told by this alone, and never held whole. */
    private static final int MOST = 5 * 1024 * 1024;

    private Bytes() {
    }

    static byte[] of(Path file) throws IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return in.readNBytes(MOST);
        }
    }
}
