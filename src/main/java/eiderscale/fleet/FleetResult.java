package eiderscale.fleet;

import eiderscale.config.Experiment;
import eiderscale.fleet.Tally.Of;
import eiderscale.lab.Auditor;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What came of one run on processes. */
public final class FleetResult {
    private final Experiment experiment;
    private final long operations;
    private final long served;
    private final Auditor.Findings findings;
    private final Tally tally;
    private final List<FleetRun.Life> lives;
    private final List<String> events;
    private final List<String> wrong;

    FleetResult(Experiment experiment, long operations, long served, Auditor.Findings findings, Tally tally, List<FleetRun.Life> lives,
                List<String> events, List<String> wrong) {
        this.experiment = experiment;
        this.operations = operations;
        this.served = served;
        this.findings = findings;
        this.tally = tally;
        this.lives = lives;
        this.events = events;
        this.wrong = wrong;
    }

    /** The part of operations that was served in time. */
    public double served() {
        return operations == 0 ? 1 : served / (double) operations;
    }

    /** How many operations clients began. */
    public long operations() {
        return operations;
    }

    /** What the auditor found. */
    public Auditor.Findings findings() {
        return findings;
    }

    /** Counts over time. */
    public Tally tally() {
        return tally;
    }

    /** From the first injury on; null where there is none. */
    public FullService fullService() {
        return experiment.injuries().stream().mapToLong(Experiment.Injury::at).min().stream()
                .mapToObj(at -> FullService.of(tally, experiment.settle(), at)).findFirst().orElse(null);
    }

    /** What does not hold of rules, processes and the experiment's limits; empty where all does. */
    public List<String> broken() {
        List<String> broken = new ArrayList<>(wrong);
        findings.broken().forEach((rule, count) -> broken.add(rule + ": " + count));
        if (served() < experiment.limits().served()) {
            broken.add(String.format(Locale.ROOT, "served: %.4f, at least %.4f is wanted", served(), experiment.limits().served()));
        }
        return broken;
    }

    /** Milliseconds from a process's start until it listened, over all that started again: the middle one and the last. */
    public double[] listening() {
        double[] ms = lives.stream().mapToDouble(life -> (life.listensAt() - life.execAt()) / 1e6).sorted().toArray();
        return ms.length == 0 ? new double[] {0, 0} : new double[] {ms[ms.length / 2], ms[ms.length - 1]};
    }

    /** In a few lines, and a table by quarters of a second where {@code table} says so. */
    public String text(boolean table) {
        StringBuilder text = new StringBuilder();
        events.forEach(event -> text.append(event).append('\n'));
        text.append(String.format(Locale.ROOT, "served %.4f of %d operations, p50 %.1f ms, p99 %.1f ms%n", served(), operations,
                tally.quantile(0.5, 0, tally.windows()), tally.quantile(0.99, 0, tally.windows())));
        double inVain = tally.sum(Of.IN_VAIN, 0, tally.windows());
        if (inVain > 0) {
            text.append(String.format(Locale.ROOT, "%.0f attempts reached hosts after their client's time was over%n", inVain));
        }
        double stale = tally.sum(Of.STALE, 0, tally.windows());
        if (stale > 0) {
            text.append(String.format(Locale.ROOT, "%.0f attempts reached hosts that had drained for longer than the grace%n", stale));
        }
        if (!lives.isEmpty()) {
            double[] first = lives.stream().filter(life -> life.servesAt() >= 0)
                    .mapToDouble(life -> (life.servesAt() - life.listensAt()) / 1e6).sorted().toArray();
            text.append(String.format(Locale.ROOT, "%d started again: listen after %.0f ms (the middle one), %.0f ms (the last); first "
                    + "served %.0f ms later (the middle one)%n", lives.size(), listening()[0], listening()[1],
                    first.length == 0 ? Double.NaN : first[first.length / 2]));
        }
        FullService full = fullService();
        if (full != null) {
            text.append(full.after() < 0 ? String.format(Locale.ROOT, "not back in full by the end (%s), %.0f operations lost beside before%n",
                    full.cause(), full.lost()) : String.format(Locale.ROOT, "full service after %.2f s%s, %.0f operations lost beside before%n",
                    full.after() / 1e9, full.cause().isEmpty() ? "" : " (held back by " + full.cause() + ")", full.lost()));
        }
        if (table) {
            text.append("   from   asked served refused failed  shut  sends   cold   room opened  calls  cpu ms  p99 ms\n");
            for (int i = 0; i < tally.windows() - 1; i++) {
                text.append(String.format(Locale.ROOT, "%7.2f %7.0f %6.0f %7.0f %6.0f %5.0f %6.0f %6.0f %6.0f %6.0f %6.0f %7.0f %7.1f%n",
                        i * Tally.WINDOW / 1e9, tally.of(Of.ASKED, i), tally.of(Of.SERVED, i), tally.of(Of.REFUSED, i), tally.of(Of.FAILED, i),
                        tally.of(Of.SHUT, i), tally.of(Of.SENDS, i), tally.of(Of.COLD_SENDS, i), tally.of(Of.COLD_ROOM, i),
                        tally.of(Of.OPENED, i), tally.of(Of.CALLS, i), tally.of(Of.CPU_MS, i), tally.quantile(0.99, i, i + 1)));
            }
        }
        List<String> broken = broken();
        text.append(broken.isEmpty() ? "all rules held\n" : "BROKEN: " + String.join("; ", broken) + "\n");
        findings.examples().forEach(example -> text.append("  ").append(example).append('\n'));
        return text.toString();
    }
}
