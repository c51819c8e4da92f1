package eiderscale.fleet;

import eiderscale.Api;
import eiderscale.config.Experiment;
import eiderscale.lab.Auditor;
import eiderscale.lab.Luck;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Clients of a fleet: the laboratory's open load on real sockets. Each belongs to one balancer; one that is refused, or finds
 * nobody listening, tries another after a pause, where the experiment lets it. What they see goes to the auditor. One event
 * loop; times in nanoseconds from the start of the run.
 */
final class FleetLoad {
    /** An answer may come so much later and earn nothing; later than that the request is lost. */
    static final long GRACE = 500_000_000L;
    private static final long LEAST_BETWEEN_CALLS = 100_000_000L;
    /** Nothing of an answered request is on its way any more after so long. */
    private static final long SETTLED = 250_000_000L;
    private static final int MOST_CONNECTIONS = 256;
    private static final long FORGET_S = 10;

    /** What a client wants. */
    private final class Operation extends Auditor.Effect {
        final int requestClass;
        final long key;
        final long begunAt = now();
        final long deadline;
        int tries;
        boolean over;

        Operation(long number, int requestClass, long key) {
            super(number);
            this.requestClass = requestClass;
            this.key = key;
            this.deadline = begunAt + settings.classes().get(requestClass).deadline();
        }
    }

    /** One request of it. */
    private final class Try implements Auditor.Subject {
        final long id;
        final Operation operation;
        final Door door;
        long answeredAt = -1;
        boolean ended;
        boolean sentAgain;
        Wire wire;

        Try(long id, Operation operation, Door door) {
            this.id = id;
            this.operation = operation;
            this.door = door;
        }

        @Override
        public long id() {
            return id;
        }

        @Override
        public long key() {
            return operation.key;
        }

        @Override
        public int requestClass() {
            return operation.requestClass;
        }

        @Override
        public boolean write() {
            return settings.classes().get(operation.requestClass).effect() != Api.Effect.RETRYABLE;
        }

        @Override
        public long deadline() {
            return operation.deadline;
        }

        @Override
        public int balancer() {
            return door.number;
        }

        @Override
        public boolean isAnswered() {
            return answeredAt >= 0 && now() > answeredAt + SETTLED;
        }

        @Override
        public Auditor.Effect effect() {
            return operation;
        }

        String line() {
            StringBuilder line = new StringBuilder(write() ? "ms " : "mg ").append('k').append(operation.key);
            line.append(write() ? " 5 O" : " v O").append(id).append(" Pc=").append(classes.get(operation.requestClass))
                    .append(",t=").append(tenant).append(",d=")
                    .append(Math.max(1, (operation.deadline - now()) / 1_000_000));
            if (write()) {
                line.append(",k=").append(operation.key).append('x').append(operation.begunAt);
            }
            return line.append(write() ? "\r\nhello\r\n" : "\r\n").toString();
        }
    }

    /** One balancer as its clients see it. */
    private final class Door {
        final int number;
        int port;
        final Deque<Wire> idle = new ArrayDeque<>();
        final Deque<Try> waiting = new ArrayDeque<>();
        int open;
        /** What was sent to it before that is not held against it: its machine was stopped or ended. */
        long excusedUntil = Long.MIN_VALUE;
        long servedAt = -1;

        Door(int number, int port) {
            this.number = number;
            this.port = port;
        }
    }

    private final Experiment.Load load;
    private final double rate;
    private final Api.Settings settings;
    private final List<String> classes;
    private final String tenant;
    private final double[] mix;
    private final EventLoop loop;
    private final Auditor auditor;
    private final Tally tally;
    private final long origin;
    private final long length;
    /** A balancer that watches knows of a change after this: the call that is out, or the pause and the next one. */
    private final long known;
    private final UniformRandomProvider choices;
    private final ZigguratSampler.Exponential pauses;
    private final SharedStateDiscreteSampler popularity;
    private final List<Door> doors = new ArrayList<>();
    private final Map<Long, Try> tries = new HashMap<>();
    private long operations;
    private long ids;
    private double surge = 1;
    private long served;
    private long over;
    private Runnable done = () -> { };

    FleetLoad(Experiment experiment, Experiment.Settings of, double factor, EventLoop loop, Auditor auditor, Tally tally,
              long origin, Luck luck) {
        this.load = experiment.load();
        this.rate = load.rate() * factor;
        this.settings = of.module();
        this.classes = of.classes();
        this.tenant = of.tenants().get(0);
        this.loop = loop;
        this.auditor = auditor;
        this.tally = tally;
        this.origin = origin;
        this.length = experiment.length();
        this.known = LEAST_BETWEEN_CALLS + 2 * experiment.discovery().call();
        this.choices = luck.stream("choices");
        this.pauses = ZigguratSampler.Exponential.of(luck.stream("arrivals"));
        this.popularity = load.zipf() > 0 ? RejectionInversionZipfSampler.of(choices, load.keys(), load.zipf()) : null;
        this.mix = new double[classes.size()];
        double sum = 0;
        for (int i = 0; i < mix.length; i++) {
            String name = classes.get(i);
            sum += experiment.mix().stream().filter(one -> one.requestClass().equals(name)).mapToDouble(Experiment.Mix::share).sum();
            mix[i] = experiment.mix().isEmpty() ? 1 : sum;
        }
    }

