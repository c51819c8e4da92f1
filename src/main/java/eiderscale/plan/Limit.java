package eiderscale.plan;

/** What can be used up, with what the model says of it. */
public enum Limit {
    /** Slots of all hosts. */
    HOSTS("hosts' slots", "attempts a second x seconds in a slot / slots", "utilisation law (Denning and Buzen, 1978)"),
    /** Places of the ledger. */
    LEDGER("the ledger", "fetches and writes a second x seconds each / places", "Che's approximation for what misses, utilisation law"),
    /** Slots of the hosts that the most wanted key may go to. */
    HOT_KEY("the hottest key's hosts", "its attempts a second x seconds in a slot / slots of its candidates",
            "utilisation law; candidates as the decision module widens them"),
    /** Clients' connections at a balancer. */
    CLIENTS("clients' connections", "requests a second at a balancer x seconds until the answer / connections", "Little's law (1961)"),
    /** Connections of a balancer to hosts. */
    LINKS("connections to hosts", "attempts a second of a balancer x seconds until the answer / connections", "Little's law"),
    /** Connections that one host takes. */
    ACCEPTS("connections that a host takes", "attempts a second at a host x seconds until the answer / connections", "Little's law"),
    /** A balancer's cores. */
    BALANCERS("balancers' cores", "attempts a second of a balancer / attempts a second that it can do", "measured figure of the file");

    private final String words;
    private final String formula;
    private final String source;

    Limit(String words, String formula, String source) {
        this.words = words;
        this.formula = formula;
        this.source = source;
    }

    /** Whether it is work that cannot be done; otherwise connections that cannot be opened. */
    boolean isWork() {
        return this == HOSTS || this == LEDGER || this == HOT_KEY || this == BALANCERS;
    }

    /** In words. */
    public String words() {
        return words;
    }

    /** How far it is used. */
    public String formula() {
        return formula;
    }

    /** Where the formula comes from. */
    public String source() {
        return source;
    }
}
