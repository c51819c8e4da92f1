package eiderscale.members;

import java.util.HashSet;
import java.util.Set;

/** What one instance holds of another. */
final class Member {
    /** Confirmations that shorten a suspicion. */
    private static final int ENOUGH = 3;
    /** A suspicion that nobody confirms lasts that many times the least. */
    private static final int ALONE = 4;

    Word word;
    /** Of its status. */
    long since;
    /** Who has said that it does not answer. */
    final Set<String> accusers = new HashSet<>();
    /** So often its word is still to be passed on. */
    int passesLeft;

    Member(Word word) {
        this.word = word;
    }

    /** One more says that it does not answer; true if that is news. */
    boolean confirm(String by) {
        return accusers.size() <= ENOUGH && accusers.add(by);
    }

    /** How long it may object: between the least and some times that, the less the more have accused it (Lifeguard, section IV.B). */
    long suspicion(long least) {
        long most = least * ALONE;
        double part = Math.log(Math.max(1, accusers.size())) / Math.log(ENOUGH + 1.0);
        return Math.max(least, (long) (most - (most - least) * Math.min(1, part)));
    }
}
