package eiderscale.knowledge;

/** A record that is not taken; the message says why. */
public final class Refused extends Exception {
    private static final long serialVersionUID = 1L;

    Refused(String why) {
        super(why, null, false, false);
    }
}
