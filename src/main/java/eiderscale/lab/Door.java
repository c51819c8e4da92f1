package eiderscale.lab;

import eiderscale.config.ClientLimits;
import eiderscale.config.DescriptorPlan;
import eiderscale.connections.ConnectionLimits;
import eiderscale.connections.ConnectionTable;
import eiderscale.connections.ConnectionTable.Why;
import eiderscale.connections.Member;
import eiderscale.connections.TimingWheel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Clients' connections to one balancer: opened, used by turns, told to go. Who is let in and who has to go is decided by the
 * table of connections, as on sockets; what stands here is both ends of the wires.
 */
final class Door {
    private static final long TICK = 50_000_000L;
    private static final long SWEEP = 250_000_000L;
    private static final int MOST_CLOSES = 64;
    private static final long CROWD_AGAIN = 100_000_000L;

    /** One connection, with what either end knows of it. */
    static final class Wire {
        /** At the client: the request that is out on it. */
        private Call call;
        /** At the client: no use any more. */
        private boolean closed;
        private boolean silent;
        private long usedAt;
        /** At the balancer: null before it was accepted. */
        private Member<Wire> member;
        /** At the balancer: the request that is not answered. */
        private Call open;
        /** At the balancer: something has come that was not read, as it stands still. */
        private boolean unread;
        /** When the last of what was said to its client is there: nothing overtakes on a connection. */
        private long saidAt;
        private boolean closing;
        private boolean ended;
    }

    private final World world;
    private final LabBalancer balancer;
    private final TimingWheel wheel = new TimingWheel(TICK, 0);
    private final ConnectionTable<Wire> table;
    private final int most;
    private final long keeps;
    /** Clients' connections with nothing out on them, the one used last at the end. */
    private final Deque<Wire> free = new ArrayDeque<>();
    /** Requests whose clients may open no further connection. */
    private final Deque<Call> waiting = new ArrayDeque<>();
    private int opened;
    private long sweptAt;
    private boolean roomWanted;

    Door(World world, LabBalancer balancer, DescriptorPlan plan, ClientLimits limits) {
        this.world = world;
        this.balancer = balancer;
        this.most = world.experiment.load().connections();
        this.keeps = world.experiment.load().keeps();
        // All clients stand at one place: a limit for each source would be one for all of them.
        this.table = new ConnectionTable<>(ConnectionLimits.of(plan.clients(), plan.surplus(), plan.easy(), 0, limits.perTenant(),
                limits.idle()), wheel, this::close);
        world.events.in(SWEEP, this::sweep);
    }

    // At the clients.

    /** A client has something to ask. */
    void ask(Call call) {
        for (Wire oldest = free.peekFirst(); oldest != null && world.now() - oldest.usedAt > keeps; oldest = free.peekFirst()) {
            hangUp(free.pollFirst());
        }
        Wire wire = free.pollLast();
        if (wire != null) {
            put(wire, call, 1);
        } else if (opened < most) {
            // The last way of the handshake takes the request along.
            put(open(), call, 3);
        } else {
            waiting.add(call);
        }
    }

    private Wire open() {
        opened++;
        Wire wire = new Wire();
        world.events.in(world.clientWay(), () -> accept(wire));
        return wire;
    }

    private void put(Wire wire, Call call, int ways) {
        wire.call = call;
        call.wire = wire;
        long way = 0;
        for (int i = 0; i < ways; i++) {
            way += world.clientWay();
        }
        world.events.in(way, () -> arrive(wire, call));
    }

    /** The client waits no longer: it lets go of its connection. */
    void left(Call call) {
        Wire wire = call.wire;
        if (wire == null) {
            waiting.remove(call);
        } else if (wire.call == call) {
            wire.call = null;
            hangUp(wire);
        }
    }

    private void hangUp(Wire wire) {
        if (!wire.closed) {
            wire.closed = true;
            opened -= wire.silent ? 0 : 1;
            world.events.in(world.clientWay(), () -> end(wire));
            serveWaiting();
        }
    }

    private void serveWaiting() {
        Call next = waiting.poll();
        if (next != null) {
            ask(next);
        }
    }

    private void answerCame(Wire wire, Call call, Clients.End end, long wait) {
        if (wire.call == call) {
            wire.call = null;
            if (!wire.closed) {
                wire.usedAt = world.now();
                free.addLast(wire);
                serveWaiting();
            }
        }
        world.clients.came(call, end, wait);
    }

