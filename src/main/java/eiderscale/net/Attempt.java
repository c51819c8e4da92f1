package eiderscale.net;

import io.netty.util.concurrent.Future;

/** One send of a request to a cache host; numbered by its place among the request's sends. */
final class Attempt {
    final Exchange exchange;
    final int number;
    final long sentAt;
    final long cutAt;
    /** Set once, with the attempt's one outcome. */
    boolean over;
    /** Ends the wait at {@link #cutAt}. */
    Future<?> cut;
    /** The connection that carries it, or will once it is up; null before and after. */
    HostPool.Link link;

    Attempt(Exchange exchange, int number, long sentAt, long cutAt) {
        this.exchange = exchange;
        this.number = number;
        this.sentAt = sentAt;
        this.cutAt = cutAt;
    }

    /** Whether its last byte has left: from then on it may run. */
    boolean written() {
        return link != null && link.written();
    }
}
