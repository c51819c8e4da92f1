package eiderscale.ledger;

import eiderscale.Api;

/**
 * What a driver does for the ledger. Any of these may be called during an event, and {@link #send} may tell the outcome of
 * its attempt before it returns.
 *
 * @param <W> requests
 * @param <C> who is answered
 * @param <L> what carries an attempt
 * @param <A> hosts' answers
 */
public interface LedgerActions<W extends Work, C, L, A> {
    /** Sends an attempt to a host that the lists have named. */
    void send(Attempt<W, C, L, A> attempt, long host);

    /** Ends the wait for an attempt, and tells nothing of it: one that was written costs its connection. */
    void abandon(Attempt<W, C, L, A> attempt);

    /** Whether the last byte of an attempt has left, or as much as its host may begin upon. */
    boolean isWritten(Attempt<W, C, L, A> attempt);

    /** Whether the rest of an answer that has begun is left alone for now, as its client does not take it. */
    boolean isHeldBack(Attempt<W, C, L, A> attempt);

    /** An attempt has its outcome, whoever has told it; for those who keep a record. */
    default void over(Attempt<W, C, L, A> attempt, Api.Reason reason) {
    }

    /** The final answer: a host's. */
    void served(Exchange<W, C, L, A> exchange, A answer);

    /** The final answer: asking again does no harm. {@code wait}: not before that, in nanoseconds; 0 if nothing is told. */
    void refused(Exchange<W, C, L, A> exchange, long wait);

    /** The final answer: it may have run. */
    void failed(Exchange<W, C, L, A> exchange);

    /** Calls {@link Due#due} at a moment or a little later, never earlier; one that is armed is armed anew. */
    void arm(Due timer, long at);

    /** Calls it no more, whether it was armed or not. */
    void disarm(Due timer);

    /** Closes idle connections to a host. */
    void closeIdle(long host);

    /** Follows the list of hosts. */
    void subscribe();

    /**
     * Puts a request on record before anything of it goes out; {@link Ledger#recorded} or {@link Ledger#unrecorded} is to be told,
     * perhaps before this returns.
     */
    default void record(Exchange<W, C, L, A> exchange) {
        throw new IllegalStateException("nothing keeps records here");
    }

    /** A request on record is over: {@code told}: its client has its answer, or nothing of it can run. */
    default void unrecord(Exchange<W, C, L, A> exchange, boolean told) {
    }

    /**
     * Asks for the list anew, at once, as what is known of it may be old: a call that begins now, whose end is told as a list or
     * as a call that failed, and then by {@link Ledger#rechecked}. False where lists come by themselves, or there is nobody to ask.
     */
    boolean recheck();

    /** The module has thrown this; the request that it was about is answered by the rules. */
    void unexpected(RuntimeException thrown);
}
