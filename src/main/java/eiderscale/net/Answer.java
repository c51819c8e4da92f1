package eiderscale.net;

import eiderscale.Api;

/** A host's answer, of which the core reads this alone. */
public interface Answer {
    /** What the host reports of its load, as it says it; null if it does not. */
    String loadReport();

    /** The answer without its body, for logs. */
    default String summary() {
        return "";
    }

    /** Whether the host held what was asked for, as far as it says. */
    default Api.Lookup lookup() {
        return Api.Lookup.UNTOLD;
    }
}
