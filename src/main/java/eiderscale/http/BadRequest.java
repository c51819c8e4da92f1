package eiderscale.http;

/** A request that cannot be taken: answered with its status, and the connection is closed behind that. */
final class BadRequest extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    BadRequest(int status, String what) {
        super(what, null, false, false);
        this.status = status;
    }

    int status() {
        return status;
    }
}
