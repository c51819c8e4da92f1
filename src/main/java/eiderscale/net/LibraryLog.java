package eiderscale.net;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * What libraries log, in short lines of our own. The JDK's own formatter opens a file of time zones at its first
 * line: where that line told of missing descriptors, this failed in turn and ended the event loop.
 */
public final class LibraryLog extends Handler {
    private static final int MOST_LINES = 100;
    private int lines;

    private LibraryLog() {
    }

    /** Takes the place of the handlers that the JDK installs. */
    public static void install() {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new LibraryLog());
    }

    @Override
    public void publish(LogRecord entry) {
        if (entry.getLevel().intValue() >= Level.WARNING.intValue() && ++lines <= MOST_LINES) {
            Counters.log(entry.getLoggerName() + ": " + entry.getMessage() + " " + entry.getThrown());
        }
    }

    @Override
    public void flush() {
        // Every line is written at once.
    }

    @Override
    public void close() {
        // Nothing is held.
    }
}
