package eiderscale;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/** The smallest balancer: two servers, one request, an event loop with a clock of its own. */
final class EmbeddingExample {
    private EmbeddingExample() {
    }

    /** Sends one read and returns the id of the server that it went to. */
    static long routeOne() {
        Queue<Long> sentTo = new ArrayDeque<>();
        Api.Actions actions = new Api.Actions() {
            @Override
            public void send(long request, long server, long cutAt) {
                sentTo.add(server); // start the attempt on your own connections
            }

            @Override
            public void cancel(long request, int attempt) {
            }

            @Override
            public void refuse(long request, long retryAfter) {
            }

            @Override
            public void fail(long request) {
            }

            @Override
            public void wakeAt(long moment, int token) {
            }

            @Override
            public void closeIdle(long server) {
            }

            @Override
            public void subscribe() {
            }
        };
        long ms = 1_000_000L;
        Api.RequestClass read = new Api.RequestClass(300 * ms, 0, 600 * ms, 1, 0,
                Api.Effect.RETRYABLE, Api.Group.ALL, 0, false, false);
        Api.Settings settings = new Api.Settings(List.of(read), List.of(), 0, 0, 1, false, -1, false, 3, true,
                true, false, 0, 250 * ms, 10_000 * ms, 0.2, 20_000 * ms, 4, 1_000 * ms, 1,
                0, null, new Api.ReportLayout(-1, -1, -1));
        Router router = new Router(settings, 42, actions);
        long now = 1_000 * ms;
        router.onList(now, Api.ListMode.FULL, List.of(
                new Api.Server(1, 0, 0, 0, Api.State.READY, 1, 0),
                new Api.Server(2, 0, 0, 0, Api.State.READY, 1, 0)));
        router.onRequest(now, new Api.Request(7, 0, 0, 99, now + 600 * ms, 0, false, false));
        now += 20 * ms;
        router.onOutcome(now, new Api.Outcome(7, 0, Api.Reason.OK, 20 * ms, true, new float[0]));
        return sentTo.remove();
    }
}
