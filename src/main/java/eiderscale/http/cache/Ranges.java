package eiderscale.http.cache;

/** Ranges of bytes (RFC 9110 section 14), one at a time: several are answered by the whole, as that section allows. */
public final class Ranges {
    /** A range in a body; {@code first} > {@code last} for one that cannot be satisfied. */
    public record Slice(long first, long last) {
        /** Whether there is anything of it. */
        public boolean isSatisfiable() {
            return first <= last;
        }
    }

    private static final Slice NOTHING = new Slice(0, -1);

    private Ranges() {
    }

    /**
     * What a GET asks for of a body that is this long; null if the whole: no range, one that is not understood, several
     * of them, or one whose {@code If-Range} does not hold (section 13.1.5).
     */
    public static Slice asked(Fields request, Stored stored, long length) {
        String spec = request.joined("range");
        if (spec == null || !spec.regionMatches(true, 0, "bytes=", 0, 6) || !holds(request, stored)) {
            return null;
        }
        String range = spec.substring(6).trim();
        int dash = range.indexOf('-');
        if (dash < 0 || range.indexOf(',') >= 0) {
            return null;
        }
        String from = range.substring(0, dash).trim();
        String to = range.substring(dash + 1).trim();
        long first = ContentRange.number(from);
        long last = ContentRange.number(to);
        if (from.isEmpty()) {
            // The last so many bytes.
            return last < 0 ? null : last == 0 || length == 0 ? NOTHING : new Slice(Math.max(0, length - last), length - 1);
        }
        if (first < 0 || !to.isEmpty() && last < first) {
            return null;
        }
        return first >= length ? NOTHING : new Slice(first, to.isEmpty() ? length - 1 : Math.min(last, length - 1));
    }

    private static boolean holds(Fields request, Stored stored) {
        String condition = request.first("if-range");
        if (condition == null) {
            return true;
        }
        String text = condition.trim();
        if (Tags.isTag(text)) {
            String own = stored.fields().first("etag");
            return own != null && Tags.strongly(text, own);
        }
        // A date is a strong validator only if the response was made a second or more after it (section 8.8.2.2).
        String changed = stored.fields().first("last-modified");
        long at = HttpDate.parse(changed, stored.came() / 1000);
        return changed != null && changed.equals(text) && at != HttpDate.NONE && at < stored.dated();
    }

    /** Whether what a request asks for lies within the part that is stored. */
    static boolean isWithin(Fields request, Stored part) {
        ContentRange have = part.range();
        if (have.length() < 0) {
            return false;
        }
        Slice slice = asked(request, part, have.length());
        return slice != null && slice.isSatisfiable() && slice.first >= have.first() && slice.last <= have.last();
    }

    /**
     * What two parts of one response make together, or null (RFC 9111 section 3.4): they must share a strong
     * validator and the whole length, and overlap or touch.
     */
    static ContentRange combined(Stored one, Stored other) {
        ContentRange a = one.range();
        ContentRange b = other.range();
        boolean same = one.strongTag() != null && one.strongTag().equals(other.strongTag()) && a.length() == b.length();
        if (!same || a.first() > b.last() + 1 || b.first() > a.last() + 1) {
            return null;
        }
        return new ContentRange(Math.min(a.first(), b.first()), Math.max(a.last(), b.last()), a.length());
    }
}
