package eiderscale.net;

import eiderscale.config.Catalog;
import eiderscale.config.Config;
import eiderscale.config.ConfigException;
import eiderscale.config.Json;
import eiderscale.config.Site;
import eiderscale.Api.ListMode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Follows discovery's list of cache hosts, from when the module asks until a call fails. */
final class Discovery {
    /** Hears every list in order. A failure ends the watch; the module says when to ask again. */
    interface Listener {
        void onList(ListMode mode, List<Catalog.Member> members);

        /** The call that {@link Discovery#recheck} began has been told of. */
        void onRechecked();
    }

    /** How long a watch may wait for news; each call costs discovery work. */
    private static final long WAIT_MS = 20_000;
    /**
     * Silence for so long past that wait ends a watch, and the list is asked for at once: what the watch missed counts as told
     * 2 s past its wait, and drains give another second.
     */
    private static final long WATCH_SILENCE_MS = 1_000;
    /** How long a call that asks for what there is now may wait for news. */
    private static final long RECHECK_MS = 5;
    /** Silence for so long past that is a failure; a call may stand in line for two seconds. */
    private static final long RECHECK_SILENCE_MS = 2_500;
    /** From a failed first call to a new address to the next one. */
    private static final long MOVED_AGAIN_MS = 500;
    private static final int CONNECT_MS = 1_000;
    /** At most one call in this time, should answers come at once for ever; a watch allows 200 ms. */
    private static final long LEAST_MS = 100;
    private static final long TELL_AGAIN = 5 * Clock.SECOND;
    private static final int MOST_BYTES = 4 * 1024 * 1024;

    private InetSocketAddress address;
    private Site site;
    private final EventLoop loop;
    private final Listener listener;
    private long rev;
    /** Versions are one service's own: after a move the first call asks for the whole list. */
    private boolean moved;
    private long toldAt = Clock.now() - TELL_AGAIN;
    private int untold;
    /** The call that is out or about to begin; null while nobody watches. */
    private Call current;

    Discovery(Config config, EventLoop loop, Listener listener) {
        this.address = config.discovery();
        this.site = config.site();
        this.loop = loop;
        this.listener = listener;
        this.rev = config.known().rev();
    }

    /** The version that is known of its list; negative while that is another service's. */
    long rev() {
        return moved ? -1 : rev;
    }

    /** Where it is asked; null for nowhere. */
    InetSocketAddress address() {
        return address;
    }

    /** Goes on from a version that another process was told. */
    void goOn(long from) {
        rev = from;
    }

    /** Names in lists are numbered by another site from here on. */
    void renew(Site fresh) {
        site = fresh;
    }

    /** Begins a watch from the last known version, unless one is on or there is nobody to ask. */
    void subscribe() {
        if (current == null && address != null) {
            current = new Call();
            current.start();
        }
    }

    /**
     * Asks at once, with an answer wanted soon whether or not there is news: what a watch that was out for long has told is not
     * all, as it says one thing and ends. False, and nothing is done, while nobody watches.
     */
    boolean recheck() {
        return current != null && ask();
    }

    /** The same whether or not anybody watches; false where there is nobody to ask. */
    boolean ask() {
        if (address == null) {
            return false;
        }
        if (current != null) {
            current.drop();
        }
        current = new Call(true);
        current.start();
        return current != null;
    }

    /**
     * Discovery is to be found elsewhere. The call to the old address is dropped without a word, as its end is
     * no failure that anyone should wait after, and the new address is asked at once: the old one tells nothing
     * any more, and what the new one knows is wanted within seconds.
     */
    void moveTo(InetSocketAddress fresh) {
        if (fresh.equals(address)) {
            return;
        }
        Counters.log("discovery moves from " + address + " to " + fresh);
        address = fresh;
        moved = true;
        if (current != null) {
            current.drop();
        }
        current = new Call();
        current.start();
    }

