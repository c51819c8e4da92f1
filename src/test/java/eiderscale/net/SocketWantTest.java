package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderscale.Api;
import eiderscale.Api.Reason;
import eiderscale.config.Catalog;
import eiderscale.config.Json;
import eiderscale.config.Site;
import eiderscale.ledger.Attempt;
import eiderscale.ledger.Budget;
import eiderscale.ledger.Counts;
import eiderscale.ledger.Due;
import eiderscale.ledger.Exchange;
import eiderscale.ledger.Ledger;
import eiderscale.ledger.LedgerActions;
import eiderscale.maintenance.Maintenance;
import eiderscale.meta.MetaProtocol;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What happens where the system has no socket to give (ENFILE, EMFILE, ENOBUFS). */
class SocketWantTest {
    private static final long HOST = Catalog.hash("s-0");

    /** A request of which nothing but its class matters. */
    private record Asked(Snapshot snapshot) implements Request {
        @Override
        public long waitMs() {
            return 5_000;
        }

        @Override
        public String label() {
            return "";
        }

        @Override
        public String id() {
            return "1";
        }

        @Override
        public int requestClass() {
            return 0;
        }

        @Override
        public int tenant() {
            return 0;
        }

        @Override
        public long key() {
            return 1;
        }

        @Override
        public long work() {
            return 0;
        }

        @Override
        public boolean repeat() {
            return false;
        }

        @Override
        public boolean write() {
            return false;
        }

        @Override
        public int heldBytes() {
            return 0;
        }
    }

    /** Passes attempts on to a pool and notes how they end, and whether on the loop. */
    private static final class Driver implements LedgerActions<Request, Client, HostPool.Link, Answer>, HostPool.Listener {
        final BlockingQueue<String> ends = new LinkedBlockingQueue<>();
        final EventLoop loop;
        HostPool pool;

        Driver(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public void send(Attempt<Request, Client, HostPool.Link, Answer> attempt, long host) {
            pool.send(attempt, host);
        }

        @Override
        public void onAnswer(Attempt<Request, Client, HostPool.Link, Answer> attempt, Reason reason, Answer answer) {
            ends.add(reason + (loop.inEventLoop() ? " on the loop" : " on " + Thread.currentThread().getName()));
        }

        @Override
        public void onBegun(Attempt<Request, Client, HostPool.Link, Answer> attempt, Answer answer) {
        }

        @Override
        public boolean isLeaving(long host) {
            return false;
        }

        @Override
        public Reason attributed(Attempt<Request, Client, HostPool.Link, Answer> attempt, Reason told) {
            return told;
        }

        @Override
        public Reason hindrance(Attempt<Request, Client, HostPool.Link, Answer> attempt) {
            return null;
        }

        @Override
        public void abandon(Attempt<Request, Client, HostPool.Link, Answer> attempt) {
        }

        @Override
        public boolean isWritten(Attempt<Request, Client, HostPool.Link, Answer> attempt) {
            return false;
        }

        @Override
        public boolean isHeldBack(Attempt<Request, Client, HostPool.Link, Answer> attempt) {
            return false;
        }

        @Override
        public void served(Exchange<Request, Client, HostPool.Link, Answer> exchange, Answer answer) {
        }

        @Override
        public void refused(Exchange<Request, Client, HostPool.Link, Answer> exchange, long wait) {
        }

        @Override
        public void failed(Exchange<Request, Client, HostPool.Link, Answer> exchange) {
        }

        @Override
        public void arm(Due timer, long at) {
        }

        @Override
        public void disarm(Due timer) {
        }

        @Override
        public void closeIdle(long host) {
        }

        @Override
        public void subscribe() {
        }

        @Override
        public boolean recheck() {
            return false;
        }

        @Override
        public void unexpected(RuntimeException thrown) {
            ends.add("unexpected: " + thrown);
        }
    }

    /** Guards against lost requests: one loop owns the state, and what another thread tells it may get lost. */
    @Test
    void anAttemptWithoutASocketEndsOnTheLoop() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (Rig rig = new Rig()) {
            EventLoop loop = group.next();
            Site site = rig.site();
            Snapshot snapshot = new Snapshot(site);
            Driver driver = new Driver(loop);
            loop.submit(() -> {
                driver.pool = new HostPool(site, loop, new Counters(), new MetaProtocol(site.hostKind).hosts(), 10, driver, () -> {
                    throw new ChannelException("no buffer space available");
                });
                Ledger<Request, Client, HostPool.Link, Answer> ledger = new Ledger<>(snapshot, 1,
                        (settings, seed, actions) -> new Scripted(actions) {
                            @Override
                            public void onRequest(long now, Api.Request request) {
                                actions.send(request.id(), HOST, 0);
                            }
                        }, driver, new Counts(), new Budget(Long.MAX_VALUE), new Maintenance());
                Catalog list = Catalog.parse(Json.parse(("{\"rev\":1,\"all\":true,\"targets\":["
                        + Rig.target("s-0", "127.0.0.1:9", "Ready") + "]}").getBytes(StandardCharsets.UTF_8)), site);
                driver.pool.update(Api.ListMode.FULL, list.members());
                ledger.onList(Clock.now(), Api.ListMode.FULL, list.members().stream().map(Catalog.Member::server).toList());
                ledger.take(Clock.now(), new Asked(snapshot), null);
            }).get();
            assertEquals("CONNECT_FAILED on the loop", driver.ends.poll(Peer.LIMIT_MS, TimeUnit.MILLISECONDS));
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}
