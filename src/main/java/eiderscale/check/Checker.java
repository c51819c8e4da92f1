package eiderscale.check;

import eiderscale.check.Event.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Tries every order of events breadth first, so that the first trace to a broken rule is a shortest one. The module cannot be
 * copied, so that each state is reached by playing its events from the beginning (stateless search); states that were seen
 * are left out by their fingerprints (hash compaction: with n states the chance that any was left out wrongly is under
 * n * n / 2^65).
 */
public final class Checker {
    /** Told now and then. */
    public interface Progress {
        /** False ends the search. */
        boolean goesOn(long states, long transitions, int depth);
    }

    /**
     * What was found. {@code depth}: events to the farthest state; {@code exhausted}: no state within the bounds is left;
     * {@code violation}: null for none; {@code coverage}: how often each kind of event was tried.
     */
    public record Result(long states, long transitions, int depth, boolean exhausted, Violation violation, Map<Kind, Long> coverage) {
    }

    private static final int TELL_EVERY = 256;

    private final Bounds bounds;
    private final SmallWorld.Parts parts;
    private final Map<Kind, Long> coverage = new EnumMap<>(Kind.class);
    /** Of each state the one before it, and which of that one's events led here. */
    private int[] parents = new int[1 << 12];
    private short[] choices = new short[1 << 12];
    private int size;

    /** {@code parts}: those that serve, or wrong ones in tests. */
    public Checker(Bounds bounds, SmallWorld.Parts parts) {
        this.bounds = bounds;
        this.parts = parts;
    }

    /** Searches until nothing is left, a rule is broken, {@code most} states were seen or {@code progress} ends it. */
    public Result search(int most, Progress progress) {
        Seen seen = new Seen();
        seen.add(new SmallWorld(bounds, parts).fingerprint());
        add(-1, 0);
        long transitions = 0;
        int deepest = 0;
        boolean cut = false;
        for (int at = 0; at < size; at++) {
            int[] path = path(at);
            if (at % TELL_EVERY == 0 && !progress.goesOn(size, transitions, path.length)) {
                return new Result(size, transitions, deepest, false, null, coverage);
            }
            if (path.length >= bounds.depth()) {
                cut |= !replay(path).next().isEmpty();
                continue;
            }
            deepest = Math.max(deepest, path.length);
            int branches = 1;
            for (int i = 0; i < branches; i++) {
                SmallWorld world = replay(path);
                List<Event> next = world.next();
                branches = next.size();
                if (branches == 0) {
                    break;
                }
                transitions++;
                coverage.merge(next.get(i).kind(), 1L, Long::sum);
                world.play(next.get(i));
                if (world.broken() != null) {
                    return new Result(size, transitions, path.length + 1, false, violation(world.broken(), path, i), coverage);
                }
                if (seen.add(world.fingerprint())) {
                    if (size >= most) {
                        return new Result(size, transitions, deepest, false, null, coverage);
                    }
                    add(at, i);
                }
            }
        }
        return new Result(size, transitions, deepest, !cut, null, coverage);
    }

    private void add(int parent, int choice) {
        if (size == parents.length) {
            parents = Arrays.copyOf(parents, size * 2);
            choices = Arrays.copyOf(choices, size * 2);
        }
        parents[size] = parent;
        choices[size++] = (short) choice;
    }

    private int[] path(int at) {
        int length = 0;
        for (int i = at; parents[i] >= 0; i = parents[i]) {
            length++;
        }
        int[] path = new int[length];
        for (int i = at; parents[i] >= 0; i = parents[i]) {
            path[--length] = choices[i];
        }
        return path;
    }

    private SmallWorld replay(int[] path) {
        SmallWorld world = new SmallWorld(bounds, parts);
        for (int choice : path) {
            world.play(world.next().get(choice));
        }
        return world;
    }

    private Violation violation(String rule, int[] path, int last) {
        List<Event> trace = new ArrayList<>();
        SmallWorld world = new SmallWorld(bounds, parts);
        for (int choice : path) {
            Event event = world.next().get(choice);
            trace.add(event);
            world.play(event);
        }
        trace.add(world.next().get(last));
        return new Violation(rule, trace);
    }

    /** The rule that a trace breaks, passing over events that are not possible where they stand; null for none. */
    public String replay(List<Event> trace) {
        SmallWorld world = new SmallWorld(bounds, parts);
        for (Event event : trace) {
            if (world.next().contains(event)) {
                world.play(event);
                if (world.broken() != null) {
                    return world.broken();
                }
            }
        }
        return null;
    }

    /** Walks at random, for worlds that are too large to be searched: a violation's trace is cut to what it needs. */
    public Result walk(long walks, long seed, Progress progress) {
        SplittableRandom random = new SplittableRandom(seed);
        long transitions = 0;
        int deepest = 0;
        Seen seen = new Seen();
        for (long i = 0; i < walks; i++) {
            if (i % TELL_EVERY == 0 && !progress.goesOn(seen.size(), transitions, deepest)) {
                return new Result(seen.size(), transitions, deepest, false, null, coverage);
            }
            SmallWorld world = new SmallWorld(bounds, parts);
            List<Event> trace = new ArrayList<>();
            for (List<Event> next = world.next(); !next.isEmpty() && trace.size() < bounds.depth(); next = world.next()) {
                Event event = next.get(random.nextInt(next.size()));
                trace.add(event);
                transitions++;
                coverage.merge(event.kind(), 1L, Long::sum);
                world.play(event);
                seen.add(world.fingerprint());
                if (world.broken() != null) {
                    return new Result(seen.size(), transitions, trace.size(), false, shrink(trace), coverage);
                }
            }
            deepest = Math.max(deepest, trace.size());
        }
        return new Result(seen.size(), transitions, deepest, false, null, coverage);
    }

    /** Leaves out events, more at a time first, as long as some rule is still broken (delta debugging, Zeller 1999). */
    Violation shrink(List<Event> found) {
        List<Event> trace = new ArrayList<>(found);
        for (int some = Math.max(1, trace.size() / 2); some > 0; some /= 2) {
            for (int at = 0; at + some <= trace.size();) {
                List<Event> less = new ArrayList<>(trace.subList(0, at));
                less.addAll(trace.subList(at + some, trace.size()));
                if (replay(less) != null) {
                    trace = less;
                } else {
                    at += some;
                }
            }
        }
        return new Violation(replay(trace), possible(trace));
    }

    private List<Event> possible(List<Event> trace) {
        SmallWorld world = new SmallWorld(bounds, parts);
        List<Event> played = new ArrayList<>();
        for (Event event : trace) {
            if (world.broken() == null && world.next().contains(event)) {
                world.play(event);
                played.add(event);
            }
        }
        return played;
    }
}
