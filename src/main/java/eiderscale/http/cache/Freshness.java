package eiderscale.http.cache;

import java.util.Set;

/**
 * How long a response is fresh and how old it is (RFC 9111 section 4.2). {@code lifetime}: in seconds.
 * {@code heuristic}: the origin said nothing of it. {@code initialAge}: its age when it came, in milliseconds, and
 * {@code came}: when that was, in milliseconds since the epoch on this cache's clock.
 */
public record Freshness(long lifetime, boolean heuristic, long initialAge, long came) {
    /** Status codes that may be cached without being told so (RFC 9110 section 15.1). */
    private static final Set<Integer> HEURISTIC_STATUS = Set.of(200, 203, 204, 206, 300, 301, 308, 404, 405, 410, 414,
            501);
    /** Part of the time since the last change that a response is taken to be fresh for (section 4.2.2). */
    private static final int HEURISTIC_PART = 10;
    /** And no longer than this: what has not changed for a year may still change within a month. */
    private static final long MOST_HEURISTIC = 86_400;
    private static final long SECOND = 1000;

    /**
     * Computes both. {@code asked} and {@code came}: when the request was sent and when the response came, in
     * milliseconds since the epoch.
     */
    static Freshness of(int status, Fields fields, Control control, long asked, long came) {
        long cameSeconds = Math.floorDiv(came, SECOND);
        long date = HttpDate.parse(fields.first("date"), cameSeconds);
        long dated = date == HttpDate.NONE ? cameSeconds : date;
        long explicit = explicit(fields, control, dated, cameSeconds);
        long lifetime = explicit != Delta.ABSENT ? explicit : heuristic(status, fields, control, dated, cameSeconds);
        return new Freshness(lifetime, explicit == Delta.ABSENT, initialAge(fields, date, asked, came), came);
    }

    /** Whether a status may be cached without being told so. */
    static boolean isHeuristic(int status) {
        return HEURISTIC_STATUS.contains(status);
    }

    /** Section 4.2.1, for a shared cache; what cannot be understood is stale. */
    private static long explicit(Fields fields, Control control, long dated, long now) {
        for (String name : new String[] {"s-maxage", "max-age"}) {
            long seconds = control.directives().seconds(name);
            if (seconds != Delta.ABSENT) {
                return seconds == Delta.INVALID ? 0 : seconds;
            }
        }
        if (control.targeted() || !fields.has("expires")) {
            return Delta.ABSENT;
        }
        long expires = HttpDate.parse(fields.first("expires"), now);
        boolean differ = fields.all("expires").stream().distinct().count() > 1;
        return expires == HttpDate.NONE || differ ? 0 : Math.min(Delta.MOST, Math.max(0, expires - dated));
    }

    /** Section 4.2.2. */
    private static long heuristic(int status, Fields fields, Control control, long dated, long now) {
        long changed = HttpDate.parse(fields.first("last-modified"), now);
        if (changed == HttpDate.NONE || changed > dated || !isHeuristic(status) && !control.has("public")) {
            return 0;
        }
        return Math.min(MOST_HEURISTIC, (dated - changed) / HEURISTIC_PART);
    }

    /** Section 4.2.3. */
    private static long initialAge(Fields fields, long date, long asked, long came) {
        long apparent = date == HttpDate.NONE ? 0 : Math.max(0, came - date * SECOND);
        long delay = Math.max(0, came - asked);
        return Math.max(apparent, ageValue(fields) * SECOND + delay);
    }

    /** The first member of what the field says; nothing if that is invalid (section 5.1). */
    private static long ageValue(Fields fields) {
        String text = fields.first("age");
        if (text == null) {
            return 0;
        }
        int comma = text.indexOf(',');
        return Math.max(0, Delta.parse((comma < 0 ? text : text.substring(0, comma)).trim()));
    }

    /** Its age in milliseconds. */
    long ageMs(long now) {
        return initialAge + Math.max(0, now - came);
    }

    /** Its age in seconds, as the field {@code Age} has it; {@code now}: in milliseconds. */
    public long age(long now) {
        return Math.min(Delta.MOST, ageMs(now) / SECOND);
    }

    /** Whether it is fresh: its lifetime exceeds its age. */
    public boolean isFresh(long now) {
        return lifetime * SECOND > ageMs(now);
    }

    /** For how many milliseconds more it is fresh; negative for how long it has been stale. */
    public long left(long now) {
        return lifetime * SECOND - ageMs(now);
    }
}
