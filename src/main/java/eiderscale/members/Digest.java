package eiderscale.members;

import java.util.ArrayList;
import java.util.List;

/** Who is held to be there, in one number: eight parts of the names, of each a checksum of eight bits that any order makes. */
final class Digest {
    private static final int PARTS = 8;

    private Digest() {
    }

    /** Which part a name is of. */
    static int part(String name) {
        return Math.floorMod(name.hashCode() * 0x9E3779B1 >>> 16, PARTS);
    }

    /** Of those words that say that their member is there; never 0, which stands for none. */
    static long of(List<Word> words) {
        long digest = 0;
        for (Word word : words) {
            if (word.status().isThere()) {
                int hash = (word.name().hashCode() * 31 + Long.hashCode(word.incarnation())) * 0x85EBCA6B;
                digest ^= (long) (hash >>> 24) << PARTS * part(word.name());
            }
        }
        return digest == 0 ? 1 : digest;
    }

    /** The parts in which two differ. */
    static List<Integer> differing(long one, long other) {
        List<Integer> parts = new ArrayList<>();
        for (int i = 0; i < PARTS; i++) {
            if (((one ^ other) >>> PARTS * i & 0xff) != 0) {
                parts.add(i);
            }
        }
        return parts;
    }
}
