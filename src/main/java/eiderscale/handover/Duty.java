package eiderscale.handover;

import eiderscale.config.Catalog;
import eiderscale.config.ConfigException;
import eiderscale.control.Operators;
import eiderscale.knowledge.Belief;
import eiderscale.knowledge.Knowledge;
import eiderscale.knowledge.Recalled;
import eiderscale.knowledge.Refused;
import eiderscale.ledger.StopPlan;
import eiderscale.maintenance.Maintenance;
import eiderscale.net.Clock;
import eiderscale.net.Counters;
import eiderscale.net.Node;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.PromiseCombiner;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * A balancer's service as one process does it, perhaps beside another one: what operators call is known to both, a
 * successor is told what this one knows, and it leaves as it should where there is one. On the loop, but for its start.
 */
public final class Duty implements Operators {
    /** The process before is asked anew after so long, which looks a few times a second. */
    private static final long ASK_MS = 1_500;

    /** All that it serves with; of the first the list and what was learnt are handed on. */
    private final List<Node> nodes;
    private final String balancer;
    private final Succession succession;
    private final SharedIds ids;
    private Supplier<String> onMembers = () -> null;
    private Supplier<String> onAsked = () -> null;
    private Consumer<Knowledge> onCalls = calls -> { };
    private boolean stopping;

    private Duty(List<Node> nodes, String balancer, Succession succession) {
        this.nodes = List.copyOf(nodes);
        this.balancer = balancer;
        this.succession = succession;
        this.ids = new SharedIds(succession.folder("ids"));
        first().claims(ids);
    }

    /**
     * What the process before this one knows; null where there is none, or nothing that can be believed. Blocks until that one has
     * told it or has ended, as both would serve the same ids otherwise: to be called before there is anything to serve.
     */
    public static Knowledge ask(Succession succession, String balancer, long seed) throws InterruptedException {
        if (!succession.follows()) {
            return null;
        }
        byte[] bytes = succession.ask(seed ^ ProcessHandle.current().pid(), ASK_MS);
        if (bytes == null) {
            Counters.log("hand-over: the process before this one tells nothing: this one serves when it does, or has ended");
        }
        while (bytes == null && succession.isLed()) {
            bytes = succession.ask(seed ^ ProcessHandle.current().pid(), ASK_MS);
        }
        if (bytes == null) {
            return null;
        }
        try {
            return Knowledge.decode(balancer, bytes);
        } catch (Refused e) {
            Counters.log("hand-over: the record is refused: " + e.getMessage());
            return null;
        }
    }

    /** Takes up the duty, with what the process before has told, which may be null. */
    public static Duty take(List<Node> nodes, String balancer, Succession succession, Knowledge told) {
        Duty duty = new Duty(nodes, balancer, succession);
        if (told != null) {
            duty.recall(told);
        }
        duty.hear();
        duty.first().onSweep(duty::look);
        if (succession.follows() || duty.ids.isClaimed()) {
            duty.ids.begin();
        }
        if (succession.follows()) {
            duty.first().watch();
            Counters.log("follows another process" + (told == null ? "" : ", which told of "
                    + told.calls().size() + " calls" + (told.learnt() == null ? "" : ", "
                    + told.learnt().hosts().size() + " hosts")));
        }
        return duty;
    }

    private Node first() {
        return nodes.get(0);
    }

    /** Takes over what was kept on disk; whether there was a list among it, which is to be asked anew before it serves. */
    public boolean recall(Recalled kept) {
        merge(kept.calls());
        Node node = first();
        boolean listed = false;
        if (kept.list() != null && node.source() != null && node.source().toString().equals(kept.list().source())) {
            try {
                node.recall(Catalog.kept(kept.list().list(), node.site()));
                listed = true;
            } catch (ConfigException e) {
                Counters.log("state: " + e.getMessage());
            }
        }
        if (kept.learnt() != null) {
            node.recall(kept.learnt());
        }
        return listed;
    }

    /** Hears of each change in operators' calls, with all of them. */
    public void onCalls(Consumer<Knowledge> listener) {
        onCalls = listener;
    }

    /** All that is to be kept. */
    public Knowledge record() {
        return all();
    }

