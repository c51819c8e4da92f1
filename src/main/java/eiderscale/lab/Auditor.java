package eiderscale.lab;

import eiderscale.Api;
import eiderscale.config.Experiment;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Sees only what goes over the wires, and counts where one of the four rules is broken, and where a read was answered by what
 * was fetched before a write that its balancer had acknowledged. The laboratory's world and fleets of processes are judged by
 * the same one. One thread; times in nanoseconds of the clock that it is given.
 */
public final class Auditor {
    /** One request as its client sent it. */
    public interface Subject {
        /** Its number, another for each try. */
        long id();

        /** What it is about. */
        long key();

        /** The number of its class. */
        int requestClass();

        /** Whether it changes anything. */
        boolean write();

        /** Until when its client waits. */
        long deadline();

        /** The number of the balancer that it was sent to. */
        int balancer();

        /** Whether its balancer had answered it so long ago that nothing of it can be on its way still. */
        boolean isAnswered();

        /** What its client wants, over all tries. */
        Effect effect();
    }

    /** What a client wants done once, whatever becomes of its tries: what the auditor knows of that. */
    public static class Effect {
        final long number;
        int runs;
        long firstRunAt;
        boolean doubled;

        /** {@code number}: another for each. */
        public Effect(long number) {
            this.number = number;
        }
    }

    /** A cache host. */
    public interface Target {
        /** Its number. */
        int number();

        /** What it is called. */
        String name();

        /** What it is made like. */
        Experiment.Hosts kind();

        /** When its process started; {@link Long#MIN_VALUE} for long ago. */
        long startedAt();

        /** The part of its speed that it has, from its cold share to 1. */
        default double speed(long now) {
            return kind().speed(startedAt() == Long.MIN_VALUE ? Long.MAX_VALUE : now - startedAt());
        }

        /** Whether it has started lately and has not all of its speed. */
        default boolean isCold(long now) {
            return speed(now) < 1;
        }

        /** Requests that it could do within {@code span} if it went on as it is. */
        default double canDo(long now, long span) {
            return kind().canDo(speed(now), span);
        }
    }

    /** What has been found. {@code examples}: the first few, in words. */
    public record Findings(long lost, long answeredTwice, long doubled, long drained, long cold, long sentAfter, long stale,
                           List<String> examples) {
        /** What was broken, how often; empty where all rules were kept. */
        public Map<String, Long> broken() {
            Map<String, Long> rules = new LinkedHashMap<>();
            rules.put("lost", lost);
            rules.put("answered twice", answeredTwice);
            rules.put("doubled", doubled);
            rules.put("sent into a drain", drained);
            rules.put("cold hosts over their allowance", cold);
            rules.put("sent after the answer", sentAfter);
            rules.put("older than an acknowledged write", stale);
            rules.values().removeIf(count -> count == 0);
            return rules;
        }

        /** Whether all rules were kept. */
        public boolean clean() {
            return lost + answeredTwice + doubled + drained + cold + sentAfter + stale == 0;
        }
    }

    /** Each time limit is so much longer, in nanoseconds. */
    public static final long SLACK = 50_000_000L;
    private static final int MOST_EXAMPLES = 10;
    /** Chance: requests beyond the allowance of a cold host that a window may bring. */
    private static final double COLD_SLACK = 8;

    private static final class Window {
        final Deque<Long> times = new ArrayDeque<>();
        boolean told;
    }

    private record Drain(int balancer, int host) {
    }

    private final LongSupplier clock;
    private final long slack;
    private final Api.Settings settings;
    private final Map<Subject, Boolean> open = new HashMap<>();
    private final Map<Drain, Long> drains = new HashMap<>();
    private final Map<Target, Window> cold = new HashMap<>();
    private final List<Map<Long, Long>> acknowledged = new ArrayList<>();
    private final List<String> examples = new ArrayList<>();
    private long lost;
    private long answeredTwice;
    private long doubled;
    private long drained;
    private long coldHits;
    private long sentAfter;
    private long stale;

    /** {@code slack}: how much longer each time limit is, in nanoseconds. */
    public Auditor(LongSupplier clock, long slack, Api.Settings settings, int balancers) {
        this.clock = clock;
        this.slack = slack;
        this.settings = settings;
        for (int i = 0; i < balancers; i++) {
            acknowledged.add(new HashMap<>());
        }
    }

