package eiderscale.lab.report;

import eiderscale.config.Experiment;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** All runs of an experiment, on so many threads; each line is on disk before the next run of its thread begins. */
public final class Campaign {
    private record Job(Experiment.Variant variant, long seed) {
    }

    private final Bench bench;
    private final Path folder;
    private final int jobs;
    private final PrintWriter progress;

    /** {@code progress}: where the bar goes; null for none. */
    public Campaign(Bench bench, Path folder, int jobs, PrintWriter progress) {
        this.bench = bench;
        this.folder = folder;
        this.jobs = jobs;
        this.progress = progress;
    }

    /** The file that holds the runs. */
    public Path file() {
        return folder.resolve("runs.jsonl");
    }

    /**
     * Runs what is not there yet. {@code resume}: goes on with what the folder holds; otherwise it begins anew. An
     * interrupt ends it with what is done.
     */
    public List<Results.One> run(int seeds, boolean resume) throws IOException {
        Files.createDirectories(folder);
        Set<String> done = new HashSet<>();
        List<Results.One> all = new ArrayList<>();
        if (resume && Files.exists(file())) {
            all.addAll(Results.read(file()));
            Files.delete(file());
            for (Results.One one : all) {
                // Half a line at the end goes with this.
                Results.append(file(), one);
                done.add(one.variant() + " " + one.seed());
            }
        } else {
            Files.deleteIfExists(file());
        }
        List<Job> todo = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            long seed = bench.experiment().firstSeed() + i;
            for (Experiment.Variant variant : bench.experiment().variants()) {
                if (!done.contains(variant.name() + " " + seed)) {
                    todo.add(new Job(variant, seed));
                }
            }
        }
        work(todo, all);
        return all;
    }

    private void work(List<Job> todo, List<Results.One> all) throws IOException {
        ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, Math.min(jobs, todo.size())));
        ExecutorCompletionService<Results.One> service = new ExecutorCompletionService<>(pool);
        long begun = System.nanoTime();
        try {
            for (Job job : todo) {
                service.submit(() -> Results.of(job.variant, job.seed, bench.run(job.variant, job.seed), bench.experiment().limits()));
            }
            for (int i = 0; i < todo.size(); i++) {
                Future<Results.One> next = service.take();
                Results.One one = next.get();
                Results.append(file(), one);
                all.add(one);
                bar(i + 1, todo.size(), (System.nanoTime() - begun) / 1e9);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run ended badly", e.getCause());
        } finally {
            pool.shutdownNow();
            try {
                pool.awaitTermination(1, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void bar(int done, int all, double seconds) {
        if (progress != null) {
            int filled = 30 * done / all;
            progress.printf(Locale.ROOT, "\r[%s%s] %d of %d, %.0f s left   ", "#".repeat(filled), ".".repeat(30 - filled), done, all,
                    seconds / done * (all - done));
            if (done == all) {
                progress.println();
            }
            progress.flush();
        }
    }
}
