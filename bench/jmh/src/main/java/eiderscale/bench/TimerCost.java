package eiderscale.bench;

import eiderscale.connections.TimingWheel;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** One timer moved to a later moment, with so many set: in the wheel, and in a heap as the event loop keeps it. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class TimerCost {
    private static final long MS = 1_000_000L;
    private static final long IDLE = 20_000 * MS;

    @Param({"1000", "100000", "500000"})
    public int timers;

    private final class Idle extends TimingWheel.Timer {
        @Override
        protected void fire(long at) {
            wheel.set(this, at + IDLE);
        }
    }

    private record Entry(long at, int number) {
    }

    private final SplittableRandom random = new SplittableRandom(1);
    private TimingWheel wheel;
    private Idle[] members;
    private PriorityQueue<Entry> heap;
    private Entry[] entries;
    private long now;

    @Setup(Level.Iteration)
    public void fill() {
        now = 0;
        wheel = new TimingWheel(50 * MS, 0);
        members = new Idle[timers];
        heap = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : a.number - b.number);
        entries = new Entry[timers];
        for (int i = 0; i < timers; i++) {
            members[i] = new Idle();
            wheel.set(members[i], random.nextLong(IDLE));
            entries[i] = new Entry(random.nextLong(IDLE), i);
            heap.add(entries[i]);
        }
    }

    /** Cancel and set. */
    @Benchmark
    public void wheelMoves() {
        wheel.set(members[random.nextInt(timers)], now + IDLE);
    }

    /** The earliest falls due and is set anew: what a heap does best, as it need not search. */
    @Benchmark
    public void heapMoves() {
        Entry first = heap.poll();
        heap.add(new Entry(first.at + IDLE, first.number));
    }

    /** A step of the loop's sweep: of all timers the 80th part falls due and is set anew. */
    @Benchmark
    public int wheelStep() {
        now += 250 * MS;
        return wheel.advance(now, Integer.MAX_VALUE);
    }
}
