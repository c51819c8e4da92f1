package eiderscale.control;

/** What operators may ask of a balancer; called on its loop. */
public interface Operators {
    /** Whether this process takes clients: it listens and is not leaving. */
    boolean takesClients();

    /** Nothing more to a host, by the id that discovery gives it; false, with nothing changed, for an unknown one. */
    boolean takeOut(String id);

    /** The whole answer to another instance that asks what is known here; null where nothing is told. */
    default String known() {
        return null;
    }

    /** Who else is there, in words; null where that is not known here. */
    default String members() {
        return null;
    }

    /** Puts a host back; false, with nothing changed, for an unknown one. */
    boolean putBack(String id);
}
