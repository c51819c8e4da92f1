package eiderscale.lab.load;

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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Requests at a stated rate on real sockets, over the meta protocol or HTTP. Each has its moment; its latency counts from
 * that, whenever it could be sent, so that a stall is seen by all whose moment falls into it and not by the one that met it
 * alone (Tene: coordinated omission). For one event loop.
 */
public final class OpenLoad {
    /** What the load is like. {@code command}: with {key}, {id} and {ms} filled in; meta lines, or an HTTP target. */
    public record Plan(boolean http, InetSocketAddress to, double rate, int connections, long requests, long deadlineMs,
                       int keys, double zipf, String command, long seed) {
    }

    /** How requests ended. {@code late}: served after their deadline, which does not count as served. */
    public record Counts(long asked, long served, long late, long refused, long failed, long lost) {
        /** Whether each ended once. */
        public boolean addUp() {
            return asked == served + late + refused + failed + lost;
        }
    }

    private record Ask(long number, long due) {
    }

    /** Waits for a free connection; more than so many are lost at once, lest a dead server fills the memory. */
    private static final int MOST_WAITING = 1_000_000;
    private static final long MOST_US = 3_600_000_000L;
    private static final long TICK_NS = 200_000;
    private static final int PIPELINED = 64;

    private final Plan plan;
    private final EventLoop loop;
    private final Histogram latency = new Histogram(1, MOST_US, 3);
    private final UniformRandomProvider luck;
    private final SharedStateDiscreteSampler popularity;
    private final List<Asker> askers = new ArrayList<>();
    private final Deque<Ask> waiting = new ArrayDeque<>();
    private final Runnable done;
    private long begun;
    private long asked;
    private long served;
    private long late;
    private long refused;
    private long failed;
    private long lost;
    private int next;
    private boolean over;

