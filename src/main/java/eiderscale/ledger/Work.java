package eiderscale.ledger;

/** A request as the ledger needs it. What it says to hosts and clients is known to its protocol alone. */
public interface Work {
    /** The settings that it came under, as one object: the numbers of its class and its tenant are theirs. */
    Terms terms();

    /** Hosts know it by this; no two open requests share one. Null where nobody tells requests apart by it. */
    String id();

    /** The number of its class in its settings. */
    int requestClass();

    /** The number of its tenant in its settings. */
    int tenant();

    /** What decides which hosts are first for it; the same on every balancer. */
    long key();

    /** How long its client waits, in nanoseconds from its arrival. */
    long waitNs();

    /** The work that its client expects, in nanoseconds; 0 if not told. */
    long work();

    /** Whether its client says that it has sent it before. */
    boolean repeat();

    /** Whether it changes anything at the hosts. */
    boolean write();

    /** Bytes of a body that are held until it is over. */
    int heldBytes();

    /** Whether a body follows it that is not held: its client's wait begins when all of that has come. */
    default boolean isBulk() {
        return false;
    }

    /** Whether its body ended before its end: what becomes of its attempt tells nothing of a host. */
    default boolean isCut() {
        return false;
    }

    /** Whether it can go out now: false once a body that is not held has begun to leave. */
    default boolean maySend() {
        return true;
    }
}
