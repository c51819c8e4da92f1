package eiderscale.check;

import java.util.List;

/** A rule that was broken, and what led there. */
public record Violation(String rule, List<Event> trace) {
    /** In words, a line an event. */
    public String text() {
        StringBuilder text = new StringBuilder(rule);
        for (int i = 0; i < trace.size(); i++) {
            text.append('\n').append(i + 1).append(". ").append(trace.get(i).text());
        }
        return text.toString();
    }
}
