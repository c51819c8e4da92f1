package eiderscale.http.cache;

/** A stored response with its body, or with the part of it that {@link Stored#range} tells. Neither is changed. */
public record Copy(Stored stored, byte[] body) {
    /** Throws {@link IllegalArgumentException} if a part is not as long as its range says. */
    public Copy {
        if (stored.range() != null && stored.range().bytes() != body.length) {
            throw new IllegalArgumentException("a part of " + body.length + " bytes for " + stored.range());
        }
    }

    /** What it takes in memory, in bytes. */
    public int weight() {
        return 48 + stored.weight() + body.length;
    }

    private boolean isWhole() {
        return stored.range() == null;
    }

    /** Both as one, if they are parts of the same response that overlap or touch; else null. */
    private Copy joined(Copy other) {
        if (isWhole() || other.isWhole()) {
            return null;
        }
        ContentRange all = Ranges.combined(stored, other.stored);
        if (all == null || all.bytes() > Integer.MAX_VALUE - 16) {
            return null;
        }
        byte[] bytes = new byte[(int) all.bytes()];
        System.arraycopy(body, 0, bytes, (int) (stored.range().first() - all.first()), body.length);
        System.arraycopy(other.body, 0, bytes, (int) (other.stored.range().first() - all.first()), other.body.length);
        return new Copy(other.stored.covering(all), bytes);
    }

    /** What is kept where {@code newer} has come and both answer the same requests. */
    Copy takenOverBy(Copy newer) {
        Copy both = joined(newer);
        if (both != null) {
            return both;
        }
        // A part of what is here whole, and by its tag the same, brings nothing.
        String tag = newer.stored.strongTag();
        boolean partOfThis = isWhole() && !newer.isWhole() && tag != null && tag.equals(stored.strongTag());
        return partOfThis ? this : newer;
    }
}
