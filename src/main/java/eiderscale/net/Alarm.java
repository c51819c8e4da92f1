package eiderscale.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

/**
 * Asks something that names its next moment again at that moment: one task on the loop, however much waits. What names the
 * present moment is asked in the loop's next turn, behind the reads of this one. For one event loop.
 */
public final class Alarm {
    private final EventLoop loop;
    private final LongUnaryOperator turn;
    private Future<?> armed;
    private long armedFor = Long.MAX_VALUE;
    private boolean looking;

    /** {@code turn}: given the present moment, returns the next, or {@link Long#MAX_VALUE} for none. */
    public Alarm(EventLoop loop, LongUnaryOperator turn) {
        this.loop = loop;
        this.turn = turn;
    }

    /** Asks now; called after whatever may have changed the next moment. */
    public void look() {
        if (looking) {
            // What is being asked will name a moment that counts this in.
            return;
        }
        long now = Clock.now();
        if (armed != null && armedFor <= now) {
            // It is due in the loop's next turn. Asked here it would do a turn's work for each event of this one.
            return;
        }
        looking = true;
        long next = now;
        try {
            next = turn.applyAsLong(now);
        } finally {
            looking = false;
            arm(now, next);
        }
    }

    private void arm(long now, long at) {
        if (at == armedFor && armed != null) {
            return;
        }
        if (armed != null) {
            armed.cancel(false);
            armed = null;
        }
        armedFor = at;
        if (at == Long.MAX_VALUE) {
            return;
        }
        // A task of the loop's own queue would run before its next reads: a scheduled one lets them come between.
        armed = loop.schedule(this::fire, Math.max(0, at - now), TimeUnit.NANOSECONDS);
    }

    private void fire() {
        armed = null;
        armedFor = Long.MAX_VALUE;
        look();
    }
}