    private void recall(Knowledge knowledge) {
        Node node = first();
        merge(knowledge.calls());
        if (knowledge.hosts() != null && node.source() != null && node.source().toString().equals(knowledge.hosts().source())) {
            try {
                node.recall(Catalog.kept(knowledge.hosts().list(), node.site()));
            } catch (ConfigException e) {
                Counters.log("hand-over: " + e.getMessage());
            }
        }
        if (knowledge.learnt() != null) {
            node.recall(Belief.of(knowledge.learnt(), Clock.now(), true));
        }
    }

    private void look() {
        hear();
        succession.look(() -> {
            Counters.log("a successor asks: it is told what is known");
            ids.beginLeading(first().unsafeIds());
            return all().encode();
        });
        if (ids.isActive() && !stopping && !succession.follows() && !succession.isFollowed()) {
            ids.endSoon();
        }
    }

    private void merge(List<Maintenance.Call> calls) {
        nodes.forEach(node -> node.merge(calls));
    }

    private List<Maintenance.Call> calls() {
        return nodes.stream().flatMap(node -> node.calls().stream()).toList();
    }

    private Knowledge all() {
        Node node = first();
        Catalog list = node.list();
        Knowledge.Hosts hosts = node.source() == null || list.rev() < 0 ? null
                : new Knowledge.Hosts(node.source().toString(), list.keep(node.site()));
        return new Knowledge(balancer, calls(), hosts, node.learnt());
    }

    /** Operators' calls alone: what both processes of an upgrade must know at once. */
    public Knowledge called() {
        return new Knowledge(balancer, calls(), null, null);
    }

    /** Takes over calls that the other process has had. */
    private void hear() {
        byte[] shared = succession.shared();
        if (shared == null) {
            return;
        }
        try {
            Knowledge told = Knowledge.decode(balancer, shared);
            merge(told.calls());
            onCalls.accept(called());
            if (!told.calls().containsAll(calls())) {
                // Both were called in the same moment: what it has overwritten is told again.
                tell();
            }
        } catch (Refused e) {
            Counters.log("hand-over: operators' calls of another process are refused: " + e.getMessage());
        }
    }

    private void tell() {
        Knowledge all = called();
        onCalls.accept(all);
        if (!succession.share(all.encode())) {
            Counters.log("hand-over: calls are known to this process alone");
        }
    }

    /** How members are told of. */
    public void onMembers(Supplier<String> words) {
        onMembers = words;
    }

    @Override
    public String members() {
        return onMembers.get();
    }

    /** What other instances are answered that ask what is known here. */
    public void onAsked(Supplier<String> answer) {
        onAsked = answer;
    }

    @Override
    public String known() {
        return onAsked.get();
    }

    @Override
    public boolean takesClients() {
        return nodes.stream().allMatch(Node::takesClients);
    }

    /** Each of them is asked, whatever the others say. */
    private boolean any(Predicate<Node> call) {
        boolean any = false;
        for (Node node : nodes) {
            any |= call.test(node);
        }
        return any;
    }

    @Override
    public boolean takeOut(String id) {
        hear();
        boolean known = any(node -> node.takeOut(id));
        if (known) {
            tell();
        }
        return known;
    }

    @Override
    public boolean putBack(String id) {
        hear();
        boolean known = any(node -> node.putBack(id));
        if (known) {
            tell();
        }
        return known;
    }

    /** Stops in order, as it is best with a successor or without. */
    public Future<Void> stop(EventLoop loop) {
        boolean followed = succession.isFollowed();
        stopping = true;
        Counters.log(followed ? "stops: a successor takes clients" : "stops");
        long longestDeadline = nodes.stream().mapToLong(Node::longestDeadline).max().orElse(0);
        StopPlan plan = followed ? StopPlan.followed(Clock.now(), longestDeadline) : StopPlan.alone(Clock.now(), longestDeadline);
        Promise<Void> all = loop.newPromise();
        PromiseCombiner combiner = new PromiseCombiner(loop);
        nodes.forEach(node -> combiner.add((Future<?>) (followed ? node.leave(plan) : node.stopBy(plan))));
        combiner.finish(all);
        if (followed) {
            loop.schedule(succession::leave, plan.answerBy() - Clock.now(), TimeUnit.NANOSECONDS);
        }
        return all;
    }
}
