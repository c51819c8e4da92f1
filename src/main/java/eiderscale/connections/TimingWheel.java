package eiderscale.connections;

/**
 * Timers whose cost does not grow with their number: setting, moving and cancelling one takes constant time, and so
 * does finding the next that may be due. Two wheels (Varghese and Lauck, "Hashed and Hierarchical Timing Wheels",
 * 1987): one of ticks, and one whose slots are turns of the first, from which timers come down as their turn begins.
 *
 * <p>A timer fires at the first call of {@link #advance} at or after its moment, up to one tick late, never early.
 * What falls due together is handed out in portions, in the order of its ticks.
 */
public final class TimingWheel {
    /** What is to happen; a timer belongs to one wheel and is set at most once at a time. */
    public abstract static class Timer {
        private Timer next;
        private Timer previous;
        private long at;

        /** Whether it is set. */
        public final boolean isSet() {
            return next != null;
        }

        /** The moment it is set for. */
        public final long at() {
            return at;
        }

        /** It is due; it may be set again here. */
        protected abstract void fire(long now);
    }

    /** A slot, or the list of those that are due: a ring with itself as its end. */
    private static final class Ring extends Timer {
        Ring() {
            super.next = this;
            super.previous = this;
        }

        boolean isEmpty() {
            return super.next == this;
        }

        Timer first() {
            return super.next;
        }

        @Override
        protected void fire(long now) {
            throw new IllegalStateException("an end of a ring is never due");
        }
    }

    private static final int SLOTS = 512;
    private static final int MASK = SLOTS - 1;
    private static final long NONE = Long.MAX_VALUE;

    private final long tick;
    private final long origin;
    private final Ring[] near = rings();
    private final Ring[] far = rings();
    private final long[] nearBits = new long[SLOTS / Long.SIZE];
    private final long[] farBits = new long[SLOTS / Long.SIZE];
    private final Ring due = new Ring();
    /** Ticks that have been gone through. */
    private long done;
    private int size;

    /** {@code tick}: nanoseconds between two steps; {@code now}: the time at its making. */
    public TimingWheel(long tick, long now) {
        if (tick <= 0) {
            throw new IllegalArgumentException("a tick takes time: " + tick);
        }
        this.tick = tick;
        this.origin = now;
    }

    private static Ring[] rings() {
        Ring[] rings = new Ring[SLOTS];
        for (int i = 0; i < SLOTS; i++) {
            rings[i] = new Ring();
        }
        return rings;
    }

    /** How many timers are set. */
    public int size() {
        return size;
    }

    /** Sets a timer, or sets it anew; a moment that has passed is due at the next call of {@link #advance}. */
    public void set(Timer timer, long at) {
        cancel(timer);
        timer.at = at;
        size++;
        place(timer);
    }

    /** Unsets a timer that may be set. */
    public void cancel(Timer timer) {
        if (timer.next == null) {
            return;
        }
        unlink(timer);
        size--;
    }

    private static void unlink(Timer timer) {
        timer.previous.next = timer.next;
        timer.next.previous = timer.previous;
        timer.next = null;
        timer.previous = null;
    }

    private static void link(Ring ring, Timer timer) {
        timer.previous = ((Timer) ring).previous;
        timer.next = ring;
        timer.previous.next = timer;
        ((Timer) ring).previous = timer;
    }

    /** The first tick at which a moment has come. */
    private long tickOf(long at) {
        return Math.floorDiv(at - origin + tick - 1, tick);
    }

    private void place(Timer timer) {
        long at = tickOf(timer.at);
        if (at <= done) {
            link(due, timer);
        } else if ((at >> 9) == (done >> 9)) {
            link(near[(int) at & MASK], timer);
            mark(nearBits, (int) at & MASK);
        } else {
            // Past the last turn that the far wheel has, it waits there and is placed anew.
            long turn = Math.min(at >> 9, (done >> 9) + SLOTS - 1);
            link(far[(int) turn & MASK], timer);
            mark(farBits, (int) turn & MASK);
        }
    }

    private static void mark(long[] bits, int slot) {
        bits[slot >> 6] |= 1L << slot;
    }

    /**
     * A moment at or before the next one at which a timer may fire; {@link Long#MAX_VALUE} if none is set. The
     * caller advances then.
     */
    public long nextAt() {
        if (!due.isEmpty()) {
            return origin + done * tick;
        }
        int slot = (int) (done + 1) & MASK;
        // A turn that has just ended leaves the near wheel empty until the far one's next slot comes down.
        int found = slot == 0 ? -1 : firstFrom(nearBits, near, slot);
        if (found >= 0) {
            return origin + ((done & ~(long) MASK) + found) * tick;
        }
        long turn = (done >> 9) + 1;
        for (int i = 0; i < SLOTS; i++) {
            int at = (int) (turn + i) & MASK;
            if ((farBits[at >> 6] & 1L << at) != 0) {
                if (!far[at].isEmpty()) {
                    return origin + ((turn + i) << 9) * tick;
                }
                farBits[at >> 6] &= ~(1L << at);
            }
        }
        return NONE;
    }

    /** The first slot from this one on that holds anything; bits of slots that were emptied are cleared. */
    private static int firstFrom(long[] bits, Ring[] rings, int from) {
        for (int word = from >> 6; word < bits.length; word++) {
            long left = word == from >> 6 ? bits[word] & -1L << from : bits[word];
            while (left != 0) {
                int slot = (word << 6) + Long.numberOfTrailingZeros(left);
                if (!rings[slot].isEmpty()) {
                    return slot;
                }
                bits[word] &= ~(1L << slot);
                left &= left - 1;
            }
        }
        return -1;
    }

    /**
     * Fires what is due at {@code now}, {@code most} timers at most; returns how many. More may be left, which
     * {@link #nextAt} tells by a moment that has passed.
     */
    public int advance(long now, int most) {
        long until = Math.floorDiv(now - origin, tick);
        int fired = fire(now, most, 0);
        while (fired < most && done < until) {
            step(until);
            fired = fire(now, most, fired);
        }
        return fired;
    }

    private int fire(long now, int most, int before) {
        int fired = before;
        while (fired < most && !due.isEmpty()) {
            Timer timer = due.first();
            cancel(timer);
            timer.fire(now);
            fired++;
        }
        return fired;
    }

    /** Goes to the next tick that holds anything, or to the last one. */
    private void step(long until) {
        long next = until;
        long at = nextAt();
        if (at != NONE) {
            next = Math.min(until, Math.max(done + 1, Math.floorDiv(at - origin, tick)));
        }
        boolean turned = (next >> 9) != (done >> 9);
        done = next;
        if (turned) {
            // All turns that were passed over held nothing, or the step would have ended there.
            Ring ring = far[(int) (done >> 9) & MASK];
            Ring come = new Ring();
            move(ring, come);
            while (!come.isEmpty()) {
                Timer timer = come.first();
                unlink(timer);
                place(timer);
            }
        }
        move(near[(int) done & MASK], due);
    }

    private static void move(Ring from, Ring to) {
        while (!from.isEmpty()) {
            Timer timer = from.first();
            unlink(timer);
            link(to, timer);
        }
    }
}
