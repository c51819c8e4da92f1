package eiderscale.net;

/** A host's answer, of which the core reads this alone. */
public interface Answer {
    /** What the host reports of its load, as it says it; null if it does not. */
    String loadReport();
}
