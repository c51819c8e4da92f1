package eiderscale.cli;

import eiderscale.config.Experiment;
import eiderscale.lab.report.Results;
import java.util.List;
import java.util.Locale;

/** Results of the laboratory on a terminal. */
final class ResultsText {
    private ResultsText() {
    }

    static String csv(List<Results.One> runs) {
        return Results.csv(runs);
    }

    /** A line for each variant, and what did not hold. */
    static String table(Experiment experiment, List<Results.One> runs) {
        StringBuilder text = new StringBuilder(experiment.name() + ": " + experiment.proves() + "\n");
        text.append(String.format(Locale.ROOT, "%-40s %5s %8s %8s %8s %8s %9s %9s %9s%n", "variant", "runs", "served", "lowest", "worst s",
                "refused", "p50 ms", "p99 ms", "attempts"));
        Results.byVariant(runs).forEach((name, of) -> text.append(String.format(Locale.ROOT, "%-40s %5d %8.4f %8.4f %8.3f %8.4f %9.2f %9.2f %9.3f%n",
                name, of.size(), Results.mean(of, "served"), Results.worst(of, "served", true), Results.worst(of, "worst-second", true),
                Results.mean(of, "refused"), Results.mean(of, "p50"), Results.mean(of, "p99"), Results.mean(of, "attempts"))));
        runs.stream().filter(one -> !one.broken().isEmpty()).limit(10).forEach(one -> text.append(one.variant()).append(", seed ")
                .append(one.seed()).append(": ").append(String.join("; ", one.broken())).append('\n'));
        return text.toString();
    }
}
