package eiderscale.net;

import eiderscale.connections.TimingWheel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The timers of requests: their last calls, the cuts of their attempts, and what the decision module wants to be woken
 * for. Most are unset before they are due, so that setting and unsetting has to be cheap: they stand in a wheel, and
 * the loop has one task, for the moment of the first.
 *
 * <p>One fires up to {@link #TICK} late by the wheel, and up to a millisecond more by the loop's own rounding, never
 * early.
 */
final class Timers {
    /** In nanoseconds. */
    static final long TICK = Clock.MILLISECOND / 4;
    /** Timers fired before the loop turns to its sockets again, lest many that are due together stall them. */
    private static final int MOST_AT_ONCE = 256;
    private static final long NEVER = Long.MAX_VALUE;

    private final TimingWheel wheel = new TimingWheel(TICK, Clock.now());
    private final EventLoop loop;
    private final Counters counters;
    private final Runnable before;
    private Future<?> armed;
    private long armedFor = NEVER;

    /** {@code before}: run before any that are due. */
    Timers(EventLoop loop, Counters counters, Runnable before) {
        this.loop = loop;
        this.counters = counters;
        this.before = before;
    }

    /** Sets a timer, or sets it anew; {@code at}: on this program's clock. */
    void set(TimingWheel.Timer timer, long at) {
        wheel.set(timer, at);
        arm(at + TICK);
    }

    /** Unsets a timer that may be set. */
    void cancel(TimingWheel.Timer timer) {
        wheel.cancel(timer);
    }

    /** How many are set. */
    int size() {
        return wheel.size();
    }

    private void arm(long at) {
        if (at < armedFor) {
            if (armed != null) {
                armed.cancel(false);
            }
            armedFor = at;
            armed = loop.schedule(this::run, Math.max(0, at - Clock.now()), TimeUnit.NANOSECONDS);
        }
    }

    private void run() {
        armed = null;
        armedFor = NEVER;
        try {
            before.run();
            wheel.advance(Clock.now(), MOST_AT_ONCE);
        } catch (RuntimeException e) {
            counters.unexpected("in a timer", e);
        } finally {
            arm(wheel.nextAt());
        }
    }
}
