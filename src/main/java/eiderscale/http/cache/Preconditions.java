package eiderscale.http.cache;

/**
 * A client's own preconditions against what is stored (RFC 9110 section 13, RFC 9111 section 4.3.2): whether it holds
 * the response already.
 */
public final class Preconditions {
    /** What comes of them. */
    public enum Outcome {
        /** There are none, or they hold: the whole answer is sent. */
        SEND,
        /** 304: the client has it. */
        NOT_MODIFIED,
        /** A cache is not to judge them: the request goes to the origin (section 13.2.1). */
        FORWARD
    }

    private Preconditions() {
    }

    /** Judges those of a GET or HEAD against a stored response with status 200. {@code now}: in milliseconds. */
    public static Outcome judge(Fields request, Stored stored, long now) {
        if (request.has("if-match") || request.has("if-unmodified-since")) {
            // Meant for the origin's state and not for a copy of it.
            return Outcome.FORWARD;
        }
        if (stored.status() != 200) {
            return Outcome.SEND;
        }
        String none = request.joined("if-none-match");
        if (none != null) {
            return hasTag(none, stored) ? Outcome.NOT_MODIFIED : Outcome.SEND;
        }
        long since = request.all("if-modified-since").size() == 1
                ? HttpDate.parse(request.first("if-modified-since"), now / 1000) : HttpDate.NONE;
        if (since == HttpDate.NONE) {
            return Outcome.SEND;
        }
        long changed = HttpDate.parse(stored.fields().first("last-modified"), now / 1000);
        return (changed != HttpDate.NONE ? changed : stored.dated()) <= since ? Outcome.NOT_MODIFIED : Outcome.SEND;
    }

    private static boolean hasTag(String list, Stored stored) {
        if (list.trim().equals("*")) {
            return true;
        }
        String own = stored.fields().first("etag");
        return own != null && Tags.list(list).stream().anyMatch(tag -> Tags.weakly(tag, own));
    }
}