    /** The client sees the end of its connection; what it has just asked on it was never taken, and is asked again. */
    private void endCame(Wire wire) {
        Call crossed = wire.call;
        wire.call = null;
        free.remove(wire);
        hangUp(wire);
        if (crossed != null && wire.member == null) {
            // Not even let in: its client waits as after a refusal.
            world.clients.came(crossed, Clients.End.REFUSED, 0);
        } else if (crossed != null) {
            world.measures.crossed(world.now());
            crossed.wire = null;
            ask(crossed);
        }
    }

    /** So many connect, say nothing, and come again when they are closed. */
    void crowd(int size, long until) {
        for (int i = 0; i < size; i++) {
            world.events.in(world.clientWay() * (1 + i / 16), () -> comeSilently(until));
        }
    }

    private void comeSilently(long until) {
        if (world.now() >= until) {
            return;
        }
        Wire wire = new Wire();
        wire.silent = true;
        accept(wire);
        world.events.at(until, () -> hangUp(wire));
        watch(wire, until);
    }

    private void watch(Wire wire, long until) {
        world.events.in(CROWD_AGAIN, () -> {
            if (wire.ended || wire.closing || wire.closed) {
                hangUp(wire);
                comeSilently(until);
            } else if (world.now() < until) {
                watch(wire, until);
            }
        });
    }

    // At the balancer.

    private void accept(Wire wire) {
        if (wire.ended || balancer.waits(() -> accept(wire))) {
            return;
        }
        wire.member = table.admit(wire, "clients", world.now());
        if (wire.member == null) {
            world.measures.turnedAway(world.now());
            wire.ended = true;
            world.events.in(world.clientWay(), () -> endCame(wire));
        }
        wantRoom();
    }

    private void arrive(Wire wire, Call call) {
        // A table that closes while the balancer has yet to read this finds it at its last look.
        wire.unread = true;
        if (balancer.waits(() -> arrive(wire, call))) {
            return;
        }
        wire.unread = false;
        if (wire.ended || wire.closing) {
            return;
        }
        table.busy(wire.member);
        wire.open = call;
        if (wire.member.isSurplus() || !table.asksFor(wire.member, call.tenant)) {
            world.measures.turnedAway(world.now());
            wire.open = null;
            say(wire, call, Clients.End.REFUSED, 0);
            if (wire.member.isSurplus()) {
                tellToGo(wire, false);
            } else {
                rest(wire);
            }
            return;
        }
        table.spoke(wire.member);
        balancer.take(call);
    }

    /** The one answer to a request that was taken. */
    void answered(Call call, Clients.End end, long wait) {
        Wire wire = call.wire;
        say(wire, call, end, wait);
        if (wire.open == call) {
            wire.open = null;
            rest(wire);
        }
    }

    private void say(Wire wire, Call call, Clients.End end, long wait) {
        toClient(wire, () -> answerCame(wire, call, end, wait));
    }

    private void toClient(Wire wire, Runnable what) {
        wire.saidAt = Math.max(wire.saidAt, world.now() + world.clientWay());
        world.events.at(wire.saidAt, what);
    }

    private void rest(Wire wire) {
        table.rest(wire.member, world.now());
        wantRoom();
    }

    /** The client has closed it. */
    private void end(Wire wire) {
        if (balancer.waits(() -> end(wire))) {
            return;
        }
        wire.ended = true;
        if (wire.member == null) {
            return;
        }
        table.gone(wire.member);
        Call call = wire.open;
        wire.open = null;
        if (call != null) {
            balancer.gone(call);
        }
    }

    /** What the table asks for: nothing that has come, read or not, is closed on. */
    private boolean close(Wire wire, Why why) {
        if (why == Why.FAREWELL) {
            wire.ended = true;
            table.gone(wire.member);
            return true;
        }
        if (wire.open != null || wire.unread) {
            return false;
        }
        world.measures.closed(world.now());
        tellToGo(wire, true);
        return true;
    }

    private void tellToGo(Wire wire, boolean lingers) {
        wire.closing = true;
        table.closing(wire.member, lingers, world.now());
        toClient(wire, () -> endCame(wire));
    }

    private void sweep() {
        if (balancer.waits(this::sweep)) {
            return;
        }
        long now = world.now();
        table.late(now, now - sweptAt - SWEEP);
        sweptAt = now;
        while (wheel.advance(now, MOST_CLOSES) == MOST_CLOSES) {
            // All that is due: a turn of the loop takes no time here.
        }
        wantRoom();
        world.events.in(SWEEP, this::sweep);
    }

    private void wantRoom() {
        if (table.isCrowded() && !roomWanted) {
            roomWanted = true;
            world.events.in(0, () -> {
                roomWanted = false;
                table.makeRoom(world.now(), MOST_CLOSES);
            });
        }
    }
}
