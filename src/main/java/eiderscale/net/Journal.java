package eiderscale.net;

/** Keeps work on record while it is on its way; what it calls back it may call on any thread. */
public interface Journal {
    /** Enters it. {@code done}: it is kept now, whatever becomes of this process; {@code refused}: it is not, and will not be. */
    void enter(String id, byte[] entry, Runnable done, Runnable refused);

    /** It is over. */
    void leave(String id);
}
