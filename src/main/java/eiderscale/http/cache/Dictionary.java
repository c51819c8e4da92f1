package eiderscale.http.cache;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A Dictionary of structured fields (RFC 8941 section 3.2), as {@code CDN-Cache-Control} is one (RFC 9213). Strict: a
 * fault anywhere makes the whole field invalid. Parameters are passed over, as none is defined.
 */
final class Dictionary {
    private static final int MOST_DIGITS = 15;
    private static final int MOST_LENGTH = 8192;
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~:/";

    private final String text;
    private int at;

    /** It is at fault; no stack, as it never leaves this class. */
    private static final class Fault extends Exception {
        private static final long serialVersionUID = 1L;

        Fault() {
            super(null, null, false, false);
        }
    }

    private Dictionary(String text) {
        this.text = text;
    }

    /**
     * Its members: an integer as its digits, true as an empty text, any other value as one that is no number of
     * seconds. Null if it is invalid.
     */
    static Map<String, String> parse(String text) {
        if (text == null || text.length() > MOST_LENGTH) {
            return null;
        }
        try {
            return new Dictionary(text).members();
        } catch (Fault e) {
            return null;
        }
    }

    private Map<String, String> members() throws Fault {
        Map<String, String> members = new LinkedHashMap<>();
        blanks(false);
        while (at < text.length()) {
            String key = key();
            String value = "";
            if (peek() == '=') {
                at++;
                value = peek() == '(' ? innerList() : item();
            }
            parameters();
            // The last of those with one name counts (section 4.2.2).
            members.remove(key);
            members.put(key, value);
            blanks(true);
            if (at == text.length()) {
                return members;
            }
            take(',');
            blanks(true);
            if (at == text.length()) {
                throw new Fault();
            }
        }
        return members;
    }

    private int peek() {
        return at < text.length() ? text.charAt(at) : -1;
    }

    private void take(char c) throws Fault {
        if (peek() != c) {
            throw new Fault();
        }
        at++;
    }

    private void blanks(boolean tabs) {
        while (peek() == ' ' || tabs && peek() == '\t') {
            at++;
        }
    }

    private static boolean isDigit(int c) {
        return c >= '0' && c <= '9';
    }

    private static boolean isLower(int c) {
        return c >= 'a' && c <= 'z';
    }

    private static boolean isLetter(int c) {
        return isLower(c) || c >= 'A' && c <= 'Z';
    }

    private String key() throws Fault {
        int begun = at;
        if (!isLower(peek()) && peek() != '*') {
            throw new Fault();
        }
        while (isLower(peek()) || isDigit(peek()) || peek() >= 0 && "_-.*".indexOf(peek()) >= 0) {
            at++;
        }
        return text.substring(begun, at);
    }

    private void parameters() throws Fault {
        while (peek() == ';') {
            at++;
            blanks(false);
            key();
            if (peek() == '=') {
                at++;
                item();
            }
        }
    }

    private String innerList() throws Fault {
        take('(');
        while (true) {
            blanks(false);
            if (peek() == ')') {
                at++;
                return "()";
            }
            item();
            parameters();
            if (peek() != ' ' && peek() != ')') {
                throw new Fault();
            }
        }
    }

    /** A bare item. */
    private String item() throws Fault {
        int c = peek();
        if (c == '-' || isDigit(c)) {
            return number();
        }
        if (c == '"') {
            return string();
        }
        if (c == '?') {
            at++;
            int flag = peek();
            at++;
            if (flag != '0' && flag != '1') {
                throw new Fault();
            }
            return flag == '1' ? "" : "?0";
        }
        if (c == ':') {
            return bytes();
        }
        if (c == '*' || isLetter(c)) {
            int begun = at;
            while (isLetter(peek()) || isDigit(peek()) || peek() >= 0 && TOKEN_MARKS.indexOf(peek()) >= 0) {
                at++;
            }
            return "token " + text.substring(begun, at);
        }
        throw new Fault();
    }

    private String number() throws Fault {
        int begun = at;
        if (peek() == '-') {
            at++;
        }
        int digits = 0;
        int fraction = -1;
        while (isDigit(peek()) || peek() == '.' && fraction < 0) {
            if (peek() == '.') {
                fraction = 0;
                if (digits == 0 || digits > 12) {
                    throw new Fault();
                }
            } else if (fraction >= 0) {
                fraction++;
            } else {
                digits++;
            }
            at++;
        }
        if (digits == 0 || digits > MOST_DIGITS || fraction == 0 || fraction > 3) {
            throw new Fault();
        }
        return text.substring(begun, at);
    }

    private String string() throws Fault {
        int begun = at;
        take('"');
        while (peek() != '"') {
            if (peek() == '\\') {
                at++;
                if (peek() != '"' && peek() != '\\') {
                    throw new Fault();
                }
            }
            if (peek() < 0x20 || peek() > 0x7e) {
                throw new Fault();
            }
            at++;
        }
        at++;
        return text.substring(begun, at);
    }

    private String bytes() throws Fault {
        int begun = at;
        take(':');
        while (peek() != ':') {
            int c = peek();
            if (!isLetter(c) && !isDigit(c) && c != '+' && c != '/' && c != '=') {
                throw new Fault();
            }
            at++;
        }
        at++;
        return text.substring(begun, at);
    }
}
