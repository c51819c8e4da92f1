package eiderscale.control;

/** What each call is answered. Answers begin with {@code 200}, done, or {@code 400}, not done and why. */
final class Calls {
    /** Far above the longest call: a word and an id. */
    static final int MOST_LINE = 512;
    private static final int MOST_ID = 256;

    private final Operators operators;

    Calls(Operators operators) {
        this.operators = operators;
    }

    /** The answer to a line, without its end. */
    String answer(String line) {
        String text = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        String[] words = text.strip().split(" +");
        if (words.length == 1 && words[0].equals("HEALTH")) {
            return operators.takesClients() ? "200 takes clients" : "400 takes no clients";
        }
        if (words.length == 2 && (words[0].equals("OFFLINE") || words[0].equals("ONLINE"))) {
            return move(words[1], words[0].equals("OFFLINE"));
        }
        if (words.length == 1 && words[0].equals("MEMBERS")) {
            String members = operators.members();
            return members == null ? "400 no members here" : "200 " + members;
        }
        String known = words.length == 1 && words[0].equals("KNOWN") ? operators.known() : null;
        if (known != null) {
            return known;
        }
        return "400 calls are HEALTH, OFFLINE ID and ONLINE ID";
    }

    private String move(String id, boolean out) {
        if (id.length() > MOST_ID || !id.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
            return "400 not an id";
        }
        if (!(out ? operators.takeOut(id) : operators.putBack(id))) {
            return "400 unknown id " + id;
        }
        return "200 " + id + (out ? " is out" : " is in");
    }
}
