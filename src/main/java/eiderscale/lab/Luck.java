package eiderscale.lab;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers in streams that split by name: a stream depends on the seed and its name alone, so that a draw added to one
 * leaves all others as they were.
 */
public final class Luck {
    private final long seed;

    /** Streams of that seed. */
    public Luck(long seed) {
        this.seed = seed;
    }

    /** The same stream each time it is asked for by this name. */
    public UniformRandomProvider stream(String name) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {mix(seed ^ hash(name)), mix(seed + hash(name) * 31 + 1)});
    }

    /** A number for the seed of something that draws its own. */
    public long seedOf(String name) {
        return mix(seed ^ mix(hash(name)));
    }

    /** FNV-1a over the characters: no hash of the platform's. */
    public static long hash(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    /** The finalizer of SplitMix64. */
    public static long mix(long z) {
        long x = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }
}
