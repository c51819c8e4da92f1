package eiderscale.http.cache;

/** What {@code Content-Range} says (RFC 9110 section 14.4): first and last byte, and the whole length, -1 if unknown. */
public record ContentRange(long first, long last, long length) {
    private static final int MOST_DIGITS = 18;

    /** Reads the field; null if it is not a satisfied range of bytes. */
    static ContentRange parse(String text) {
        if (text == null || !text.regionMatches(true, 0, "bytes ", 0, 6)) {
            return null;
        }
        String spec = text.substring(6).trim();
        int slash = spec.indexOf('/');
        int dash = spec.indexOf('-');
        if (slash < 0 || dash < 0 || dash > slash) {
            return null;
        }
        long first = number(spec.substring(0, dash));
        long last = number(spec.substring(dash + 1, slash));
        String whole = spec.substring(slash + 1);
        long length = whole.equals("*") ? -1 : number(whole);
        boolean good = first >= 0 && last >= first && (whole.equals("*") || length > last);
        return good ? new ContentRange(first, last, length) : null;
    }

    static long number(String text) {
        if (text.isEmpty() || text.length() > MOST_DIGITS) {
            return -1;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -1;
            }
        }
        return Long.parseLong(text);
    }

    /** How many bytes it covers. */
    long bytes() {
        return last - first + 1;
    }

    @Override
    public String toString() {
        return "bytes " + first + "-" + last + "/" + (length < 0 ? "*" : length);
    }
}
