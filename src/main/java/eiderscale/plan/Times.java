package eiderscale.plan;

import java.util.Arrays;

/**
 * How long something takes, as a distribution on a grid of equal steps; what is longer than the grid is gathered in its last
 * place. Sums of independent times are convolutions.
 */
final class Times {
    /** Places of the grid. */
    static final int SIZE = 1200;
    /** Less than this in one place is passed over. */
    private static final double LEAST = 1e-10;

    private final double step;
    private final double[] parts;

    private Times(double step, double[] parts) {
        this.step = step;
        this.parts = parts;
    }

    /** A lognormal time. {@code cv}: standard deviation beside the mean; 0 for always the mean. */
    static Times lognormal(double step, double mean, double cv) {
        double[] parts = new double[SIZE];
        if (cv <= 0) {
            parts[place(step, mean)] = 1;
            return new Times(step, parts);
        }
        double variance = Math.log(1 + cv * cv);
        double location = Math.log(mean) - variance / 2;
        double before = 0;
        for (int i = 0; i < SIZE; i++) {
            double now = i == SIZE - 1 ? 1 : normal((Math.log((i + 0.5) * step) - location) / Math.sqrt(variance));
            parts[i] = now - before;
            before = now;
        }
        return new Times(step, parts);
    }

    /** None at all, but for this part, which has an exponential time. {@code mean}: over all of them. */
    static Times wait(double step, double part, double mean) {
        double[] parts = new double[SIZE];
        if (part <= 0 || mean <= 0) {
            parts[0] = 1;
            return new Times(step, parts);
        }
        double own = mean / part;
        double before = 1 - part;
        parts[0] = before;
        double last = before;
        for (int i = 0; i < SIZE; i++) {
            double now = i == SIZE - 1 ? 1 : 1 - part * Math.exp(-(i + 0.5) * step / own);
            parts[i] += now - last;
            last = now;
        }
        return new Times(step, parts);
    }

    private static int place(double step, double time) {
        return (int) Math.min(SIZE - 1, Math.round(time / step));
    }

    /** The normal distribution, by Abramowitz and Stegun's 26.2.17: good to 7.5e-8. */
    private static double normal(double x) {
        double t = 1 / (1 + 0.2316419 * Math.abs(x));
        double tail = Math.exp(-x * x / 2) / Math.sqrt(2 * Math.PI) * t * (0.319381530 + t * (-0.356563782 + t * (1.781477937
                + t * (-1.821255978 + t * 1.330274429))));
        return x >= 0 ? 1 - tail : tail;
    }

    /** This one and then another. */
    Times then(Times other) {
        if (other.kinds() < kinds()) {
            return other.then(this);
        }
        double[] sum = new double[SIZE];
        for (int i = 0; i < SIZE; i++) {
            double one = parts[i];
            if (one < LEAST) {
                continue;
            }
            int fits = SIZE - 1 - i;
            for (int j = 0; j < fits; j++) {
                sum[i + j] += one * other.parts[j];
            }
            for (int j = Math.max(0, fits); j < SIZE; j++) {
                sum[SIZE - 1] += one * other.parts[j];
            }
        }
        return new Times(step, sum);
    }

    /** How many places hold anything. */
    private long kinds() {
        return Arrays.stream(parts).filter(part -> part >= LEAST).count();
    }

    /** One of two kinds of times. {@code part}: of the other. */
    Times or(double part, Times other) {
        double[] mixed = new double[SIZE];
        for (int i = 0; i < SIZE; i++) {
            mixed[i] = (1 - part) * parts[i] + part * other.parts[i];
        }
        return new Times(step, mixed);
    }

    /** The sooner of this one and a second one like it that begins later by {@code delay}, for a part of all. */
    Times orCopy(double delay, double part) {
        double[] tail = tails();
        double[] mixed = new double[SIZE];
        int late = place(step, delay);
        double before = 1;
        for (int i = 0; i < SIZE; i++) {
            double copy = i <= late ? 1 : tail[i - late];
            double now = i == SIZE - 1 ? 0 : tail[i] * (1 - part + part * copy);
            mixed[i] = before - now;
            before = now;
        }
        return new Times(step, mixed);
    }

    private double[] tails() {
        double[] tail = new double[SIZE];
        double left = 1;
        for (int i = 0; i < SIZE; i++) {
            left -= parts[i];
            tail[i] = Math.max(0, left);
        }
        return tail;
    }

    /** Seconds within which this part of all is. */
    double quantile(double part) {
        double sum = 0;
        for (int i = 0; i < SIZE; i++) {
            sum += parts[i];
            if (sum >= part) {
                // Within its step, as if spread evenly.
                return Math.max(0, (i + 0.5 - (parts[i] > 0 ? (sum - part) / parts[i] : 0)) * step);
            }
        }
        return SIZE * step;
    }

    /** The part that takes no longer. */
    double within(double time) {
        int last = (int) Math.floor(time / step);
        return last >= SIZE - 1 ? 1 : Arrays.stream(parts, 0, last + 1).sum();
    }

    /** Seconds on average. */
    double mean() {
        double sum = 0;
        for (int i = 0; i < SIZE; i++) {
            sum += i * step * parts[i];
        }
        return sum;
    }
}
