package eiderscale.http;

import eiderscale.config.Catalog;
import eiderscale.config.HttpRules;
import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.Fields;
import eiderscale.net.Request;
import eiderscale.net.Snapshot;
import eiderscale.net.Upload;

/**
 * A request on its way to a host. {@code body}: held, so that it may go out again; null where there is none or it streams
 * by {@code upload}. Its fields are those that are sent, without what frames the body.
 */
final class HttpCall implements Request {
    private static final byte[] NONE = {};
    /** What an open request takes beside its fields and its body. */
    private static final int CALL_BYTES = 1536;

    final String method;
    final CacheKey target;
    final Fields fields;
    final byte[] body;
    final Upload upload;
    private final String id;
    private final Snapshot snapshot;
    private final HttpRules.Route route;
    private final int tenant;
    private final long waitMs;

    HttpCall(String id, Snapshot snapshot, HttpRules.Route route, int tenant, long waitMs, String method, CacheKey target,
             Fields fields, byte[] body, Upload upload) {
        this.id = id;
        this.snapshot = snapshot;
        this.route = route;
        this.tenant = tenant;
        this.waitMs = waitMs;
        this.method = method;
        this.target = target;
        this.fields = fields;
        this.body = body == null ? NONE : body;
        this.upload = upload;
    }

    /** Whether something goes out behind the head. */
    boolean hasBody() {
        return upload != null || body.length > 0;
    }

    @Override
    public String label() {
        return method + " " + target.authority() + target.path();
    }

    @Override
    public String id() {
        return id;
    }

    @Override
    public Snapshot snapshot() {
        return snapshot;
    }

    @Override
    public int requestClass() {
        return route.requestClass();
    }

    @Override
    public int tenant() {
        return tenant;
    }

    @Override
    public long key() {
        String path = target.path();
        int query = path.indexOf('?');
        String part = route.key() == HttpRules.KeyOf.PATH && query >= 0 ? path.substring(0, query) : path;
        return Catalog.hash(target.authority() + part);
    }

    @Override
    public long waitMs() {
        return waitMs;
    }

    @Override
    public long work() {
        return 0;
    }

    @Override
    public boolean repeat() {
        // HTTP has no word for it; Idempotency-Key tells hosts.
        return false;
    }

    @Override
    public boolean write() {
        return route.write();
    }

    @Override
    public int heldBytes() {
        return CALL_BYTES + fields.weight() + body.length;
    }

    @Override
    public boolean isCut() {
        return upload != null && upload.isCut();
    }

    @Override
    public boolean maySend() {
        return upload == null || !upload.isTaken();
    }
}