    /** {@code done}: told once, on the loop, when every request has ended. */
    public OpenLoad(Plan plan, EventLoop loop, Runnable done) {
        this.plan = plan;
        this.loop = loop;
        this.done = done;
        this.luck = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {plan.seed(), plan.seed() * 31 + 7});
        this.popularity = plan.zipf() > 0 ? RejectionInversionZipfSampler.of(luck, plan.keys(), plan.zipf()) : null;
    }

    /** Connects, and begins a moment later. */
    public void start() {
        loop.execute(() -> {
            for (int i = 0; i < plan.connections(); i++) {
                Asker asker = new Asker();
                askers.add(asker);
                asker.connect();
            }
            begun = System.nanoTime() + 100_000_000L;
            loop.schedule(this::tick, 100, TimeUnit.MILLISECONDS);
        });
    }

    /** Asks nothing more; what is out is waited for. */
    public void stop() {
        loop.execute(() -> over = true);
    }

    private void tick() {
        long now = System.nanoTime();
        while (!over && asked < plan.requests()) {
            long due = begun + (long) (asked * 1e9 / plan.rate());
            if (due > now) {
                break;
            }
            put(new Ask(asked++, due));
        }
        expire(now);
        boolean finished = over || asked >= plan.requests();
        if (finished && asked == served + late + refused + failed + lost) {
            askers.forEach(Asker::close);
            done.run();
            return;
        }
        loop.schedule(this::tick, TICK_NS, TimeUnit.NANOSECONDS);
    }

    /** What waited past twice its deadline is lost, sent or not. */
    private void expire(long now) {
        long oldest = now - TimeUnit.MILLISECONDS.toNanos(2 * plan.deadlineMs());
        while (!waiting.isEmpty() && waiting.peek().due < oldest) {
            waiting.poll();
            lost++;
        }
        askers.forEach(asker -> asker.expire(oldest));
    }

    private void put(Ask ask) {
        for (int i = 0; i < askers.size(); i++) {
            Asker asker = askers.get(next);
            next = (next + 1) % askers.size();
            if (asker.isFree()) {
                asker.send(ask);
                return;
            }
        }
        if (waiting.size() >= MOST_WAITING) {
            lost++;
        } else {
            waiting.add(ask);
        }
    }

    private void ended(Ask ask, int how) {
        long took = System.nanoTime() - ask.due;
        boolean inTime = took <= TimeUnit.MILLISECONDS.toNanos(plan.deadlineMs());
        switch (how) {
            case 0 -> {
                latency.recordValue(Math.max(1, Math.min(MOST_US, took / 1000)));
                served += inTime ? 1 : 0;
                late += inTime ? 0 : 1;
            }
            case 1 -> refused++;
            default -> failed++;
        }
    }

    /** What has come so far; on any thread. */
    public Counts counts() throws InterruptedException, java.util.concurrent.ExecutionException {
        return loop.submit(() -> new Counts(asked, served, late, refused, failed, lost)).get();
    }

    /** Latencies of answers in microseconds, each from its own moment on; once the load is done. */
    public Histogram latency() {
        return latency;
    }

    private String text(Ask ask) {
        long key = popularity != null ? popularity.sample() : 1 + luck.nextLong(plan.keys());
        String filled = plan.command().replace("{key}", String.valueOf(key)).replace("{id}", "l" + ask.number)
                .replace("{ms}", String.valueOf(plan.deadlineMs()));
        return plan.http() ? "GET " + filled + " HTTP/1.1\r\nHost: load\r\n\r\n" : filled + "\r\n";
    }

    /** One connection. Answers come in the order of their requests. */
    private final class Asker {
        private final Deque<Ask> out = new ArrayDeque<>();
        private Channel channel;
        private boolean up;
        private boolean closed;
        /** Of an answer's body with what ends it; negative between answers. */
        private long rest = -1;
        private int how;
        private int status;
        private long length;

        void connect() {
            if (closed) {
                return;
            }
            new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            fresh.pipeline().addLast(new Line(Asker.this));
                        }
                    }).connect(plan.to()).addListener(made -> {
                        if (!made.isSuccess()) {
                            loop.schedule(this::connect, 50, TimeUnit.MILLISECONDS);
                        }
                    });
        }

        boolean isFree() {
            return up && out.size() < (plan.http() ? 1 : PIPELINED);
        }

        void send(Ask ask) {
            out.add(ask);
            channel.writeAndFlush(Unpooled.copiedBuffer(text(ask), StandardCharsets.ISO_8859_1));
        }

        void expire(long oldest) {
            if (!out.isEmpty() && out.peek().due < oldest) {
                channel.close();
            }
        }

        void close() {
            closed = true;
            if (channel != null) {
                channel.close();
            }
        }

        void begun(Channel fresh) {
            channel = fresh;
            up = true;
            rest = -1;
            status = 0;
            more();
        }

        private void more() {
            while (isFree() && !waiting.isEmpty()) {
                send(waiting.poll());
            }
        }

        void gone() {
            up = false;
            lost += out.size();
            out.clear();
            loop.schedule(this::connect, 50, TimeUnit.MILLISECONDS);
        }

        private void end() {
            Ask ask = out.poll();
            if (ask == null) {
                channel.close();
                return;
            }
            ended(ask, how);
            more();
        }

        /** Takes what it can use; nothing if the next part is not all here. */
        void read(ByteBuf in) {
            if (rest >= 0) {
                int some = (int) Math.min(rest, in.readableBytes());
                in.skipBytes(some);
                rest -= some;
                if (rest == 0) {
                    rest = -1;
                    end();
                }
                return;
            }
            int at = in.bytesBefore((byte) '\n');
            if (at < 0) {
                return;
            }
            String line = in.readCharSequence(at, StandardCharsets.ISO_8859_1).toString().trim();
            in.skipBytes(1);
            if (plan.http()) {
                head(line);
            } else {
                meta(line);
            }
        }

        private void meta(String line) {
            if (line.startsWith("VA ")) {
                how = 0;
                rest = Long.parseLong(line.split(" ")[1]) + 2;
            } else {
                how = line.startsWith("HD") || line.startsWith("EN") ? 0 : line.startsWith("SERVER_ERROR busy") ? 1 : 2;
                end();
            }
        }

        private void head(String line) {
            if (line.startsWith("HTTP/1.1 ")) {
                status = Integer.parseInt(line.substring(9, 12));
                how = status < 400 ? 0 : 2;
                length = 0;
            } else if (line.isEmpty()) {
                if (length == 0) {
                    end();
                } else {
                    rest = length;
                }
            } else {
                String field = line.toLowerCase(Locale.ROOT);
                length = field.startsWith("content-length:") ? Long.parseLong(field.substring(15).trim()) : length;
                how = field.startsWith("retry-harmless:") && field.endsWith("?1") && status >= 400 ? 1 : how;
            }
        }
    }

    /** A decoder belongs to one channel; an asker connects again. */
    private static final class Line extends ByteToMessageDecoder {
        private final Asker asker;

        Line(Asker asker) {
            this.asker = asker;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            int before = in.readableBytes() + 1;
            while (in.isReadable() && in.readableBytes() < before) {
                before = in.readableBytes();
                asker.read(in);
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            asker.begun(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            asker.gone();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
