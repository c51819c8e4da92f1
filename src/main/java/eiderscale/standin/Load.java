package eiderscale.standin;

import com.tdunning.math.stats.MergingDigest;
import com.tdunning.math.stats.TDigest;
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
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Clients that ask a balancer, each one request at a time, with a pause between. Every request that is sent ends in
 * exactly one count. For one event loop; {@link #counts} may be asked from anywhere.
 */
public final class Load {
    /** A request line to send; {@code data}: null for a read. */
    public record Ask(String id, String line, String data) {
    }

    /** Makes the requests. */
    public interface Source {
        Ask next(SplittableRandom random, long number);
    }

    /** How requests ended. {@code lost}: the connection ended, or nothing came in time. Latencies in milliseconds. */
    public record Counts(long asked, long served, long missed, long refused, long failed, long lost, long open,
                         double p50, double p99) {
        /** Whether each request ended once. */
        public boolean addUp() {
            return asked == served + missed + refused + failed + lost + open;
        }
    }

    private static final double COMPRESSION = 100;
    private static final long RECONNECT_MS = 50;
    private static final int MOST_LINE = 4096;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Source source;
    private final long pauseMs;
    private final long limitMs;
    private final SplittableRandom random;
    private final TDigest latencies = new MergingDigest(COMPRESSION);
    private long asked;
    private long served;
    private long missed;
    private long refused;
    private long failed;
    private long lost;
    private long open;
    private boolean stopped;

    /** {@code pauseMs}: mean time between an answer and the next request; {@code limitMs}: what counts as lost. */
    public Load(EventLoop loop, InetSocketAddress address, Source source, long pauseMs, long limitMs, long seed) {
        this.loop = loop;
        this.address = address;
        this.source = source;
        this.pauseMs = pauseMs;
        this.limitMs = limitMs;
        this.random = new SplittableRandom(seed);
    }

    /** Begins with so many clients. */
    public void start(int clients) {
        for (int i = 0; i < clients; i++) {
            loop.execute(() -> new Client().connect());
        }
    }

    /** Asks nothing more; what is open is waited for. */
    public void stop() {
        loop.execute(() -> stopped = true);
    }

    /** What has come of the requests so far. */
    public Counts counts() throws InterruptedException, java.util.concurrent.ExecutionException {
        return loop.submit(() -> new Counts(asked, served, missed, refused, failed, lost, open,
                latencies.size() == 0 ? 0 : latencies.quantile(0.5),
                latencies.size() == 0 ? 0 : latencies.quantile(0.99))).get();
    }

    private final class Client extends ByteToMessageDecoder {
        private Channel channel;
        private Ask ask;
        private long askedAt;
        /** Bytes of the value that are still to come, with its line's end; 0 between answers. */
        private int rest;

        void connect() {
            if (stopped) {
                return;
            }
            new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            fresh.pipeline().addLast(Client.this);
                        }
                    }).connect(address).addListener(up -> {
                        if (!up.isSuccess()) {
                            loop.schedule(() -> new Client().connect(), RECONNECT_MS, TimeUnit.MILLISECONDS);
                        }
                    });
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            pause();
        }

        private void pause() {
            loop.schedule(this::next, (long) (2 * pauseMs * 1e6 * random.nextDouble()), TimeUnit.NANOSECONDS);
        }

        private void next() {
            if (stopped || !channel.isActive()) {
                channel.close();
                return;
            }
            ask = source.next(random, asked);
            asked++;
            open++;
            askedAt = System.nanoTime();
            String text = ask.line() + "\r\n" + (ask.data() == null ? "" : ask.data() + "\r\n");
            channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            Ask mine = ask;
            loop.schedule(() -> {
                if (ask == mine) {
                    channel.close();
                }
            }, limitMs, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (rest > 0) {
                int some = Math.min(rest, in.readableBytes());
                in.skipBytes(some);
                rest -= some;
                if (rest == 0) {
                    served++;
                    over();
                }
                return;
            }
            int end = in.bytesBefore((byte) '\n');
            if (end < 0) {
                if (in.readableBytes() > MOST_LINE) {
                    ctx.close();
                }
                return;
            }
            String line = in.readCharSequence(end, StandardCharsets.ISO_8859_1).toString().trim();
            in.skipBytes(1);
            if (ask == null) {
                // An answer that nobody asked for: not to be counted as anyone's.
                ctx.close();
            } else {
                count(line);
            }
        }

        private void count(String line) {
            String[] words = line.split(" ");
            boolean own = line.contains(" O" + ask.id());
            if (words[0].equals("VA") && own) {
                rest = Integer.parseInt(words[1]) + 2;
                return;
            }
            if (words[0].equals("HD") && own) {
                served++;
            } else if (words[0].equals("EN")) {
                missed++;
            } else if (line.startsWith("SERVER_ERROR busy")) {
                refused++;
            } else {
                failed++;
            }
            over();
        }

        private void over() {
            latencies.add((System.nanoTime() - askedAt) / 1e6);
            open--;
            ask = null;
            pause();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ask != null) {
                ask = null;
                open--;
                lost++;
            }
            loop.schedule(() -> new Client().connect(), RECONNECT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
