package eiderscale.config;

/**
 * Something wrong with a file, or legal but unwise. {@code key}: the path of the key at fault, with the places in
 * lists counted from 0, empty where it is the text as a whole. {@code allowed}: what may stand there; {@code nearest}:
 * the right name that a wrong one may have been meant for. Both are null where there is nothing to say.
 */
public record Problem(Severity severity, Position at, String key, String message, String allowed, String nearest) {
    /** Errors keep a file from being used; warnings do so only where asked for. */
    public enum Severity { ERROR, WARNING }

    /** One line without the file's name. */
    public String text() {
        StringBuilder line = new StringBuilder();
        line.append(at.line()).append(':').append(at.column()).append(": ")
                .append(severity == Severity.ERROR ? "error" : "warning").append(": ");
        if (!key.isEmpty()) {
            line.append(key).append(": ");
        }
        line.append(message);
        if (allowed != null) {
            line.append("; allowed: ").append(allowed);
        }
        if (nearest != null) {
            line.append("; did you mean '").append(nearest).append("'?");
        }
        return line.toString();
    }
}
