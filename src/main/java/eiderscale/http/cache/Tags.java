package eiderscale.http.cache;

import java.util.ArrayList;
import java.util.List;

/** Entity tags (RFC 9110 section 8.8.3) and lists of them. */
final class Tags {
    private Tags() {
    }

    /** Whether a text is one entity tag. */
    static boolean isTag(String text) {
        String opaque = text.startsWith("W/") ? text.substring(2) : text;
        if (opaque.length() < 2 || opaque.charAt(0) != '"' || opaque.charAt(opaque.length() - 1) != '"') {
            return false;
        }
        for (int i = 1; i < opaque.length() - 1; i++) {
            char c = opaque.charAt(i);
            if (c < 0x21 || c == '"' || c == 0x7f) {
                return false;
            }
        }
        return true;
    }

    /** The tags of a list; commas may stand in a tag. What is no tag is passed over. */
    static List<String> list(String text) {
        List<String> tags = new ArrayList<>();
        int at = 0;
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == ',' || c == ' ' || c == '\t') {
                at++;
                continue;
            }
            int open = text.startsWith("W/\"", at) ? at + 2 : at;
            int end = c == '"' || open > at ? text.indexOf('"', open + 1) : -1;
            if (end < 0) {
                int comma = text.indexOf(',', at);
                at = comma < 0 ? text.length() : comma;
                continue;
            }
            tags.add(text.substring(at, end + 1));
            at = end + 1;
        }
        return tags;
    }

    /** Equal but for the mark of weakness (section 8.8.3.2). */
    static boolean weakly(String one, String other) {
        return opaque(one).equals(opaque(other));
    }

    /** Equal, and neither is weak. */
    static boolean strongly(String one, String other) {
        return one.equals(other) && !one.startsWith("W/");
    }

    private static String opaque(String tag) {
        return tag.startsWith("W/") ? tag.substring(2) : tag;
    }
}
