package eiderscale.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What happens next, by time and, within one moment, in the order in which it was set. Time is in nanoseconds from 0. What is
 * taken back leaves the heap at once: most timers are, and a heap of the dead ones would hold seconds of the load.
 */
final class Events {
    /** One that will happen, or has. */
    static final class Event {
        private final long time;
        private final long order;
        private Runnable what;
        private int at;

        private Event(long time, long order, Runnable what) {
            this.time = time;
            this.order = order;
            this.what = what;
        }

        private boolean before(Event other) {
            return time < other.time || time == other.time && order < other.order;
        }
    }

    /** So many events in one moment are no world but a loop. */
    private static final int MOST_AT_ONCE = 2_000_000;
    private static final int SHOWN = 5;

    /** A run that does not go on. */
    static final class Stuck extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Stuck(String where) {
            super(where);
        }
    }

    private Event[] heap = new Event[1024];
    private int size;
    private long last;
    private long now;
    private long done;
    private int atOnce;

    long now() {
        return now;
    }

    /** Events that have happened. */
    long done() {
        return done;
    }

    int size() {
        return size;
    }

    /** Not before now, whatever is asked for. */
    Event at(long time, Runnable what) {
        if (size == heap.length) {
            heap = Arrays.copyOf(heap, 2 * size);
        }
        Event event = new Event(Math.max(now, time), ++last, what);
        rise(size++, event);
        return event;
    }

    Event in(long delay, Runnable what) {
        return at(now + Math.max(0, delay), what);
    }

    /** It will not happen; one that has, or null, is passed over. */
    void cancel(Event event) {
        if (event == null || event.what == null) {
            return;
        }
        event.what = null;
        Event moved = heap[--size];
        heap[size] = null;
        if (moved != event) {
            // To where the other stood, and from there up or down.
            if (event.at > 0 && moved.before(heap[(event.at - 1) / 2])) {
                rise(event.at, moved);
            } else {
                sink(event.at, moved);
            }
        }
    }

    private void rise(int from, Event event) {
        int at = from;
        while (at > 0 && event.before(heap[(at - 1) / 2])) {
            heap[at] = heap[(at - 1) / 2];
            heap[at].at = at;
            at = (at - 1) / 2;
        }
        heap[at] = event;
        event.at = at;
    }

    private void sink(int from, Event event) {
        int at = from;
        for (int child = 2 * at + 1; child < size; child = 2 * at + 1) {
            if (child + 1 < size && heap[child + 1].before(heap[child])) {
                child++;
            }
            if (!heap[child].before(event)) {
                break;
            }
            heap[at] = heap[child];
            heap[at].at = at;
            at = child;
        }
        heap[at] = event;
        event.at = at;
    }

    /** Lets all happen that is due until then. */
    void run(long until) {
        while (size > 0 && heap[0].time <= until) {
            Event event = heap[0];
            atOnce = event.time == now ? atOnce + 1 : 0;
            now = event.time;
            Runnable what = event.what;
            cancel(event);
            done++;
            if (atOnce > MOST_AT_ONCE) {
                throw new Stuck("more than " + MOST_AT_ONCE + " events at " + now + " ns, the last of them "
                        + what.getClass().getSimpleName().replaceAll("/.*", "") + ", next " + next());
            }
            what.run();
        }
        now = Math.max(now, until);
    }

    private List<String> next() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < Math.min(size, SHOWN); i++) {
            names.add(heap[i].what.getClass().getSimpleName().replaceAll("/.*", ""));
        }
        return names;
    }
}
