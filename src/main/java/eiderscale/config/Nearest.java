package eiderscale.config;

/** The right name that a wrong one may have been meant for. */
final class Nearest {
    /** A name is likely meant if no more than a third of its letters, and one at least, are wrong. */
    private static final int LETTERS_PER_SLIP = 3;
    private static final int MOST_LENGTH = 64;

    private Nearest() {
    }

    /** The nearest of the names; null if none is near. */
    static String to(String name, Iterable<String> names) {
        String best = null;
        int least = Math.max(1, name.length() / LETTERS_PER_SLIP) + 1;
        if (name.length() > MOST_LENGTH) {
            return null;
        }
        for (String candidate : names) {
            if (Math.abs(candidate.length() - name.length()) < least) {
                int distance = distance(name, candidate);
                if (distance < least) {
                    least = distance;
                    best = candidate;
                }
            }
        }
        return best;
    }

    /** Letters to insert, drop, replace or swap with their neighbour (optimal string alignment). */
    static int distance(String a, String b) {
        int[][] d = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            for (int j = 0; j <= b.length(); j++) {
                if (i == 0 || j == 0) {
                    d[i][j] = i + j;
                    continue;
                }
                int same = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                d[i][j] = Math.min(Math.min(d[i - 1][j], d[i][j - 1]) + 1, d[i - 1][j - 1] + same);
                if (i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1)) {
                    d[i][j] = Math.min(d[i][j], d[i - 2][j - 2] + 1);
                }
            }
        }
        return d[a.length()][b.length()];
    }
}
