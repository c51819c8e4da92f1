package eiderscale.cli;

import java.io.PrintWriter;
import java.io.StringWriter;

/** A command of the command line, run in this process. */
public final class Tools {
    /** What came of one: its exit code and what it wrote. */
    public record Said(int code, String text, String errors) {
    }

    private Tools() {
    }

    /** Runs one. */
    public static Said run(String... words) {
        StringWriter output = new StringWriter();
        StringWriter errors = new StringWriter();
        int code = Stairshelf.line().setOut(new PrintWriter(output, true)).setErr(new PrintWriter(errors, true)).execute(words);
        return new Said(code, output.toString(), errors.toString());
    }
}
