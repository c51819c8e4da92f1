package eiderscale.http.cache;

/**
 * A response as it is kept, without its body. {@code selecting}: the fields of the request that it answered which
 * {@code Vary} names. {@code asked}, {@code came}: in milliseconds since the epoch. {@code range}: null for a whole one.
 */
public record Stored(int status, Fields fields, Fields selecting, Control control, Freshness freshness, long asked,
                     long came, ContentRange range) {
    /** A response to a request, its fields already without those that are not kept. */
    static Stored of(int status, Fields fields, Fields selecting, long asked, long came, ContentRange range) {
        Control control = Control.of(fields);
        return new Stored(status, fields, selecting, control, Freshness.of(status, fields, control, asked, came), asked, came,
                range);
    }

    /** The strong validator that a part may be asked for by; null if there is none. */
    String strongTag() {
        String tag = fields.first("etag");
        return tag == null || tag.startsWith("W/") ? null : tag;
    }

    /** When it was made by its origin's clock, in seconds; when it came if it does not say. */
    long dated() {
        long date = HttpDate.parse(fields.first("date"), came / 1000);
        return date == HttpDate.NONE ? came / 1000 : date;
    }

    /** What it takes beside its body, in bytes. */
    public int weight() {
        return 160 + fields.weight() + selecting.weight();
    }
}