    /** What discovery at a new address has to tell counts as told within seconds of the move, whoever's turn it is. */
    private void askNewAddressAgain() {
        if (moved) {
            Call again = new Call();
            current = again;
            loop.schedule(again::start, MOVED_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Where discovery refuses, it is asked again every few milliseconds: told in part, lest that fills the log. */
    private void tell(String why) {
        long now = Clock.now();
        if (now - toldAt < TELL_AGAIN) {
            untold++;
            return;
        }
        Counters.log("discovery failed: " + why + (untold > 0 ? " (and " + untold + " times before)" : ""));
        toldAt = now;
        untold = 0;
    }

    /** One call, on a connection of its own: what a kept one had in flight when it broke is in doubt. */
    private final class Call extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final boolean isRecheck;
        /** It asks for what there is now, and waits for no news. */
        private final boolean isPrompt;
        private final long waitMs;
        private long begun;
        private Future<?> silence;
        private Channel channel;
        private boolean over;

        Call() {
            this(false);
        }

        Call(boolean isRecheck) {
            this.isRecheck = isRecheck;
            this.isPrompt = isRecheck || moved;
            this.waitMs = isPrompt ? RECHECK_MS : WAIT_MS;
        }

        void start() {
            if (over) {
                return;
            }
            begun = Clock.now();
            // Before the connection: a refused one may fail within this very call.
            silence = loop.schedule(this::silent, waitMs + (isPrompt ? RECHECK_SILENCE_MS : WATCH_SILENCE_MS),
                    TimeUnit.MILLISECONDS);
            ChannelFuture up = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            fresh.pipeline().addLast(new HttpClientCodec(),
                                    new HttpObjectAggregator(MOST_BYTES), Call.this);
                        }
                    })
                    .connect(address);
            channel = up.channel();
            up.addListener(done -> {
                if (done.isSuccess()) {
                    return;
                }
                if (loop.inEventLoop()) {
                    unconnected(done.cause());
                } else {
                    // Without a socket the channel never had a loop, and its end is told by a thread of Netty's.
                    loop.execute(() -> unconnected(done.cause()));
                }
            });
        }

        private void unconnected(Throwable cause) {
            // It may never have had a loop, and can't be closed then.
            channel = null;
            fail("no connection: " + cause.getMessage());
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/catalog/members" + (moved ? "" : "?since=" + rev + "&timeout_ms=" + waitMs));
            request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            ctx.close();
            if (over) {
                return;
            }
            if (!response.status().equals(HttpResponseStatus.OK) || response.decoderResult().isFailure()) {
                fail("status " + response.status().code());
                return;
            }
            Catalog catalog;
            try {
                catalog = Catalog.parse(Json.parse(ByteBufUtil.getBytes(response.content())), site);
            } catch (ConfigException e) {
                fail(e.getMessage());
                return;
            }
            end();
            if (moved) {
                Counters.log("discovery at " + address + " has version " + catalog.rev() + ", known was " + rev);
            }
            moved = false;
            rev = catalog.rev();
            Call next = new Call();
            current = next;
            long wait = Math.max(0, LEAST_MS - (Clock.now() - begun) / Clock.MILLISECOND);
            loop.schedule(next::start, wait, TimeUnit.MILLISECONDS);
            listener.onList(catalog.all() ? ListMode.FULL : ListMode.DELTA, catalog.members());
            if (isRecheck) {
                listener.onRechecked();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("the call broke");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(cause.toString());
        }

        private void end() {
            over = true;
            if (silence != null) {
                silence.cancel(false);
            }
        }

        /** Ends the call, or keeps it from starting, and tells nobody. */
        void drop() {
            end();
            if (channel != null) {
                channel.close();
            }
        }

        /** Nothing came of it in its time: a watch may have missed news, and anything else has failed. */
        private void silent() {
            if (isRecheck) {
                fail("silence");
            } else if (!over) {
                tell("silence");
                ask();
            }
        }

        private void fail(String why) {
            if (over) {
                return;
            }
            drop();
            current = null;
            tell(why);
            askNewAddressAgain();
            listener.onList(ListMode.FAILED, List.of());
            if (isRecheck) {
                listener.onRechecked();
            }
        }
    }
}
