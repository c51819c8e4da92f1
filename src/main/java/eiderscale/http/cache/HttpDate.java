package eiderscale.http.cache;

import java.util.List;

/**
 * Dates as HTTP writes them (RFC 9110 section 5.6.7): the preferred form is written, the two obsolete ones are read as
 * well. In seconds since the epoch.
 */
public final class HttpDate {
    /** What is no date. */
    public static final long NONE = Long.MIN_VALUE;

    private static final List<String> MONTHS = List.of("Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct",
            "Nov", "Dec");
    private static final List<String> DAYS = List.of("Sun", "Mon", "Tue", "Wed", "Thu", "Fri", "Sat");
    private static final List<String> LONG_DAYS = List.of("Sunday", "Monday", "Tuesday", "Wednesday", "Thursday", "Friday",
            "Saturday");
    private static final int DAY = 86_400;
    private static final int MOST_LENGTH = 40;

    private HttpDate() {
    }

    /**
     * Reads a date, or {@link #NONE}. {@code now}: a year of two digits is the one that is not over 50 years ahead of
     * it.
     */
    public static long parse(String text, long now) {
        if (text == null || text.length() > MOST_LENGTH) {
            return NONE;
        }
        String[] words = text.trim().split(" +");
        if (words.length == 6 && words[0].length() == 4 && words[0].endsWith(",") && words[5].equals("GMT")) {
            // Sun, 06 Nov 1994 08:49:37 GMT
            return DAYS.contains(words[0].substring(0, 3)) ? date(words[3], words[2], words[1], words[4], 4, 2) : NONE;
        }
        if (words.length == 4 && words[0].endsWith(",") && words[3].equals("GMT")) {
            // Sunday, 06-Nov-94 08:49:37 GMT
            String[] parts = words[1].split("-", -1);
            if (parts.length != 3 || !LONG_DAYS.contains(words[0].substring(0, words[0].length() - 1))) {
                return NONE;
            }
            return century(date(parts[2], parts[1], parts[0], words[2], 2, 2), now);
        }
        if (words.length == 5) {
            // Sun Nov  6 08:49:37 1994
            return DAYS.contains(words[0]) ? date(words[4], words[1], words[2], words[3], 4, words[2].length()) : NONE;
        }
        return NONE;
    }

    private static long century(long inFirst, long now) {
        if (inFirst == NONE) {
            return NONE;
        }
        // The date was read as one of the years 0 to 99.
        int[] read = civil(Math.floorDiv(inFirst, DAY));
        int[] today = civil(Math.floorDiv(now, DAY));
        long limit = days(today[0] + 50, today[1], today[2]) * DAY + Math.floorMod(now, (long) DAY);
        int century = today[0] - Math.floorMod(today[0], 100);
        // The latest that is no more than 50 years ahead.
        for (int year = century + 100 + read[0]; true; year -= 100) {
            long moment = days(year, read[1], read[2]) * DAY + Math.floorMod(inFirst, (long) DAY);
            if (moment <= limit) {
                return read[1] == 2 && read[2] == 29 && !isLeap(year) ? NONE : moment;
            }
        }
    }

    private static long date(String year, String month, String day, String time, int yearDigits, int dayDigits) {
        int y = digits(year, yearDigits);
        int m = MONTHS.indexOf(month) + 1;
        int d = digits(day, dayDigits);
        if (y < 0 || m == 0 || d < 1 || d > 31 || time.length() != 8 || time.charAt(2) != ':' || time.charAt(5) != ':') {
            return NONE;
        }
        int hours = digits(time.substring(0, 2), 2);
        int minutes = digits(time.substring(3, 5), 2);
        int seconds = digits(time.substring(6), 2);
        // A leap second is allowed, and counts as the second before the next minute's first.
        if (hours < 0 || hours > 23 || minutes < 0 || minutes > 59 || seconds < 0 || seconds > 60) {
            return NONE;
        }
        long days = days(y, m, d);
        int[] back = civil(days);
        if (back[1] != m || back[2] != d) {
            return NONE;
        }
        return days * DAY + hours * 3600L + minutes * 60L + Math.min(59, seconds);
    }

    private static int digits(String text, int count) {
        if (text.length() != count || count == 0 || count > 4) {
            return -1;
        }
        int number = 0;
        for (int i = 0; i < count; i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return -1;
            }
            number = number * 10 + (c - '0');
        }
        return number;
    }

    private static boolean isLeap(int year) {
        return year % 4 == 0 && (year % 100 != 0 || year % 400 == 0);
    }

    /** Days from the epoch to a day of the Gregorian calendar; the year begins in March, so that leap days end it. */
    private static long days(int year, int month, int day) {
        long y = month <= 2 ? year - 1L : year;
        long era = Math.floorDiv(y, 400L);
        long ofEra = y - era * 400;
        long ofYear = (153L * (month + (month > 2 ? -3 : 9)) + 2) / 5 + day - 1;
        return era * 146_097 + ofEra * 365 + ofEra / 4 - ofEra / 100 + ofYear - 719_468;
    }

    /** Year, month and day of a day from the epoch. */
    private static int[] civil(long days) {
        long z = days + 719_468;
        long era = Math.floorDiv(z, 146_097L);
        long ofEra = z - era * 146_097;
        long yearOfEra = (ofEra - ofEra / 1460 + ofEra / 36_524 - ofEra / 146_096) / 365;
        long ofYear = ofEra - (365 * yearOfEra + yearOfEra / 4 - yearOfEra / 100);
        long month = (5 * ofYear + 2) / 153;
        int day = (int) (ofYear - (153 * month + 2) / 5 + 1);
        int m = (int) (month < 10 ? month + 3 : month - 9);
        return new int[] {(int) (yearOfEra + era * 400 + (m <= 2 ? 1 : 0)), m, day};
    }

    /** Writes a date in the preferred form. */
    public static String format(long seconds) {
        long days = Math.floorDiv(seconds, DAY);
        int time = (int) Math.floorMod(seconds, (long) DAY);
        int[] civil = civil(days);
        StringBuilder text = new StringBuilder(29).append(DAYS.get((int) Math.floorMod(days + 4, 7L))).append(", ");
        two(text, civil[2]).append(' ').append(MONTHS.get(civil[1] - 1)).append(' ');
        two(text, civil[0] / 100);
        two(text, civil[0] % 100).append(' ');
        two(text, time / 3600).append(':');
        two(text, time / 60 % 60).append(':');
        return two(text, time % 60).append(" GMT").toString();
    }

    private static StringBuilder two(StringBuilder text, int number) {
        return text.append((char) ('0' + number / 10)).append((char) ('0' + number % 10));
    }
}
