package eiderscale.check;

/** Folds numbers into 64 bits (the finaliser of SplitMix64). */
final class Fingerprint {
    private long value = 0x9e3779b97f4a7c15L;

    Fingerprint add(long more) {
        long z = (value ^ more) + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        value = z ^ (z >>> 31);
        return this;
    }

    long value() {
        return value;
    }
}
