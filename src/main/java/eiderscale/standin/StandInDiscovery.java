package eiderscale.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * A list of hosts on loopback that is asked over HTTP: the whole of it, or a watch on what changes. It can be too busy for
 * some of the calls, or say nothing at all.
 */
public final class StandInDiscovery implements AutoCloseable {
    private static final int MOST_REQUEST = 64 * 1024;
    private static final long MOST_WAIT_MS = 60_000;

    /** An entry as it is listed, and the version at which it last changed. */
    private record Entry(String json, String state, long rev) {
    }

    private record Watch(ChannelHandlerContext ctx, long since) {
    }

    private final EventLoop loop;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Channel server;
    private final AtomicLong calls = new AtomicLong();
    private volatile BooleanSupplier answers = () -> true;
    private volatile long takes;
    private volatile Told told = (uid, state) -> { };
    private volatile boolean silent;
    private long rev = 1;

    /** Hears what has been written to whoever asked; on this one's loop. */
    public interface Told {
        /** An entry, as it is told. */
        void told(String uid, String state);
    }

    /** Starts on a free port of loopback. */
    public StandInDiscovery(EventLoop loop) throws InterruptedException {
        this.loop = loop;
        server = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        fresh.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_REQUEST),
                                new Call());
                    }
                }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel();
    }

    /** {@code ADDRESS:PORT}. */
    public String endpoint() {
        return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** From now on calls are answered 503 where this says no; asked on this one's loop, once a call. */
    public void answers(BooleanSupplier each) {
        answers = each;
    }

    /** From now on each answer takes so long, in nanoseconds, from when it is known that it is to be given. */
    public void takes(long ns) {
        takes = ns;
    }

    /** From now on calls get no answer and watches hear nothing, or they do again. */
    public void silent(boolean is) throws InterruptedException {
        silent = is;
        loop.submit(() -> {
            List<Watch> waiting = new ArrayList<>(watches);
            watches.clear();
            waiting.forEach(this::tell);
        }).sync();
    }

    /** From now on this one hears what is told. */
    public void onTold(Told listener) {
        told = listener;
    }

    /** Calls that came. */
    public long calls() {
        return calls.get();
    }

    /** Lists a host, or lists it anew; {@code state}: Ready, Terminating or Gone. {@code bootMs}: Unix time or 0. */
    public void put(String uid, String endpoint, String state, long bootMs) throws InterruptedException {
        put(uid, endpoint, "a", state, bootMs);
    }

    /** The same in a zone. */
    public void put(String uid, String endpoint, String zone, String state, long bootMs) throws InterruptedException {
        loop.submit(() -> {
            rev++;
            entries.put(uid, new Entry("{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint
                    + "\",\"az\":\"" + zone + "\",\"model\":\"m\",\"pod_group\":0,\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}", state, rev));
            List<Watch> waiting = new ArrayList<>(watches);
            watches.clear();
            waiting.forEach(this::tell);
        }).sync();
    }

    private void tell(Watch watch) {
        if (silent) {
            watches.add(watch);
        } else if (takes > 0) {
            loop.schedule(() -> write(watch), takes, TimeUnit.NANOSECONDS);
        } else {
            write(watch);
        }
    }

    /** A call with a version gets what has changed since; one without gets the whole list. */
    private void write(Watch watch) {
        boolean all = watch.since < 0;
        List<String> targets = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.rev > watch.since && !(all && entry.json.contains("\"Gone\""))) {
                targets.add(entry.json);
            }
        }
        entries.forEach((uid, entry) -> {
            if (entry.rev > watch.since) {
                told.told(uid, entry.state);
            }
        });
        answer(watch.ctx, HttpResponseStatus.OK, "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":["
                + String.join(",", targets) + "]}");
    }

    private static void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String json) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(json, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        ctx.writeAndFlush(response);
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            if (!uri.path().equals("/catalog/members")) {
                answer(ctx, HttpResponseStatus.NOT_FOUND, "{}");
                return;
            }
            calls.incrementAndGet();
            if (!answers.getAsBoolean()) {
                answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "{}");
                return;
            }
            long since = number(uri, "since", -1);
            Watch watch = new Watch(ctx, since);
            if (since < 0 || since < rev) {
                tell(watch);
                return;
            }
            watches.add(watch);
            loop.schedule(() -> {
                if (watches.remove(watch)) {
                    tell(watch);
                }
            }, Math.min(MOST_WAIT_MS, number(uri, "timeout_ms", 0)), TimeUnit.MILLISECONDS);
        }

        private static long number(QueryStringDecoder uri, String name, long otherwise) {
            List<String> values = uri.parameters().get(name);
            return values == null ? otherwise : Long.parseLong(values.get(0));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watches.removeIf(watch -> watch.ctx == ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
    }
}
