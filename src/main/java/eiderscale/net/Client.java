package eiderscale.net;

/** Where the one final answer to a request goes. Exactly one of these is called, once, unless the client left. */
public interface Client {
    /** A host's answer, as its protocol read it. */
    void served(Answer answer);

    /**
     * It never ran, or running again does no harm. {@code retryAfterMs}: not before so long; 0 if nothing is told.
     * {@code last}: what the host of the last attempt answered, if it answered; null otherwise. It is to be taken now.
     */
    void refused(long retryAfterMs, Answer last);

    /** It may have run. {@code last}: as above. */
    void failed(Answer last);
}
