package eiderscale.connections;

/**
 * One connection as the table knows it. All it needs is in this object: no connection costs an entry of a map.
 *
 * @param <C> the connection itself
 */
public final class Member<C> extends TimingWheel.Timer {
    /** Where it is in its life. */
    public enum State {
        /** Has yet to bring a good command. */
        FRESH,
        /** Has a command that is not answered. */
        BUSY,
        /** Has brought good commands only, and all are answered. */
        IDLE,
        /** Has brought a bad command; none is open. */
        DOUBTFUL,
        /** Is being closed: what still comes on it is not read as a command. */
        CLOSING,
        /** Is no more. */
        GONE
    }

    final C connection;
    final Object source;
    /** The tenant of its last request; null before the first. */
    Object tenant;
    private final ConnectionTable<C> table;
    State state = State.FRESH;
    boolean spoke;
    boolean faulty;
    /** There was no room for it: all it gets is a refusal. */
    boolean surplus;
    /** When it came, fell idle or began to close. */
    long since;
    /** When the command that is still coming in began; {@link Long#MAX_VALUE} if there is none. */
    long halfSince = Long.MAX_VALUE;
    /** Neighbours in the line of its state. */
    Member<C> before;
    Member<C> behind;
    Line<C> line;

    Member(ConnectionTable<C> table, C connection, Object source, long now) {
        this.table = table;
        this.connection = connection;
        this.source = source;
        this.since = now;
    }

    /** Where it is in its life. */
    public State state() {
        return state;
    }

    /** Whether there was no room for it, so that all it gets is a refusal. */
    public boolean isSurplus() {
        return surplus;
    }

    @Override
    protected void fire(long now) {
        table.due(this, now);
    }
}
