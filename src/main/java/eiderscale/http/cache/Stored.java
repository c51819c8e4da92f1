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

    /** The same with another part of the body, or the whole of it. */
    Stored covering(ContentRange all) {
        boolean whole = all.first() == 0 && all.bytes() == all.length();
        Fields told = fields.without(name -> name.equals("content-range") || name.equals("content-length"))
                .updatedBy(Fields.of("content-length", String.valueOf(all.bytes())));
        return new Stored(whole ? 200 : 206, told, selecting, control, freshness, asked, came, whole ? null : all);
    }

    /** What it takes beside its body, in bytes. */
    public int weight() {
        return 160 + fields.weight() + selecting.weight();
    }
}
