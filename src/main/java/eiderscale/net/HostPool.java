package eiderscale.net;

import eiderscale.config.Catalog;
import eiderscale.config.Site;
import eiderscale.Api;
import eiderscale.Api.Reason;
import eiderscale.connections.HostLinks;
import eiderscale.ledger.Attempt;
import eiderscale.ledger.Exchange;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Connections to cache hosts, each with one request at a time: never more than a site allows, and an
 * attempt that is given up then costs no other request its connection. Nothing is ever sent again here.
 */
final class HostPool {
    /** Hears how attempts end, but for those that it abandoned itself, and says what may go out. */
    interface Listener {
        void onAnswer(Attempt<Request, Client, Link, Answer> attempt, Reason reason, Answer answer);

        /** A good answer has begun to come; {@link #onAnswer} follows at its end. */
        void onBegun(Attempt<Request, Client, Link, Answer> attempt, Answer answer);

        /** Whether a host takes nothing new but what is on its way. */
        boolean isLeaving(long host);

        /** What the outcome of an attempt proves, given what its connection has carried. */
        Reason attributed(Attempt<Request, Client, Link, Answer> attempt, Reason told);

        /** How an attempt ends whose connection is up and that may not be written any more; null if it may. */
        Reason hindrance(Attempt<Request, Client, Link, Answer> attempt);
    }

    /** Read at once, in bytes: what is read of a long value counts only then. */
    private static final int MOST_READ = 16 * 1024;

    /** Characters of an answer that are kept for logs. */
    private static final int MOST_LOGGED = 60;

    /** A cache host and where it is reached. */
    private static final class Host {
        final long id;
        InetSocketAddress endpoint;
        boolean gone;

        Host(long id) {
            this.id = id;
        }
    }

    private Site site;
    private final EventLoop loop;
    private final HostProtocol protocol;
    private final Counters counters;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private final Map<Long, Host> hosts = new HashMap<>();
    /** By address, the host that lists have last named there. */
    private final Map<InetSocketAddress, Long> owners = new HashMap<>();
    private final HostLinks<Link> links;
    private final AttemptLog log;
    private long lastLink;

    HostPool(Site site, EventLoop loop, Counters counters, HostProtocol protocol, int mostLinks, Listener listener) {
        this(site, loop, counters, protocol, mostLinks, listener, NioSocketChannel::new);
    }

