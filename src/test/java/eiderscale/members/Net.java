package eiderscale.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.BiPredicate;

/** Instances in virtual time, and a network between them that loses, delays, doubles and cuts. */
final class Net {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;

    /** One instance, and what is done to it. */
    final class Node implements Membership.Out {
        final int number;
        Membership membership;
        boolean crashed;
        /** It does nothing until then: what comes waits. */
        long stalledUntil;
        /** Each turn of it may take up to so long more, as its processor is another's. */
        long starved;
        View view;
        long sent;
        long most;
        private long wakes = Long.MAX_VALUE;

        Node(int number) {
            this.number = number;
        }

        /** Its name where that is not its address. */
        String called;

        String name() {
            return called == null ? "n" + number : called;
        }

        void start(long incarnation) {
            crashed = false;
            membership = new Membership(name(), "n" + number, incarnation, seeds, pace, luck.nextLong(), now, this);
            view = membership.view();
            wake();
        }

        @Override
        public void send(String address, Message message) {
            sent++;
            most = Math.max(most, message.news().size());
            int to = Integer.parseInt(address.substring(1));
            for (int copies = luck.nextDouble() < doubled ? 2 : 1; copies > 0; copies--) {
                if (to < nodes.size() && luck.nextDouble() >= lost && passes.test(number, to)) {
                    at(now + MS / 2 + luck.nextLong(delay), nodes.get(to), () -> nodes.get(to).membership.receive(now, message));
                }
            }
        }

        @Override
        public void changed(View fresh) {
            view = fresh;
        }

        void wake() {
            long at = Math.max(now + 1, membership.nextAt());
            if (at != wakes) {
                wakes = at;
                at(at, this, () -> {
                    if (wakes == at) {
                        wakes = Long.MAX_VALUE;
                    }
                    if (now >= membership.nextAt()) {
                        membership.tick(now);
                    }
                });
            }
        }

        boolean sees(Node other) {
            return view.members().stream().anyMatch(word -> word.name().equals(other.name()));
        }
    }

    private record Event(long at, long number, Node node, Runnable task) {
    }

    final List<Node> nodes = new ArrayList<>();
    final SplittableRandom luck;
    final Pace pace;
    private final List<String> seeds;
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long numbers;
    long now = SECOND;
    double lost;
    double doubled;
    long delay = 5 * MS;
    BiPredicate<Integer, Integer> passes = (from, to) -> true;

    Net(int count, long seed) {
        this(count, seed, Pace.USUAL, List.of("n0"));
    }

    Net(int count, long seed, Pace pace, List<String> seeds) {
        luck = new SplittableRandom(seed);
        this.pace = pace;
        this.seeds = seeds;
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(node -> node.start(1));
    }

    private void at(long moment, Node node, Runnable task) {
        events.add(new Event(moment, numbers++, node, task));
    }

    void run(long span) {
        long end = now + span;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            Node node = event.node;
            if (node.crashed || node.membership == null) {
                continue;
            }
            if (now < node.stalledUntil) {
                events.add(new Event(node.stalledUntil, event.number, node, event.task));
                continue;
            }
            event.task.run();
            node.wake();
            if (node.starved > 0) {
                node.stalledUntil = now + luck.nextLong(node.starved);
            }
        }
        now = end;
    }

    /** Whether all that live see one another and nobody else; {@code until} limits the wait. The time that it took, or -1. */
    long agree(long until) {
        long begun = now;
        while (now - begun <= until) {
            if (isOneView()) {
                return now - begun;
            }
            run(100 * MS);
        }
        return -1;
    }

    boolean isOneView() {
        TreeSet<String> living = new TreeSet<>();
        nodes.stream().filter(node -> !node.crashed).forEach(node -> living.add(node.name()));
        return nodes.stream().filter(node -> !node.crashed).allMatch(node -> {
            TreeSet<String> seen = new TreeSet<>();
            node.view.members().forEach(word -> seen.add(word.name()));
            return seen.equals(living);
        });
    }

    /** Pairs of living instances of which one holds the other for gone. */
    long falseDeaths() {
        long wrong = 0;
        for (Node one : nodes) {
            for (Node other : nodes) {
                wrong += !one.crashed && !other.crashed && !one.sees(other) ? 1 : 0;
            }
        }
        return wrong;
    }
}
