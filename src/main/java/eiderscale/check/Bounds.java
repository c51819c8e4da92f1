package eiderscale.check;

import eiderscale.Api.Effect;
import java.util.List;

/**
 * How large a world is, and how much of what may go wrong goes wrong in one run of it.
 *
 * @param hosts how many there are
 * @param effects one request of each
 * @param depth events in a run at the most
 * @param faults connects refused, connections broken, requests turned away or failed, clients that leave
 * @param lists words of a list: a host drains, is gone, comes back as just started
 * @param calls of operators: a host out, a host in
 * @param renewals of settings
 * @param stops whether the process may be told to end
 * @param streams whether answers may come in pieces
 * @param hearsay words of another instance, each as wrong as it can be
 * @param stands standstills of the process, during each of which a host begins to drain
 */
public record Bounds(int hosts, List<Effect> effects, int depth, int faults, int lists, int calls, int renewals, boolean stops,
                     boolean streams, int stands, int hearsay) {
    private static final int MOST_HOSTS = 6;
    private static final int MOST_REQUESTS = 6;
    private static final int MOST_DEPTH = 200;

    /** Throws {@link IllegalArgumentException}, which says what is allowed. */
    public Bounds {
        if (hosts < 1 || hosts > MOST_HOSTS || effects.isEmpty() || effects.size() > MOST_REQUESTS || depth < 1 || depth > MOST_DEPTH
                || faults < 0 || lists < 0 || calls < 0 || renewals < 0 || stands < 0 || hearsay < 0) {
            throw new IllegalArgumentException("1 to " + MOST_HOSTS + " hosts, 1 to " + MOST_REQUESTS + " requests, 1 to " + MOST_DEPTH
                    + " events, and nothing negative");
        }
        effects = List.copyOf(effects);
    }
}