    /** {@code sockets}: makes sockets; it throws where the system has none to give. */
    HostPool(Site site, EventLoop loop, Counters counters, HostProtocol protocol, int mostLinks, Listener listener,
             ChannelFactory<? extends SocketChannel> sockets) {
        this.site = site;
        this.loop = loop;
        this.protocol = protocol;
        this.counters = counters;
        this.log = new AttemptLog(counters);
        this.links = new HostLinks<>(mostLinks, Link::giveUp);
        this.listener = listener;
        this.bootstrap = new Bootstrap().group(loop).channelFactory(sockets)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 2048, MOST_READ));
        renew(site);
    }

    /** Goes by other figures from here on; what kind its hosts are stays. */
    void renew(Site fresh) {
        site = fresh;
        bootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, site.connectTimeout / Clock.MILLISECOND))
                // None takes the option out again.
                .option(ChannelOption.SO_SNDBUF, site.sendBuffer > 0 ? site.sendBuffer : null);
    }

    /** Applies a list before the module sees it, so that every host it may name is known here. */
    void update(Api.ListMode mode, List<Catalog.Member> members) {
        if (mode == Api.ListMode.FAILED) {
            return;
        }
        Set<Host> unnamed = new LinkedHashSet<>(hosts.values());
        for (Catalog.Member member : members) {
            Host host = hosts.computeIfAbsent(member.server().id(), Host::new);
            unnamed.remove(host);
            if (!member.endpoint().equals(host.endpoint)) {
                links.closeIdle(host.id);
                host.endpoint = member.endpoint();
            }
            host.gone = member.server().state() == Api.State.GONE;
            if (member.server().state() == Api.State.READY) {
                owners.put(host.endpoint, host.id);
            } else if (!host.gone) {
                owners.putIfAbsent(host.endpoint, host.id);
            }
        }
        if (mode != Api.ListMode.DELTA) {
            unnamed.forEach(host -> host.gone = true);
        }
    }

    /** Sends an attempt on the warmest connection, or on a new one where none is free. */
    void send(Attempt<Request, Client, Link, Answer> attempt, long server) {
        Host host = hosts.get(server);
        if (host == null) {
            listener.onAnswer(attempt, Reason.MOOT, null);
            return;
        }
        HostLinks.Entry<Link> idle = links.take(Clock.now(), host.id, unsafe(attempt), link -> link.channel.isActive());
        if (idle != null) {
            idle.link().carry(attempt);
            idle.link().write();
        } else if (!links.mayOpen()) {
            // No room here is not the host's fault: told as 'not sent', which blames nobody and refuses.
            counters.ledger.refusedHere();
            listener.onAnswer(attempt, Reason.MOOT, null);
        } else {
            new Link(host).connect(attempt);
        }
    }

    /** Whether a reset that may have come after it ran would be the end of it. */
    private static boolean unsafe(Attempt<Request, Client, Link, Answer> attempt) {
        Exchange<Request, Client, Link, Answer> exchange = attempt.exchange();
        return exchange.terms().settings().classes().get(exchange.work().requestClass()).effect() == Api.Effect.FRAGILE;
    }

    /** Ends the wait for an attempt. One that was written costs its connection, as its answer may still come. */
    void abandon(Attempt<Request, Client, Link, Answer> attempt) {
        Link link = attempt.link();
        if (link != null) {
            log.ended(attempt, link, "given up", "");
            link.release();
            if (link.sent != null) {
                link.channel.close();
            }
        }
    }

    void closeIdle(long server) {
        links.closeIdle(server);
    }

    /** Gives connections up well before their hosts would, and forgets hosts that are gone. */
    void sweep() {
        links.sweep(Clock.now(), site.idleTime);
        hosts.values().removeIf(host -> host.gone && links.forget(host.id));
        owners.values().removeIf(id -> !hosts.containsKey(id));
    }

    String gauges() {
        return "hosts " + hosts.size() + " links " + links.size() + " idle " + links.idle();
    }

    /** One connection, its states in order: coming up, then idle or carrying an attempt, then closed. */
    final class Link extends ChannelInboundHandlerAdapter {
        private final Host host;
        /** Where it was opened to; its host may be listed elsewhere by now, and another one there. */
        private final InetSocketAddress endpoint;
        private final HostProtocol.Dialog dialog = protocol.open();
        private Channel channel;
        private Attempt<Request, Client, Link, Answer> attempt;
        /** The write of the present attempt; done when its last byte has left. */
        private ChannelFuture sent;
        private HostLinks.Entry<Link> entry;
        /** Its answer has come and the read that brought it is not over. */
        private boolean answered;
        /** When the last came of an answer that was told before its end. */
        private long trailedAt;
        /** Some of it has left, of a request that may run by that. */
        private boolean partly;
        /** A request has been written on it. */
        private boolean used;
        private final long number = ++lastLink;
        /** Requests that it has carried, the present one included. */
        private long carried;
        /** The last answer that ended an attempt on it, and when that came. */
        private String lastAnswer = "none";
        private long lastAnswerAt;

        private Link(Host host) {
            this.host = host;
            this.endpoint = host.endpoint;
        }

        /** For logs: its number, its host, and what it has carried. */
        @Override
        public String toString() {
            String since = lastAnswerAt == 0 ? "" : " " + (Clock.now() - lastAnswerAt) / Clock.MILLISECOND + " ms ago";
            return "connection=" + number + " host=" + host.endpoint + " carried=" + carried + " last-answer=\"" + lastAnswer + '"' + since;
        }

        private void connect(Attempt<Request, Client, Link, Answer> first) {
            carry(first);
            counters.connects++;
            entry = links.opened(host.id, this);
            ChannelFuture up = bootstrap.clone().handler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel fresh) {
                    fresh.pipeline().addLast(dialog.decoder(), Link.this);
                }
            }).connect(endpoint);
            channel = up.channel();
            up.addListener(done -> {
                if (done.isSuccess()) {
                    return;
                }
                if (loop.inEventLoop()) {
                    lost();
                } else {
                    // Without a socket the channel never had a loop, and its end is told by a thread of Netty's.
                    loop.execute(this::lost);
                }
            });
        }

        private void carry(Attempt<Request, Client, Link, Answer> next) {
            attempt = next;
            carried++;
            next.onUsedConnection(used);
            next.link(this);
        }

        private void release() {
            attempt.link(null);
            attempt = null;
        }

        boolean written() {
            return sent != null && (partly || sent.isSuccess() && dialog.isSent(attempt.exchange().work()));
        }

        /** Whether what comes is left alone for now, as its client does not take it. */
        boolean isHeldBack() {
            return !channel.config().isAutoRead();
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (attempt == null) {
                // Cancelled or cut while the connection came up: nothing is written, the connection is kept.
                goIdle();
            } else {
                write();
            }
        }

        private void write() {
            Reason hindrance = leadsAstray() ? Reason.CONNECT_FAILED : listener.hindrance(attempt);
            if (hindrance != null) {
                finish(hindrance, null, true);
                return;
            }
            long leftMs = Math.max(1, attempt.waitLeft(Clock.now()) / Clock.MILLISECOND);
            ByteBuf bytes = dialog.encode(attempt.exchange().work(), channel.alloc(), leftMs);
            ChannelPromise promise = channel.newPromise();
            partly = false;
            if (dialog.runsInPart(attempt.exchange().work())) {
                ChannelProgressivePromise told = channel.newProgressivePromise();
                told.addListener(new Progress());
                promise = told;
            }
            sent = promise;
            used = true;
            channel.writeAndFlush(bytes, promise);
            if (attempt != null) {
                dialog.sent(attempt.exchange().work(), channel);
            }
        }

        /** Whether another process than its host answers at its far end, or may: nothing of the attempt has left. */
        private boolean leadsAstray() {
            return !endpoint.equals(host.endpoint) || !Long.valueOf(host.id).equals(owners.get(endpoint));
        }

        /** Hears of bytes that have left while others have not. */
        private final class Progress implements ChannelProgressiveFutureListener {
            @Override
            public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
                partly |= future == sent && progress > 0;
            }

            @Override
            public void operationComplete(ChannelProgressiveFuture future) {
                // Seen in the future itself.
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                read(message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(Object message) {
            if (attempt == null) {
                if (dialog.trail(message)) {
                    trailedAt = Clock.now();
                } else {
                    // Nobody asked: what follows on this connection cannot be told apart any more.
                    counters.unsolicited++;
                    log.unsolicited(this, message);
                    retire();
                }
                return;
            }
            HostProtocol.Verdict verdict = dialog.judge(attempt.exchange().work(), message);
            if (verdict.stage() == HostProtocol.Stage.PART) {
                attempt.part(Clock.now());
            } else if (verdict.stage() == HostProtocol.Stage.BEGUN) {
                listener.onBegun(attempt, verdict.answer());
            } else if (verdict.reason() == null) {
                counters.mismatched++;
                counters.noise("a cache host broke the protocol: request=" + attempt.exchange().work().id() + ' ' + this
                        + " answer=" + verdict.fault());
                finish(Reason.ERROR, null, true);
            } else {
                boolean full = isFull(verdict);
                if (full) {
                    counters.tablesFull++;
                    links.turnedAway();
                } else if (verdict.reason() == Reason.OK && entry.isNew()) {
                    links.welcomed();
                }
                if (verdict.reason() == Reason.REJECTED) {
                    links.rejected(Clock.now(), entry);
                }
                Reason reason = listener.attributed(attempt, verdict.reason());
                // A connection that was one too many stays that, and one whose answers cannot be told apart is of no use.
                finish(reason, verdict.answer(), full || reason == Reason.UNATTRIBUTED || !sent.isSuccess());
            }
        }

        /** Whether its host had no room for this connection: a full queue would come with a report, where there are any. */
        private boolean isFull(HostProtocol.Verdict verdict) {
            return verdict.reason() == Reason.REJECTED && entry.isNew() && !listener.isLeaving(host.id)
                    && site.settings.report().busy() >= 0 && verdict.answer() != null && verdict.answer().loadReport() == null;
        }

        /**
         * A connection is free only once all that came has been read and nothing came behind the answer: noise
         * there, whole or in part, would be taken for the answer to the next request. Likewise any byte on an
         * idle connection ends it.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (attempt != null || dialog.trails()) {
                return;
            }
            if (!dialog.isClean()) {
                retire();
            } else if (answered) {
                answered = false;
                goIdle();
            }
        }

        private void learn(boolean reset) {
            long now = Clock.now();
            links.used(now, entry, reset, now - attempt.sentAt());
        }

        private void finish(Reason reason, Answer answer, boolean close) {
            Attempt<Request, Client, Link, Answer> ended = attempt;
            String said = answer == null ? "" : answer.summary();
            log.ended(ended, this, reason.name(), said);
            lastAnswer = said.substring(0, Math.min(MOST_LOGGED, said.length()));
            lastAnswerAt = Clock.now();
            learn(false);
            release();
            sent = null;
            answered = !close;
            if (close) {
                channel.close();
            }
            listener.onAnswer(ended, reason, answer);
            if (dialog.trails()) {
                trailedAt = Clock.now();
                seeTrail(ended.exchange().terms().stallTime());
            }
        }

        /** Something must come of an answer that is still wanted; where its client takes nothing, that is not the host's. */
        private void seeTrail(long stallTime) {
            channel.eventLoop().schedule(() -> {
                if (!dialog.trails() || !channel.isActive()) {
                    return;
                }
                if (isHeldBack() || Clock.now() - trailedAt < stallTime) {
                    seeTrail(stallTime);
                } else {
                    channel.close();
                }
            }, stallTime, TimeUnit.NANOSECONDS);
        }

        private void goIdle() {
            if (listener.isLeaving(host.id) || !channel.isActive() || leadsAstray()) {
                channel.close();
                return;
            }
            links.rest(Clock.now(), entry);
        }

        /** It is of no use any more: its place is free as soon as its end is sure. */
        private void retire() {
            links.ended(entry);
            giveUp();
        }

        private void giveUp() {
            answered = false;
            channel.close();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            dialog.writabilityChanged();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                counters.unexpected("on a connection to a cache host", cause);
            }
            dialog.lost();
            ctx.close();
        }

        private void lost() {
            links.ended(entry);
            dialog.lost();
            if (attempt != null) {
                // Before its last byte has left a request cannot run; after that it may have.
                Reason reason = written() ? Reason.RESET : attempt.exchange().work().isCut() ? Reason.MOOT
                        : Reason.CONNECT_FAILED;
                Attempt<Request, Client, Link, Answer> ended = attempt;
                log.ended(ended, this, reason.name(), "");
                learn(true);
                release();
                listener.onAnswer(ended, reason, null);
            }
        }
    }
}
