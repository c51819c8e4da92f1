package eiderscale.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * How requests fall on keys, as classes of keys that are wanted alike, the most wanted first. The parts of all classes make 1.
 */
public record Popularity(List<Keys> classes) {
    /** So many keys, which have this part of all requests together. */
    public record Keys(double count, double part) {
    }

    /** Ranks up to this one are told apart; those behind are gathered into classes that widen by this factor. */
    private static final int APART = 64;
    private static final double WIDER = 1.15;

    /**
     * Zipf's law over so many keys, and one further key that has the part {@code hot} of all requests. {@code exponent}: 0 for
     * keys that are wanted alike.
     */
    public static Popularity zipf(long keys, double exponent, double hot) {
        List<Keys> classes = new ArrayList<>();
        if (hot > 0) {
            classes.add(new Keys(1, hot));
        }
        List<double[]> found = new ArrayList<>();
        double sum = 0;
        long rank = 1;
        while (rank <= keys) {
            long last = rank <= APART ? rank : Math.min(keys, (long) Math.max(rank, rank * WIDER));
            double weight = weight(rank, last, exponent);
            found.add(new double[] {last - rank + 1, weight});
            sum += weight;
            rank = last + 1;
        }
        for (double[] one : found) {
            classes.add(new Keys(one[0], one[1] / sum * (1 - hot)));
        }
        return new Popularity(List.copyOf(classes));
    }

    /** The sum of rank^-exponent, by the midpoint rule for wide classes. */
    private static double weight(long first, long last, double exponent) {
        if (first == last) {
            return Math.pow(first, -exponent);
        }
        double from = first - 0.5;
        double to = last + 0.5;
        return Math.abs(exponent - 1) < 1e-9 ? Math.log(to / from)
                : (Math.pow(to, 1 - exponent) - Math.pow(from, 1 - exponent)) / (1 - exponent);
    }

    /** The part of all requests that the most wanted key has. */
    public double top() {
        return classes.stream().mapToDouble(one -> one.part() / one.count()).max().orElse(0);
    }
}
