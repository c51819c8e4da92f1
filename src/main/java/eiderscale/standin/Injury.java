package eiderscale.standin;

/** What a stand-in host does with a command. In all of these but {@link #TURN_AWAY} the command runs. */
public enum Injury {
    /** Answers as it should. */
    NONE(true),
    /** Says that it is busy. */
    TURN_AWAY(false),
    /** Runs it and says that it failed. */
    FAIL(true),
    /** Runs it and never answers. */
    DROP(true),
    /** Runs it and resets the connection after the command's last byte. */
    RESET(true),
    /** Runs it and answers with what cannot be read. */
    SPOIL(true),
    /** Runs it and answers half, then closes. */
    CUT(true);

    final boolean runs;

    Injury(boolean runs) {
        this.runs = runs;
    }
}
