package eiderscale.ledger;

/** A request that the ledger has taken, as its client's side sees it. Moments are on the driver's clock. */
public interface Taken {
    /** Whether an attempt was made for it. */
    boolean isTried();

    /**
     * How far a body has come that is not held. {@code isAwaited}: all that the client has sent of it has been read, and its
     * end is not among that; otherwise its end may have been sent, and its client may wait from the first such moment on.
     */
    void bodyCame(long now, boolean isAwaited);

    /** All of a body that is not held has come. */
    void bodyEnded(long now);

    /** Its client has left: nothing is owed any more, and what is out for it is given up. */
    void clientGone(long now);
}
