package eiderscale.cli;

import eiderscale.config.ConfigException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Asks at the terminal for what no option has told. */
final class Questions {
    private final PrintWriter out;
    private BufferedReader in;

    Questions(PrintWriter out) {
        this.out = out;
    }

    /** The value of an option, or the answer to a question where it was left out. */
    String orAsk(String given, String option, String question) throws IOException {
        if (given != null) {
            return given;
        }
        if (in == null) {
            in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        }
        out.print(question + " ");
        out.flush();
        String answer = in.readLine();
        if (answer == null || answer.isBlank()) {
            throw new ConfigException("no answer, and no option " + option);
        }
        return answer.trim();
    }

    List<String> list(String words) {
        return List.of(words.trim().split("[\\s,]+"));
    }

    /** A text as the file states it; what it may be is checked when the file is. */
    static String quoted(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replaceAll("\\p{Cntrl}", "?") + '"';
    }
}
