package eiderscale.net;

import eiderscale.ledger.Budget;

/** One protocol from end to end: its front takes requests that its hosts understand. */
public interface Protocol {
    /**
     * Makes the front; {@code budget}: bytes of requests' bodies that may be held, those that are still coming in included;
     * {@code answers}: bytes of whole answers that may be held, those that are still coming from hosts included.
     */
    Front front(Budget budget, Budget answers);

    /** How its hosts are spoken to. */
    HostProtocol hosts();
}
