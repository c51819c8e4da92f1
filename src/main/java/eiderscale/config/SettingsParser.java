package eiderscale.config;

import eiderscale.Api;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads the settings lines of the wire. Unknown keys are skipped; a missing key gets a default that is
 * safe: the strictest effect, no copies, no cancelling, one attempt, the slowest warm-up.
 */
public final class SettingsParser {
    private static final long SECOND = 1_000_000_000L;
    private static final long DEFAULT_DEADLINE = SECOND;
    private static final double DEFAULT_COLD = 0.1;
    private static final double DEFAULT_TIP = 2;
    private static final long DEFAULT_QUIET = SECOND;
    private static final long DEFAULT_SPAN = 10 * SECOND;
    /** More items than this in a list are taken for a damaged message. */
    private static final int MOST_ITEMS = 10_000;

    private final Map<String, String> values = new HashMap<>();

    private SettingsParser(String text) {
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
    }

    /** Both sides read their settings here, so that the same text means the same to them. */
    public static Api.Settings parse(String text) {
        return new SettingsParser(text).settings();
    }

    private Api.Settings settings() {
        List<Api.RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("categories.count"); i++) {
            classes.add(requestClass("categories." + i + "."));
        }
        List<Api.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("tenants.count"); i++) {
            tenants.add(new Api.Tenant(real("tenants." + i + ".allowance-per-s", 0),
                    real("tenants." + i + ".fraction", 1)));
        }
        List<String> fields = Arrays.asList(text("load-report.fields", "").split(","));
        return new Api.Settings(List.copyOf(classes), List.copyOf(tenants), (int) whole("my-zone", 0),
                (int) whole("rank", 0), (int) Math.max(1, whole("n-instances", 1)),
                text("family-info.mode", "through").equals("aside"),
                (int) whole("family-info.origin-kind", -1),
                text("discovery", "automatic").equals("subscribe"),
                (int) whole("ceilings.max-attempts", 1), flag("ceilings.may-duplicate"),
                flag("ceilings.cancelling"), flag("ceilings.retry-after"),
                whole("ceilings.max-retry-after-ns", 0),
                whole("guarantees.stop-sending-within-ns", 0),
                whole("guarantees.ask-within-ns", 10 * SECOND),
                real("guarantees.cold-from", DEFAULT_COLD),
                whole("guarantees.warm-within-ns", 30 * SECOND),
                real("guarantees.tip-multiple", DEFAULT_TIP),
                Math.max(1, whole("guarantees.fall-ns", SECOND)), real("over-share-worth", 1),
                whole("guarantees.key-quiet-ns", DEFAULT_QUIET), budget(),
                new Api.ReportLayout(fields.indexOf("rif"), fields.indexOf("q"), fields.indexOf("busy")));
    }

    private Api.RequestClass requestClass(String at) {
        long deadline = whole(at + "deadline-ns", DEFAULT_DEADLINE);
        Api.Effect effect = switch (text(at + "effect", "fragile")) {
            case "retryable" -> Api.Effect.RETRYABLE;
            case "dedup" -> Api.Effect.DEDUP;
            default -> Api.Effect.FRAGILE;
        };
        Api.Group group = switch (text(at + "group", "cell").toLowerCase(Locale.ROOT)) {
            case "all" -> Api.Group.ALL;
            case "zone" -> Api.Group.ZONE;
            default -> Api.Group.CELL;
        };
        return new Api.RequestClass(Math.max(1, whole(at + "goal-time-ns", deadline)),
                real(at + "aim-stretch", 0), deadline, real(at + "worth", 1), real(at + "late-worth", 0),
                effect, group, whole(at + "window-ns", 0), flag(at + "stream"), flag(at + "serial-by-key"));
    }

    /** There is a budget as soon as one of its settings is named; what is left out of it allows nothing. */
    private Api.Budget budget() {
        boolean stated = values.containsKey("guarantees.budget-free")
                || values.containsKey("guarantees.repeat-ratio")
                || values.containsKey("guarantees.resend-span-ns");
        return stated ? new Api.Budget(real("guarantees.budget-free", 0), real("guarantees.repeat-ratio", 0),
                whole("guarantees.resend-span-ns", DEFAULT_SPAN)) : null;
    }

    private int count(String key) {
        long n = whole(key, 0);
        if (n < 0 || n > MOST_ITEMS) {
            throw new ConfigException("setting " + key + " has an impossible value: " + n);
        }
        return (int) n;
    }

    private String text(String key, String otherwise) {
        return values.getOrDefault(key, otherwise);
    }

    private boolean flag(String key) {
        return text(key, "false").equals("true");
    }

    private long whole(String key, long otherwise) {
        String value = values.get(key);
        try {
            return value == null || value.isEmpty() ? otherwise : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return (long) real(key, otherwise);
        }
    }

    private double real(String key, double otherwise) {
        String value = values.get(key);
        if (value == null || value.isEmpty()) {
            return otherwise;
        }
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below, as for numbers that are not finite.
        }
        throw new ConfigException("setting " + key + " is no number: " + value);
    }
}
