package eiderscale.ledger;

import eiderscale.connections.TimingWheel;

/** A timer of the ledger's; it stands in a driver's wheel, or in whatever else the driver keeps time by. */
public abstract class Due extends TimingWheel.Timer {
    private Object handle;

    /** What its driver keeps with it; null before that is set. */
    public final Object handle() {
        return handle;
    }

    /** For its driver. */
    public final void handle(Object kept) {
        handle = kept;
    }

    /** Its moment has come; called once for each time that it is armed. */
    public abstract void due(long now);

    @Override
    protected final void fire(long now) {
        due(now);
    }
}
