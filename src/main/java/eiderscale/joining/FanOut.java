package eiderscale.joining;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Words that are to be given to many: a few for each flight in its turn, the earliest deadline of each flight first, so
 * that one with a thousand waiters holds up none with two.
 */
final class FanOut<W> {
    /** Given to one flight before the next has its turn. */
    private static final int CHUNK = 16;

    private static final class Round<W> {
        final List<Place<W>> places;
        final Consumer<W> word;
        final long bytes;
        final Runnable end;
        int next;

        Round(List<Place<W>> places, Consumer<W> word, long bytes, Runnable end) {
            this.places = places;
            this.word = word;
            this.bytes = bytes;
            this.end = end;
        }
    }

    private final Deque<Round<W>> rounds = new ArrayDeque<>();
    private final long mostBytes;
    private long bytes;
    private int left;

    FanOut(long mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** {@code size}: what the word holds in memory until all have it; {@code end}: told then. */
    void add(List<Place<W>> places, Consumer<W> word, long size, Runnable end) {
        if (places.isEmpty()) {
            end.run();
            return;
        }
        List<Place<W>> sorted = new ArrayList<>(places);
        Collections.sort(sorted);
        for (Place<W> place : sorted) {
            place.flight = null;
        }
        rounds.addLast(new Round<>(sorted, word, size, end));
        bytes += size;
        left += sorted.size();
    }

    boolean isEmpty() {
        return rounds.isEmpty();
    }

    /** Those that have not been told, and have not left. */
    int left() {
        return left;
    }

    /** One that waits for its word has left, or its time is up. */
    void gone() {
        left--;
    }

    /** Gives so many words; {@code before}: told of each place before its word. */
    void run(int most, Consumer<Place<W>> before) {
        int given = 0;
        while (!rounds.isEmpty() && (given < most || bytes > mostBytes)) {
            Round<W> round = rounds.pollFirst();
            int chunk = 0;
            while (round.next < round.places.size() && chunk < CHUNK && (given < most || bytes > mostBytes)) {
                Place<W> place = round.places.get(round.next);
                round.places.set(round.next++, null);
                if (!place.over) {
                    place.over = true;
                    left--;
                    chunk++;
                    given++;
                    before.accept(place);
                    round.word.accept(place.waiter);
                }
            }
            if (round.next < round.places.size()) {
                rounds.addLast(round);
            } else {
                bytes -= round.bytes;
                round.end.run();
            }
        }
    }
}
