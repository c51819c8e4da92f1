package eiderscale.net;

import eiderscale.Api;
import eiderscale.ledger.Attempt;
import eiderscale.ledger.Exchange;

/**
 * Log lines about single attempts: which connection carried one, what it had carried before, how it ended, why another followed
 * and why there was no answer. Only requests that may not be repeated freely are logged, and these only where something else than
 * a plain success happened. The number of lines is bounded by {@link Counters}.
 */
final class AttemptLog {
    private final Counters counters;

    AttemptLog(Counters counters) {
        this.counters = counters;
    }

    /** An attempt is over. {@code how}: its outcome; {@code answer}: what its host said, empty if nothing. */
    void ended(Attempt<Request, Client, HostPool.Link, Answer> attempt, HostPool.Link link, String how, String answer) {
        if (how.equals(Api.Reason.OK.name()) || isRepeatable(attempt.exchange()) || !counters.mayLogEvent()) {
            return;
        }
        long tookUs = (Clock.now() - attempt.sentAt()) / Clock.MICROSECOND;
        Counters.log(Counters.shortened("attempt " + name(attempt) + " ended: " + how + " after=" + tookUs + "us written="
                + link.written() + " answer=\"" + answer + "\"") + ' ' + link);
    }

    /** A further attempt of a request is about to go out. */
    void follows(Attempt<Request, Client, HostPool.Link, Answer> attempt) {
        if (attempt.number() == 0 || isRepeatable(attempt.exchange()) || !counters.mayLogEvent()) {
            return;
        }
        Attempt<Request, Client, HostPool.Link, Answer> before = attempt.exchange().attempts().get(attempt.number() - 1);
        Counters.log("attempt " + name(attempt) + " follows one that " + (before.isOver() ? "ended: " + before.outcome() : "is out"));
    }

    /** A request that had attempts gets no answer of a host. */
    void unanswered(Exchange<Request, Client, HostPool.Link, Answer> exchange, String how) {
        if (exchange.attempts().isEmpty() || isRepeatable(exchange) || !counters.mayLogEvent()) {
            return;
        }
        Counters.log("request=" + exchange.work().id() + ' ' + how + " after attempts=" + exchange.attempts().size() + " cause="
                + exchange.cause());
    }

    /** Bytes came on a connection on which nothing was asked. */
    void unsolicited(HostPool.Link link, Object message) {
        if (counters.mayLogEvent()) {
            String said = message instanceof Answer answer ? answer.summary() : message.getClass().getSimpleName();
            Counters.log(Counters.shortened("unsolicited answer \"" + said + '"') + ' ' + link);
        }
    }

    private static String name(Attempt<Request, Client, HostPool.Link, Answer> attempt) {
        return "request=" + attempt.exchange().work().id() + " attempt=" + attempt.number();
    }

    private static boolean isRepeatable(Exchange<Request, Client, HostPool.Link, Answer> exchange) {
        int requestClass = exchange.work().requestClass();
        return exchange.terms().settings().classes().get(requestClass).effect() == Api.Effect.RETRYABLE;
    }
}
