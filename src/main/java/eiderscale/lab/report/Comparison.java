package eiderscale.lab.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Two variants seed by seed: both had the same luck, so that the difference is the settings'. The interval is a percentile
 * bootstrap of the mean difference over seeds (Efron, 1979).
 */
public final class Comparison {
    private static final int RESAMPLES = 4000;

    /** One figure. {@code low}, {@code high}: 95% of the bootstrap; {@code up}, {@code down}: seeds that went which way. */
    public record Row(String value, int pairs, double first, double second, double difference, double low, double high,
                      List<Long> up, List<Long> down) {
        /** In one line. */
        public String text() {
            return String.format(Locale.ROOT, "%-13s %12.4f %12.4f  %+12.4f  (%+.4f to %+.4f)  up %d, down %d of %d%s", value, first,
                    second, difference, low, high, up.size(), down.size(), pairs, low > 0 || high < 0 ? "" : "  not told apart");
        }
    }

    private Comparison() {
    }

    /** Compares by each of these figures; seeds that only one of the two has are passed over. */
    public static List<Row> of(List<Results.One> first, List<Results.One> second, List<String> values) {
        Map<Long, Results.One> bySeed = new HashMap<>();
        second.forEach(one -> bySeed.put(one.seed(), one));
        List<Results.One> left = first.stream().filter(one -> bySeed.containsKey(one.seed())).toList();
        List<Row> rows = new ArrayList<>();
        for (String value : values) {
            double[] differences = new double[left.size()];
            double one = 0;
            double other = 0;
            List<Long> up = new ArrayList<>();
            List<Long> down = new ArrayList<>();
            for (int i = 0; i < left.size(); i++) {
                double a = left.get(i).value(value);
                double b = bySeed.get(left.get(i).seed()).value(value);
                one += a / left.size();
                other += b / left.size();
                differences[i] = b - a;
                if (b != a) {
                    (b > a ? up : down).add(left.get(i).seed());
                }
            }
            double[] interval = bootstrap(differences);
            rows.add(new Row(value, left.size(), one, other, other - one, interval[0], interval[1], up, down));
        }
        return rows;
    }

    static double[] bootstrap(double[] differences) {
        if (differences.length == 0) {
            return new double[2];
        }
        UniformRandomProvider luck = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {1, 2});
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            for (int j = 0; j < differences.length; j++) {
                means[i] += differences[luck.nextInt(differences.length)] / differences.length;
            }
        }
        Arrays.sort(means);
        return new double[] {means[RESAMPLES / 40], means[RESAMPLES - 1 - RESAMPLES / 40]};
    }
}