    private void example(String text) {
        if (examples.size() < MOST_EXAMPLES) {
            examples.add("at " + clock.getAsLong() / 1_000_000 + " ms: " + text);
        }
    }

    /** A balancer has the last byte of a request. {@code wants}: the version that an answer must have at the least. */
    public long accepted(Subject call) {
        open.put(call, true);
        return call.write() ? 0 : acknowledged.get(call.balancer()).getOrDefault(call.key(), 0L);
    }

    /** It has written an answer. */
    public void answered(Subject call) {
        if (open.remove(call) == null) {
            answeredTwice++;
            example("request " + call.id() + " was answered twice, or without having been asked");
        }
        if (clock.getAsLong() > call.deadline() + slack) {
            lost++;
            example("request " + call.id() + " was answered " + (clock.getAsLong() - call.deadline()) / 1_000_000 + " ms late");
        }
    }

    /** The client has gone away. */
    public void left(Subject call) {
        open.remove(call);
    }

    /** A read was answered with that version, where at least {@code wanted} was due. */
    public void readAnswered(Subject call, long wanted, long version) {
        if (version < wanted) {
            stale++;
            example("read " + call.id() + " of key " + call.key() + " got version " + version + " after " + wanted + " was acknowledged");
        }
    }

    /** A write was acknowledged as that version. */
    public void writeAnswered(Subject call, long version) {
        acknowledged.get(call.balancer()).merge(call.key(), version, Math::max);
    }

    /** It has taken effect at a host, or may have. */
    public void ran(Subject call) {
        Api.RequestClass c = settings.classes().get(call.requestClass());
        if (c.effect() == Api.Effect.RETRYABLE) {
            return;
        }
        Effect operation = call.effect();
        operation.runs++;
        if (operation.runs == 1) {
            operation.firstRunAt = clock.getAsLong();
        }
        long since = clock.getAsLong() - operation.firstRunAt;
        boolean twice = operation.runs > 1 && (c.effect() == Api.Effect.FRAGILE || since > c.window() + slack);
        if (twice && !operation.doubled) {
            operation.doubled = true;
            doubled++;
            example("operation " + operation.number + " took effect again, " + since / 1_000_000
                    + " ms after the first time");
        }
    }

    /** The first byte of a request leaves for a host. */
    public void sent(int balancer, Subject call, Target host) {
        if (call != null && call.isAnswered()) {
            sentAfter++;
            example("request " + call.id() + " went out after its answer");
        }
        Long told = drains.get(new Drain(balancer, host.number()));
        if (told != null && clock.getAsLong() > told + settings.drainGrace() + slack) {
            drained++;
            example("a send to " + host.name() + ", told to drain " + (clock.getAsLong() - told) / 1_000_000 + " ms before");
        }
        if (host.isCold(clock.getAsLong())) {
            coldSend(host);
        }
    }

    private void coldSend(Target host) {
        long now = clock.getAsLong();
        Window window = cold.computeIfAbsent(host, any -> new Window());
        window.times.addLast(now);
        while (window.times.peekFirst() <= now - settings.fallTime()) {
            window.times.removeFirst();
        }
        double can = host.canDo(now, settings.fallTime());
        double most = settings.tipMultiple() * can;
        if (window.times.size() > most + COLD_SLACK + 3 * Math.sqrt(most) && !window.told) {
            window.told = true;
            coldHits++;
            example(host.name() + ", cold, was sent " + window.times.size() + " in " + settings.fallTime() / 1_000_000
                    + " ms where " + (long) most + " are allowed");
        }
    }

    /** A balancer has been told that a host drains, is gone, or is ready. */
    public void told(int balancer, Target host, Api.State state) {
        Drain one = new Drain(balancer, host.number());
        if (state == Api.State.READY) {
            drains.remove(one);
        } else {
            drains.putIfAbsent(one, clock.getAsLong());
        }
    }

    /** A balancer's process has ended: the one that follows has been told nothing yet. */
    public void forgets(int balancer) {
        drains.keySet().removeIf(drain -> drain.balancer == balancer);
    }

    /** The end of a run: what is open past its time was lost. */
    public Findings close() {
        for (Subject call : open.keySet()) {
            if (clock.getAsLong() > call.deadline() + slack) {
                lost++;
            }
        }
        if (lost > 0) {
            example(lost + " requests without an answer in time");
        }
        return new Findings(lost, answeredTwice, doubled, drained, coldHits, sentAfter, stale, List.copyOf(examples));
    }
}
