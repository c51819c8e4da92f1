package eiderscale.net;

/**
 * Ids of unsafe requests, as far as two processes that serve as one balancer must not both carry one out. For the event
 * loop; a claim costs one call to the file system at most.
 */
public interface IdClaims {
    /** Where there is no other process. */
    IdClaims NONE = new IdClaims() {
        @Override
        public boolean claim(String id) {
            return true;
        }

        @Override
        public void release(String id) {
        }
    };

    /** Before a request goes out: false if the other process has one under this id, or had one that may have run. */
    boolean claim(String id);

    /** It is answered: what comes under the id from here on is another request. */
    void release(String id);
}
