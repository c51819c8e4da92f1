package eiderscale.net;

/** The configuration, or a list from discovery, is not what the deployment promises. */
final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ConfigException(String message) {
        super(message);
    }
}