    private long now() {
        return System.nanoTime() - origin;
    }

    /** A balancer's address; once each, in the order of their numbers. */
    void door(int port) {
        doors.add(new Door(doors.size(), port));
    }

    /** Begins; {@code whenDone}: told when the last operation is over. */
    void start(Runnable whenDone) {
        done = whenDone;
        next();
    }

    /** From now on that many times as much. */
    void surge(double factor) {
        surge = factor;
    }

    /** A balancer's machine is stopped or ended, or goes again: what is open there is not lost by its doing. */
    void excuse(int number, boolean begins) {
        Door door = doors.get(number);
        door.excusedUntil = begins ? Long.MAX_VALUE : now();
        // What it had answered before may still come.
        door.servedAt = -1;
    }

    /** A balancer's process has died: those that follow have been told nothing. */
    void forgets(int number) {
        auditor.forgets(number);
    }

    /** When it served first since it was last excused; negative where it has not. */
    long servedAt(int number) {
        return doors.get(number).servedAt;
    }

    /** Operations that were served in time, of those that are over. */
    long served() {
        return served;
    }

    long operations() {
        return operations;
    }

    private void next() {
        long at = now() + (long) (pauses.sample() * 1e9 / (rate * surge));
        if (at >= length) {
            look();
            return;
        }
        // Behind the clock all that is due begins at once, as an open load does.
        loop.schedule(() -> {
            arrive();
            next();
        }, at - now(), TimeUnit.NANOSECONDS);
    }

    private void look() {
        if (over == operations) {
            done.run();
        } else {
            loop.schedule(this::look, 20, TimeUnit.MILLISECONDS);
        }
    }

    private void arrive() {
        double dice = choices.nextDouble();
        int requestClass = 0;
        while (requestClass < mix.length - 1 && dice >= mix[requestClass]) {
            requestClass++;
        }
        long key = load.hot() > 0 && choices.nextDouble() < load.hot() ? 0
                : popularity != null ? popularity.sample() : 1 + choices.nextLong(load.keys());
        Operation operation = new Operation(++operations, requestClass, key);
        tally.add(Tally.Of.ASKED, operation.begunAt, 1);
        ask(operation);
        loop.schedule(() -> over(operation), operation.deadline - now(), TimeUnit.NANOSECONDS);
    }

    private void ask(Operation operation) {
        operation.tries++;
        Try one = new Try(++ids, operation, doors.get(choices.nextInt(doors.size())));
        tries.put(one.id, one);
        loop.schedule(() -> tries.remove(one.id), FORGET_S, TimeUnit.SECONDS);
        place(one);
    }

    private void place(Try one) {
        Wire wire = one.door.idle.pollFirst();
        if (wire != null) {
            wire.ask(one);
        } else if (one.door.open < (load.connections() > 0 ? load.connections() : MOST_CONNECTIONS)) {
            connect(one);
        } else {
            one.door.waiting.addLast(one);
        }
    }

