package eiderscale.http.cache;

/** Makes stored responses for tests of other packages. */
public final class StoredResponses {
    private static final long NOW = 1_800_000_000_000L;

    private StoredResponses() {
    }

    /** A whole response that came just now. */
    public static Copy copy(Fields fields, byte[] body) {
        return new Copy(Stored.of(200, fields, Fields.NONE, NOW, NOW, null), body);
    }
}
