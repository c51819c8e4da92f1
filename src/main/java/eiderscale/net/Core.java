package eiderscale.net;

import eiderscale.ledger.Taken;

/** What fronts see of the balancer. */
public interface Core {
    /** The settings in service: for a request that comes now, and never on behalf of one that is open. */
    Snapshot snapshot();

    /** An id for a request whose client gave none. */
    String ownId();

    /** Whether a request with this id is owed an answer: another one under it cannot be taken. */
    boolean isOpen(String id);

    /** Whether an unsafe request with this id may have run, whose client left without an answer: it must not run again. */
    boolean isSpent(String id);

    /** What another process of this balancer must not carry out as well. */
    IdClaims claims();

    /**
     * Takes a request, which is answered exactly once unless its client leaves first; perhaps before this returns.
     * Throws {@link IllegalStateException} if its id is open.
     */
    Taken take(Request request, Client client);

    /** The latest moment, on the program's clock, for the answer to a request that comes now and waits so long. */
    long deadline(long waitMs);

    /** A request of a tenant waits for the answer to another one, and is not taken itself; {@code snapshot}: its settings. */
    void joined(Snapshot snapshot, int tenant);
}