    private void connect(Try one) {
        Door door = one.door;
        door.open++;
        Wire wire = new Wire(door);
        new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2000)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        fresh.pipeline().addLast(wire);
                    }
                }).connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), door.port)).addListener(up -> {
                    if (up.isSuccess()) {
                        wire.ask(one);
                    } else {
                        door.open--;
                        tally.add(Tally.Of.SHUT, now(), 1);
                        again(one, 0, true);
                        for (Try other = door.waiting.poll(); other != null; other = door.waiting.poll()) {
                            again(other, 0, true);
                        }
                    }
                });
    }

    /** The operation's time is up, or it has been served. */
    private void over(Operation operation) {
        if (!operation.over) {
            operation.over = true;
            over++;
        }
    }

    /** A try has ended without being served: its client may make another. */
    private void again(Try one, long waitMs, boolean never) {
        if (one.ended) {
            return;
        }
        one.ended = true;
        Operation operation = one.operation;
        boolean may = never || settings.classes().get(operation.requestClass).effect() == Api.Effect.RETRYABLE;
        boolean honours = choices.nextDouble() < load.honours();
        long pause = (long) (load.backOff() * (0.5 + choices.nextDouble()));
        long wait = Math.max(pause, honours ? waitMs * 1_000_000 : 0);
        if (may && operation.tries <= load.retries() && now() + wait < operation.deadline && !operation.over) {
            loop.schedule(() -> {
                if (!operation.over) {
                    ask(operation);
                }
            }, wait, TimeUnit.NANOSECONDS);
        }
    }

    /** A command has come to a host, or runs there; from any thread. */
    void heard(String id, FleetHost host, boolean runs) {
        loop.execute(() -> {
            Try one = id.matches("[0-9]{1,18}") ? tries.get(Long.parseLong(id)) : null;
            if (runs) {
                if (one != null) {
                    auditor.ran(one);
                }
                return;
            }
            long at = now();
            tally.add(Tally.Of.SENDS, at, 1);
            if (at - known - settings.drainGrace() - Auditor.SLACK > host.drainsSince()) {
                tally.add(Tally.Of.STALE, at, 1);
            }
            if (host.isCold(at)) {
                tally.add(Tally.Of.COLD_SENDS, at, 1);
            }
            if (one != null) {
                if (at > one.operation.deadline) {
                    tally.add(Tally.Of.IN_VAIN, at, 1);
                }
                auditor.sent(one.door.number, one, host);
            }
        });
    }

    /** A connection to a balancer: one request at a time. */
    private final class Wire extends ByteToMessageDecoder {
        private final Door door;
        private Channel channel;
        private Try current;
        private int value = -1;
        private boolean begun;

        Wire(Door door) {
            this.door = door;
        }

        void ask(Try one) {
            current = one;
            begun = false;
            one.wire = this;
            if (now() >= one.operation.deadline) {
                current = null;
                one.ended = true;
                rest();
                return;
            }
            auditor.accepted(one);
            channel.writeAndFlush(Unpooled.copiedBuffer(one.line(), StandardCharsets.ISO_8859_1));
            loop.schedule(() -> timeUp(one), one.operation.deadline + GRACE - now(), TimeUnit.NANOSECONDS);
        }

        /** No answer in time: it is lost, unless its balancer's machine was stopped or ended meanwhile. */
        private void timeUp(Try one) {
            if (current == one) {
                if (door.excusedUntil >= one.operation.begunAt) {
                    auditor.left(one);
                }
                current = null;
                one.ended = true;
                channel.close();
            }
        }

        private void rest() {
            Try next = door.waiting.pollFirst();
            if (next != null) {
                ask(next);
            } else {
                door.idle.addFirst(this);
            }
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            begun = true;
            if (value >= 0) {
                if (in.readableBytes() >= value + 2) {
                    String text = in.readCharSequence(value, StandardCharsets.ISO_8859_1).toString();
                    in.skipBytes(2);
                    value = -1;
                    // What no host made for this key is no answer.
                    answered(current != null && text.startsWith("statement k" + current.operation.key + " ") ? 'S' : 'F', 0);
                }
                return;
            }
            int end = in.bytesBefore((byte) '\n');
            if (end < 0) {
                return;
            }
            String line = in.readCharSequence(end, StandardCharsets.ISO_8859_1).toString().trim();
            in.skipBytes(1);
            if (current == null) {
                // An answer to nothing, or a second one.
                auditor.answered(new Try(-1, new Operation(-1, 0, 0), door));
                ctx.close();
                return;
            }
            String[] words = line.split(" ");
            boolean own = line.contains(" O" + current.id);
            if (words[0].equals("VA") && own) {
                value = Integer.parseInt(words[1]);
            } else if (words[0].equals("HD") && own) {
                answered('S', 0);
            } else if (line.startsWith("SERVER_ERROR busy")) {
                answered('R', words.length > 2 ? Long.parseLong(words[2]) : 0);
            } else {
                answered('F', 0);
            }
        }

        private void answered(char how, long waitMs) {
            Try one = current;
            current = null;
            long at = now();
            one.answeredAt = at;
            if (door.excusedUntil >= one.operation.begunAt && at > one.operation.deadline) {
                // Late by the doing of whoever stopped its machine.
                auditor.left(one);
            } else {
                auditor.answered(one);
            }
            if (how == 'S') {
                door.servedAt = door.servedAt < 0 ? at : door.servedAt;
                one.ended = true;
                if (!one.operation.over && at <= one.operation.deadline) {
                    served++;
                    tally.served(at, at - one.operation.begunAt);
                    over(one.operation);
                }
            } else {
                tally.add(how == 'R' ? Tally.Of.REFUSED : Tally.Of.FAILED, at, 1);
                again(one, waitMs, how == 'R');
            }
            rest();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            door.open--;
            door.idle.remove(this);
            Try one = current;
            current = null;
            if (one == null) {
                return;
            }
            boolean excused = door.excusedUntil >= one.operation.begunAt;
            if (excused || !begun && !one.sentAgain) {
                auditor.left(one);
            }
            if (!excused && !begun && !one.sentAgain) {
                // Closed between requests, which crossed this one: it goes once more, on a new connection.
                one.sentAgain = true;
                connect(one);
            } else {
                tally.add(Tally.Of.FAILED, now(), 1);
                again(one, 0, false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
