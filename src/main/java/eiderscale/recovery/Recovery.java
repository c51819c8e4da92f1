package eiderscale.recovery;

/**
 * How a balancer goes on after it stood still. What it knows of its hosts is as old as the standstill, and all that its clients
 * have sent meanwhile is read in one moment: begun at once, those requests go to hosts that have drained since, and come to the
 * others as one burst from each balancer that stood.
 *
 * <p>It is <em>blind</em> until a call for the list, made behind the standstill, has been answered, has failed, or has taken too
 * long: requests wait. Then it is <em>settling</em>: a few begin, and each answer lets two more follow, as a sender on a fresh
 * path probes for room (slow start, RFC 5681, 3.1). Once nobody waits any more, or that has taken too long as well, it is
 * <em>settled</em> and no request waits. Evidence makes each step; the two limits are for evidence that does not come.
 */
public final class Recovery {
    /** Where a balancer is on its way back. */
    public enum State {
        /** Requests begin as they come. */
        SETTLED,
        /** No request begins. */
        BLIND,
        /** As many are out as answers allow. */
        SETTLING
    }

    /** The longest wait for the list, and for all who wait to have begun, in nanoseconds. */
    public static final long MOST_BLIND = 300_000_000L;
    public static final long MOST_SETTLING = 1_000_000_000L;
    /** That many begin before any answer. */
    static final int FIRST = 32;

    private State state = State.SETTLED;
    private int window;
    private int out;

    /** Where it is. */
    public State state() {
        return state;
    }

    /** It stood still; {@code asks}: whether there is anyone to ask for the list, and it is being asked. */
    public void stoodStill(boolean asks) {
        state = asks ? State.BLIND : State.SETTLING;
        window = FIRST;
        out = 0;
    }

    /** The list was told, or it will not be. */
    public void told() {
        if (state == State.BLIND) {
            state = State.SETTLING;
        }
    }

    /** Nobody waits, or they have waited long enough. */
    public void settled() {
        state = State.SETTLED;
    }

    /** Whether a request that waits, or comes, may begin now. */
    public boolean mayBegin() {
        return state == State.SETTLED || state == State.SETTLING && out < window;
    }

    /** A request begins. */
    public void began() {
        out++;
    }

    /** A request that began behind the standstill is over; {@code served}: by a host, which had room for it. */
    public void ended(boolean served) {
        out = Math.max(0, out - 1);
        window += served && state == State.SETTLING ? 1 : 0;
    }
}
