package eiderscale.lab.report;

import eiderscale.config.Experiment;
import eiderscale.lab.RunResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A failing run's script of injuries cut down to what still fails: halves, then smaller parts are left out as long as the run
 * fails without them (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002: ddmin).
 */
public final class Shrink {
    private final Bench bench;
    private final Experiment.Variant variant;
    private final long seed;
    private int runs;

    /** Of one variant and seed. */
    public Shrink(Bench bench, Experiment.Variant variant, long seed) {
        this.bench = bench;
        this.variant = variant;
        this.seed = seed;
    }

    /** How many runs it has taken. */
    public int runs() {
        return runs;
    }

    private List<String> broken(List<Experiment.Injury> script) {
        runs++;
        RunResult run = bench.world(variant, seed).injured(script).run();
        return run.broken(bench.experiment().limits());
    }

    /** What still fails; null if all of it does not. {@code told}: of each step. */
    public List<Experiment.Injury> shrink(Consumer<String> told) {
        List<Experiment.Injury> left = bench.experiment().injuries();
        List<String> first = broken(left);
        if (first.isEmpty()) {
            return null;
        }
        told.accept(left.size() + " injuries fail: " + String.join("; ", first));
        int parts = 2;
        while (!left.isEmpty()) {
            boolean smaller = false;
            int size = Math.max(1, (left.size() + parts - 1) / parts);
            for (int from = 0; from < left.size() && !smaller; from += size) {
                List<Experiment.Injury> without = new ArrayList<>(left);
                without.subList(from, Math.min(left.size(), from + size)).clear();
                if (!broken(without).isEmpty()) {
                    left = without;
                    parts = Math.max(2, parts - 1);
                    smaller = true;
                    told.accept(left.size() + " injuries still fail");
                }
            }
            if (!smaller && size == 1) {
                break;
            }
            parts = smaller ? parts : Math.min(Math.max(2, left.size()), 2 * parts);
        }
        return left;
    }
}
