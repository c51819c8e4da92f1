package eiderscale.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The problems of one file. Where a value could not be read, what follows from it is not reported as well: a check
 * names the keys that it looked at, and says nothing if one of them is known to be bad.
 */
final class Report {
    /** One file can hold many faults; past these nobody reads on. */
    private static final int MOST = 1000;

    private final Map<String, Position> positions = new HashMap<>();
    private final Set<String> bad = new HashSet<>();
    private final List<Problem> problems = new ArrayList<>();

    void place(String key, Position at) {
        positions.put(key, at);
    }

    /** Where a key stands or, if it is left out, what it would stand in. */
    Position position(String key) {
        String path = key;
        while (!path.isEmpty()) {
            Position at = positions.get(path);
            if (at != null) {
                return at;
            }
            int dot = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
            path = dot < 0 ? "" : path.substring(0, dot);
        }
        return Position.START;
    }

    /** What is made of this is not to be trusted; what is wrong has been said already. */
    void spoil(String key) {
        bad.add(key);
    }

    /** A value that cannot be read. */
    void unreadable(Position at, String key, String message, String allowed, String nearest) {
        bad.add(key);
        add(new Problem(Problem.Severity.ERROR, at, key, message, allowed, nearest));
    }

    /** A value that breaks a rule which looked at {@code others} too. */
    void error(String key, String message, String allowed, String... others) {
        say(Problem.Severity.ERROR, key, message, allowed, null, others);
    }

    /** Whether an error has been told of one of these keys. */
    boolean tellsOf(Set<String> keys) {
        return problems.stream().anyMatch(problem -> problem.severity() == Problem.Severity.ERROR
                && keys.contains(problem.key()));
    }

    void unknownName(String key, String name, Iterable<String> known, String what) {
        say(Problem.Severity.ERROR, key, "no " + what + " is called '" + name + "'", null,
                Nearest.to(name, known));
    }

    void warn(String key, String message, String... others) {
        say(Problem.Severity.WARNING, key, message, null, null, others);
    }

    private void say(Problem.Severity severity, String key, String message, String allowed, String nearest,
                     String... others) {
        boolean follows = bad.contains(key);
        for (String other : others) {
            follows |= bad.contains(other);
        }
        if (!follows) {
            add(new Problem(severity, position(key), key, message, allowed, nearest));
        }
    }

    private void add(Problem problem) {
        if (problems.size() < MOST && !problems.contains(problem)) {
            problems.add(problem);
        }
    }

    /** In the order of the text. */
    List<Problem> problems() {
        List<Problem> sorted = new ArrayList<>(problems);
        sorted.sort(Comparator.comparingInt((Problem p) -> p.at().line()).thenComparingInt(p -> p.at().column()));
        return sorted;
    }
}
