package eiderscale.config;

/** A configuration, settings or a list from discovery that cannot be used. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** {@code message}: what is wrong, in one line. */
    public ConfigException(String message) {
        super(message);
    }
}
