package eiderscale.config;

/**
 * One difference between two files. {@code before}, {@code after}: the values as a file states them, null where the
 * item is not there. {@code restart}: it takes effect at a restart only.
 */
public record Change(String key, String before, String after, boolean restart) {
    /** One line. */
    public String text() {
        String what = before == null ? "+ " + key + " = " + after : after == null ? "- " + key + " = " + before
                : "~ " + key + ": " + before + " -> " + after;
        return restart ? what + "   (needs a restart)" : what;
    }
}
