package eiderscale.sim;

/** The input breaks the wire's rules. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
