package eiderscale.net;

/**
 * Ids of unsafe requests, as far as two processes that serve as one balancer must not both carry one out. For the event
 * loop; a claim costs one call to the file system at most.
 */
public interface IdClaims {
    /** What becomes of a claim. */
    enum Claim {
        /** This process alone may carry it out. */
        GRANTED,
        /** Another process has one under this id, or had one that may have run. */
        TAKEN,
        /** Whether another process has one can't be found out: it must not go out. */
        UNKNOWN
    }

    /** Where there is no other process. */
    IdClaims NONE = new IdClaims() {
        @Override
        public Claim claim(String id) {
            return Claim.GRANTED;
        }

        @Override
        public void release(String id) {
        }
    };

    /** To be asked before a request goes out. */
    Claim claim(String id);

    /** It is answered: what comes under the id from here on is another request. */
    void release(String id);
}
