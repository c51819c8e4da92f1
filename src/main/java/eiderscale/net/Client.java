package eiderscale.net;

/** Where the one final answer to a request goes. Exactly one of these is called, once, unless the client left. */
public interface Client {
    /** A host's answer, as its protocol read it. */
    void served(Answer answer);

    /** It never ran, and may be asked again. {@code retryAfterMs}: not before so long; 0 if nothing is told. */
    void refused(long retryAfterMs);

    /** It may have run. */
    void failed();
}
