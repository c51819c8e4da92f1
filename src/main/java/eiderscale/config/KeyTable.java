package eiderscale.config;

/** All keys as a table in Markdown, for the operators' page. */
public final class KeyTable {
    private KeyTable() {
    }

    /** One row for each key. */
    public static String markdown() {
        StringBuilder text = new StringBuilder("| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n");
        rows("", Spec.ROOT, text);
        rows("pool.hosts[].", Spec.HOST, text);
        return text.toString();
    }

    private static void rows(String prefix, Section section, StringBuilder text) {
        for (Key key : section.keys()) {
            String otherwise = key.otherwise() == null ? key.required() ? "needed" : ""
                    : "`" + Writer.value(key, key.otherwise()) + "`";
            text.append("| `").append(prefix).append(key.name()).append("` | ").append(otherwise).append(" | ")
                    .append(key.allowed()).append(" | ").append(key.doc())
                    .append(key.restart() ? " *Restart.*" : "").append(" |\n");
        }
        for (Section inner : section.sections()) {
            rows(prefix + inner.name() + (inner.repeated() ? "[]." : "."), inner, text);
        }
    }
}
