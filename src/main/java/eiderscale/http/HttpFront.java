package eiderscale.http;

import eiderscale.config.HttpRules;
import eiderscale.http.cache.Fields;
import eiderscale.http.cache.HttpCache;
import eiderscale.http.cache.HttpDate;
import eiderscale.ledger.Budget;
import eiderscale.net.ClientConnection;
import eiderscale.net.ClientServer;
import eiderscale.net.Clock;
import eiderscale.net.Counters;
import eiderscale.net.Front;
import eiderscale.values.ValueRoom;
import io.netty.channel.socket.SocketChannel;

/** Clients that speak HTTP/1.1: what their connections share. For one event loop. */
final class HttpFront implements Front {
    private final Budget budget;
    private final ValueRoom uploads;
    private final String name;
    private final String via;
    /** Null where nothing is cached. */
    private final Store store;
    private final HttpCache cache;
    /** Made with the first connection, whose loop is that of all. */
    private Fetches fetches;
    /** How long fetches of what is stored took lately, in nanoseconds. */
    private double cost;
    private long dateSecond;
    private String date = "";

    HttpFront(HttpRules.Limits limits, Budget budget) {
        this.budget = budget;
        this.uploads = new ValueRoom(budget.most() / 2);
        this.name = limits.name();
        this.via = "1.1 " + name;
        this.store = limits.cache() == 0 ? null : new Store(limits.cache(), limits.largestObject(), Counters::log);
        this.cache = store == null ? null : new HttpCache(store);
    }

    @Override
    public ClientConnection open(ClientServer server, SocketChannel channel) {
        if (fetches == null) {
            fetches = new Fetches(this, () -> server.core(0).snapshot().site().joining, channel.eventLoop());
        }
        return new HttpConnection(this, server, channel);
    }

    @Override
    public String gauges() {
        return fetches == null ? "" : fetches.gauges();
    }

    /** A fetch of something that is stored took so long. */
    void took(long nanos) {
        cost = cost == 0 ? nanos : cost + (nanos - cost) / 8;
    }

    /** How long the next one is expected to take, in nanoseconds; 0 if not known. */
    double cost() {
        return cost;
    }

    /** Bytes of bodies that are held while they come, or go on. */
    Budget budget() {
        return budget;
    }

    /** The bytes that bodies on their way to hosts may hold. */
    ValueRoom uploads() {
        return uploads;
    }

    /** Null where nothing is cached. */
    HttpCache cache() {
        return cache;
    }

    /** Null where nothing is cached. */
    Store store() {
        return store;
    }

    Fetches fetches() {
        return fetches;
    }

    /** What it is called in fields. */
    String name() {
        return name;
    }

    /** Milliseconds since the epoch, by which ages are counted. */
    long nowMs() {
        return Clock.now() / Clock.MILLISECOND;
    }

    /** The time for {@code Date} (RFC 9110 section 6.6.1). */
    String date() {
        long second = nowMs() / 1000;
        if (second != dateSecond) {
            dateSecond = second;
            date = HttpDate.format(second);
        }
        return date;
    }

    /** The fields of a host's answer as they go on. */
    Fields passed(HttpAnswer answer) {
        Fields fields = HttpHosts.passedOn(answer.fields).without(name -> name.equals(HttpAnswer.LOAD)
                || name.equals(HttpHosts.HARMLESS) && answer.status >= 500);
        return fields.has("date") ? fields : fields.with("date", date());
    }

    /** These, passed on by this intermediary (RFC 9110 section 7.6.3). */
    Fields via(Fields fields) {
        String before = fields.joined("via");
        return fields.with("via", before == null ? via : before + ", " + via);
    }
}
