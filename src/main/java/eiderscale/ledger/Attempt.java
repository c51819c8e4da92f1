package eiderscale.ledger;

import eiderscale.Api;

/**
 * One send of a request to a host, numbered by its place among the request's sends; the timer that ends the wait for it. For
 * the type parameters see {@link LedgerActions}.
 */
public final class Attempt<W extends Work, C, L, A> extends Due {
    final int number;
    /** When it was sent; where a body follows that is not held, when all of that had come. */
    long sentAt;
    long cutAt;
    /** The module's own word on when it ends. */
    final long mostCutAt;
    /** Set once, with the attempt's one outcome. */
    boolean over;
    /** It has not gone out: whether its host still wants it is not known. */
    boolean waits;
    /** Known with its outcome. */
    boolean mayHaveRun;
    /** Its outcome; null before that. */
    Api.Reason outcome;
    /** When its answer began to come; 0 before that, and where answers come whole. From then on it has no cut. */
    long begunAt;
    /** When the last of a body came that has begun. */
    long partAt;
    private final Exchange<W, C, L, A> exchange;
    private final long host;
    /** The same as the ledger has it; null for one that no list has named. */
    final Ledger.Host target;
    private L link;
    /** Whether its connection has carried a request before. */
    private boolean onUsedConnection;

    Attempt(Exchange<W, C, L, A> exchange, int number, long host, Ledger.Host target, long sentAt, long cutAt,
            long mostCutAt) {
        this.exchange = exchange;
        this.number = number;
        this.host = host;
        this.target = target;
        this.sentAt = sentAt;
        this.cutAt = cutAt;
        this.mostCutAt = mostCutAt;
    }

    /** The request that it is made for. */
    public Exchange<W, C, L, A> exchange() {
        return exchange;
    }

    /** Its place among the request's sends, from 0. */
    public int number() {
        return number;
    }

    /** The host that it goes to. */
    public long host() {
        return host;
    }

    /** When it was sent. */
    public long sentAt() {
        return sentAt;
    }

    /** When the wait for it ends, unless its answer has begun by then. */
    public long cutAt() {
        return cutAt;
    }

    /** How much of its client's wait is left, in nanoseconds: all of it while the client has yet to send the rest of a body. */
    public long waitLeft(long now) {
        return Math.min(cutAt - now, exchange.work().waitNs());
    }

    /** How it ended; null while it is out. */
    public Api.Reason outcome() {
        return outcome;
    }

    /** Whether its outcome is known. */
    public boolean isOver() {
        return over;
    }

    /** What carries it, as its driver has set it; null before and after. */
    public L link() {
        return link;
    }

    /** For its driver. */
    public void link(L carrier) {
        link = carrier;
    }

    /** For its driver: whether the connection that carries it has carried a request before. */
    public void onUsedConnection(boolean used) {
        onUsedConnection = used;
    }

    boolean isOnUsedConnection() {
        return onUsedConnection;
    }

    /** Some more has come of an answer that has begun. */
    public void part(long now) {
        partAt = now;
    }

    /** How long its answer took, or the first of it. */
    long took(long now) {
        return (begunAt == 0 ? now : begunAt) - sentAt;
    }

    @Override
    public void due(long now) {
        exchange.generation.ledger.cut(now, this);
    }
}
