package eiderscale.lab.report;

import com.fasterxml.jackson.jr.ob.JSON;
import eiderscale.config.ConfigException;
import eiderscale.config.Experiment;
import eiderscale.lab.Auditor;
import eiderscale.lab.RunResult;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Runs as they are kept on disk: one JSON object a line, so that a file that ends in half a line holds all before it. */
public final class Results {
    private static final int STEPS_A_SECOND = 10;

    /** One run of one variant. {@code values}: its figures by name. {@code broken}: what did not hold. */
    public record One(String variant, long seed, Map<String, Double> values, List<String> broken, List<String> examples,
                      String digest, Map<String, double[]> series) {
        /** A figure by its name. */
        public double value(String name) {
            Double value = values.get(name);
            if (value == null) {
                throw new ConfigException("no figure is called '" + name + "': " + String.join(", ", values.keySet()));
            }
            return value;
        }
    }

    private Results() {
    }

    /** What is kept of a run. */
    static One of(Experiment.Variant variant, long seed, RunResult run, Experiment.Limits limits) {
        Map<String, Double> values = new LinkedHashMap<>();
        values.put("served", run.served());
        values.put("refused", run.refused());
        values.put("failed", run.failed());
        values.put("worst-second", run.worstSecond());
        values.put("last-tenth", run.lastTenth());
        values.put("p50", run.p50());
        values.put("p99", run.p99());
        values.put("p999", run.p999());
        values.put("attempts", run.attempts());
        values.put("hits", run.hits());
        values.put("ledger", (double) run.ledgerPeak());
        values.put("asked", (double) run.asked());
        values.put("events", (double) run.events());
        Auditor.Findings found = run.findings();
        values.put("lost", (double) found.lost());
        values.put("doubled", (double) found.doubled());
        values.put("drained", (double) found.drained());
        values.put("cold", (double) found.cold());
        values.put("stale", (double) found.stale());
        Map<String, double[]> series = new LinkedHashMap<>();
        run.series().forEach((name, steps) -> series.put(name, seconds(steps)));
        series.put("p50", run.p50s());
        series.put("p99", run.p99s());
        List<String> broken = new ArrayList<>(run.broken(limits));
        if (run.full()) {
            broken.add("ended after most-requests");
        }
        return new One(variant.name(), seed, values, broken, found.examples(), run.digest(), series);
    }

    private static double[] seconds(long[] steps) {
        double[] seconds = new double[(steps.length + STEPS_A_SECOND - 1) / STEPS_A_SECOND];
        for (int i = 0; i < steps.length; i++) {
            seconds[i / STEPS_A_SECOND] += steps[i];
        }
        return seconds;
    }

    /** Adds a line to a file. */
    static void append(Path file, One one) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("variant", one.variant);
        map.put("seed", one.seed);
        map.put("digest", one.digest);
        map.put("values", one.values);
        map.put("broken", one.broken);
        map.put("examples", one.examples);
        map.put("series", one.series);
        Files.write(file, (JSON.std.asString(map) + "\n").getBytes(StandardCharsets.UTF_8), StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    /** Reads a file; half a line at its end, as a run that was cut off leaves it, is passed over. */
    public static List<One> read(Path file) throws IOException {
        List<One> all = new ArrayList<>();
        String text = Files.readString(file);
        int line = 0;
        for (String one : text.split("\n")) {
            line++;
            if (one.isBlank()) {
                continue;
            }
            try {
                all.add(parse(JSON.std.mapFrom(one)));
            } catch (IOException | ClassCastException | NullPointerException e) {
                if (line < text.lines().count()) {
                    throw new ConfigException(file + ":" + line + ": no run of the laboratory");
                }
            }
        }
        return all;
    }

    private static One parse(Map<String, Object> map) {
        Map<String, Double> values = new LinkedHashMap<>();
        ((Map<?, ?>) map.get("values")).forEach((name, value) -> values.put((String) name, ((Number) value).doubleValue()));
        Map<String, double[]> series = new LinkedHashMap<>();
        ((Map<?, ?>) map.get("series")).forEach((name, list) -> series.put((String) name,
                ((List<?>) list).stream().mapToDouble(value -> ((Number) value).doubleValue()).toArray()));
        return new One((String) map.get("variant"), ((Number) map.get("seed")).longValue(), values, texts(map.get("broken")),
                texts(map.get("examples")), (String) map.get("digest"), series);
    }

    private static List<String> texts(Object list) {
        return ((List<?>) list).stream().map(String::valueOf).toList();
    }

    /** The runs by variant, in the order in which they first stand. */
    public static Map<String, List<One>> byVariant(List<One> all) {
        Map<String, List<One>> by = new LinkedHashMap<>();
        all.forEach(one -> by.computeIfAbsent(one.variant, name -> new ArrayList<>()).add(one));
        return by;
    }

    /** The mean of a figure. */
    public static double mean(List<One> runs, String value) {
        return runs.stream().mapToDouble(one -> one.value(value)).average().orElse(0);
    }

    /** The lowest or the highest of a figure. */
    public static double worst(List<One> runs, String value, boolean lowest) {
        double[] sorted = runs.stream().mapToDouble(one -> one.value(value)).sorted().toArray();
        return sorted.length == 0 ? 0 : lowest ? sorted[0] : sorted[sorted.length - 1];
    }

    /** All figures as comma separated values. */
    public static String csv(List<One> all) {
        StringBuilder text = new StringBuilder();
        for (One one : all) {
            if (text.isEmpty()) {
                text.append("variant,seed,digest,broken,").append(String.join(",", one.values.keySet())).append('\n');
            }
            text.append('"').append(one.variant.replace("\"", "\"\"")).append("\",").append(one.seed).append(',').append(one.digest)
                    .append(',').append(one.broken.size());
            one.values.values().forEach(value -> text.append(String.format(Locale.ROOT, ",%.6f", value)));
            text.append('\n');
        }
        return text.toString();
    }

    /** The mean over runs of a series, by the second. */
    static double[] meanSeries(List<One> runs, String name) {
        int length = runs.stream().mapToInt(one -> one.series.get(name).length).min().orElse(0);
        double[] mean = new double[length];
        for (One one : runs) {
            double[] series = one.series.get(name);
            for (int i = 0; i < length; i++) {
                mean[i] += series[i] / runs.size();
            }
        }
        return Arrays.copyOf(mean, length);
    }
}
