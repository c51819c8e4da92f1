package eiderscale.config;

/** Placeholder. */
public final class Routes {
    private Routes() {
    }
}
