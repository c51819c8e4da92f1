package eiderscale.net;

import eiderscale.Api;
import eiderscale.ledger.Work;

/** A request as fronts and hosts' protocols hand it on: to the core it is work. */
public interface Request extends Work {
    /** The settings that it came under. */
    Snapshot snapshot();

    @Override
    default Snapshot terms() {
        return snapshot();
    }

    /** What its settings say of its class. */
    default Api.RequestClass classSettings() {
        return snapshot().settings().classes().get(requestClass());
    }

    /** How long its client waits, in milliseconds from its arrival. */
    long waitMs();

    /** What it is about, for staff: a key, a method and a path. */
    String label();

    @Override
    default long waitNs() {
        return waitMs() * Clock.MILLISECOND;
    }
}
