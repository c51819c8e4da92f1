package eiderscale.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Ends children by their ids when whoever started them is gone, however that ended: a shell that reads their ids from a pipe,
 * and kills those that are left when the pipe closes.
 */
public final class Keeper implements AutoCloseable {
    private static final String SCRIPT = "all=' '; while read -r what id; do case \"$what\" in"
            + " '+') all=\"$all$id \";; '-') all=\"${all%% $id *} ${all#* $id }\";; esac; done;"
            + " for id in $all; do kill -9 \"$id\" 2>/dev/null; done";

    private final Process shell;
    private final OutputStream to;

    /** Starts the shell. */
    public Keeper() throws IOException {
        shell = new ProcessBuilder("sh", "-c", SCRIPT).redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD).start();
        to = shell.getOutputStream();
    }

    private synchronized void say(String what, long id) throws IOException {
        to.write((what + " " + id + "\n").getBytes(StandardCharsets.US_ASCII));
        to.flush();
    }

    /** This child is to end with us. */
    void keep(long id) throws IOException {
        say("+", id);
    }

    /** It has ended: its id may soon be another's. */
    void forget(long id) throws IOException {
        say("-", id);
    }

    /** The id of the shell. */
    long pid() {
        return shell.pid();
    }

    /** Kills all that are left, and waits until that is done. */
    @Override
    public void close() throws IOException {
        to.close();
        try {
            shell.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
