package eiderscale.members;

/** What is held of a member. Of two words with one incarnation the later in this order counts. */
public enum Status {
    /** It answers, or nothing says that it does not. */
    ALIVE,
    /** It did not answer somebody; it may object. */
    SUSPECT,
    /** It had its time to object. */
    DEAD,
    /** It said that it goes. */
    LEFT;

    /** Whether it counts as there: suspects do. */
    public boolean isThere() {
        return this == ALIVE || this == SUSPECT;
    }
}
