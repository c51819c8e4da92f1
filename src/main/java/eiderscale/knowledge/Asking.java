package eiderscale.knowledge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Whom an instance asks for what it has lost, and when. It asks one at a time, in an order that is its own (rendezvous hashing of
 * its name with each peer's: Thaler, Ravishankar, 1998), so that a fleet which returns spreads over whoever is left; a peer that
 * says later is asked at the moment that it names, and others meanwhile only where that is far off or was put off before, lest one
 * asker takes the moments of several; one that fails comes again once, behind all others, after a pause with full jitter. The first good answer is the end, and so is a stated time. Time comes with each call, in nanoseconds.
 */
public final class Asking {
    private static final long MS = 1_000_000L;
    /** A first question comes within this, as a whole fleet may begin at once. */
    static final long SPREAD = 50 * MS;
    /** Between a failure and the second try at the same peer, at the most. */
    static final long PAUSE = 2_000 * MS;
    /** A moment that is no further ahead is waited for. */
    static final long PATIENCE = 10_000 * MS;
    /** No peer can put an asker off for longer; what has not come by then does not come. */
    public static final long MOST = 30_000 * MS;

    /** A question: to whom, not before when. */
    public record Question(String peer, long at) {
    }

    private static final class Turn {
        final String peer;
        final int place;
        long at;
        boolean failed;
        boolean putOff;

        Turn(String peer, int place, long at) {
            this.peer = peer;
            this.place = place;
            this.at = at;
        }
    }

    private final SplittableRandom luck;
    private final List<Turn> turns = new ArrayList<>();
    private final long endAt;
    /** Whose moment is waited for; null for nobody's. */
    private Turn promised;
    private boolean over;

    /** {@code self}: this instance's name among the others, such as its own address; {@code peers}: theirs, without it. */
    public Asking(String self, List<String> peers, long seed, long now) {
        luck = new SplittableRandom(seed);
        endAt = now + MOST;
        List<String> order = new ArrayList<>(new HashSet<>(peers));
        order.remove(self);
        order.sort(Comparator.comparingLong((String peer) -> rank(self, peer)).thenComparing(peer -> peer));
        long first = now + luck.nextLong(SPREAD);
        for (int i = 0; i < order.size(); i++) {
            turns.add(new Turn(order.get(i), i, first));
        }
    }

    private static long rank(String self, String peer) {
        long hash = 0xcbf29ce484222325L;
        for (char c : (self + "\n" + peer).toCharArray()) {
            hash = (hash ^ c) * 0x100000001b3L;
        }
        hash ^= hash >>> 29;
        hash *= 0xbf58476d1ce4e5b9L;
        return hash ^ hash >>> 32;
    }

    /** What to ask next, once nothing is out; null where there is nothing left to ask. */
    public Question next(long now) {
        if (over || turns.isEmpty()) {
            return null;
        }
        Turn next = promised;
        for (Turn turn : promised != null ? List.<Turn>of() : turns) {
            // Of those that may be asked at once the first in the order; else whoever comes up first.
            if (next == null || Math.max(now, turn.at) < Math.max(now, next.at)
                    || Math.max(now, turn.at) == Math.max(now, next.at) && turn.place < next.place) {
                next = turn;
            }
        }
        return Math.max(now, next.at) >= endAt ? null : new Question(next.peer, Math.max(now, next.at));
    }

    /** A peer has told; what it told was taken. */
    public void told() {
        over = true;
    }

    /** A peer says: not before so many nanoseconds. */
    public void later(long now, String peer, long wait) {
        for (Turn turn : turns) {
            if (turn.peer.equals(peer)) {
                turn.at = now + Math.max(MS, Math.min(MOST, wait));
                promised = turn.putOff || wait > PATIENCE ? null : turn;
                turn.putOff = true;
            }
        }
    }

    /** A peer did not answer, or not with anything that can be taken. */
    public void failed(long now, String peer) {
        Set<Turn> twice = new HashSet<>();
        promised = null;
        for (Turn turn : turns) {
            if (turn.peer.equals(peer)) {
                if (turn.failed) {
                    twice.add(turn);
                }
                turn.failed = true;
                turn.at = now + luck.nextLong(PAUSE);
            }
        }
        turns.removeAll(twice);
    }
}
