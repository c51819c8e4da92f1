package eiderscale.ledger;

import eiderscale.Api;

/**
 * One start of the decision module with the settings that it was given. A request ends under the generation that took it,
 * whatever is reloaded meanwhile: its class cannot change under it.
 */
final class Generation<W extends Work, C, L, A> implements Api.Actions {
    final Ledger<W, C, L, A> ledger;
    final Terms terms;
    final Api.Events module;
    /** Requests in the ledger that this module knows of. */
    int exchanges;

    Generation(Ledger<W, C, L, A> ledger, Terms terms, Ledger.Module maker, long seed) {
        this.ledger = ledger;
        this.terms = terms;
        this.module = maker.create(terms.settings(), seed, this);
    }

    @Override
    public void send(long request, long server, long cutAt) {
        ledger.send(request, server, cutAt);
    }

    @Override
    public void cancel(long request, int attempt) {
        ledger.cancel(request, attempt);
    }

    @Override
    public void because(long request, Api.Cause cause) {
        ledger.because(request, cause);
    }

    @Override
    public void refuse(long request, long retryAfter) {
        ledger.refuse(request, retryAfter);
    }

    @Override
    public void fail(long request) {
        ledger.fail(request);
    }

    @Override
    public void wakeAt(long moment, int token) {
        ledger.wakeAt(this, moment, token);
    }

    @Override
    public void closeIdle(long server) {
        ledger.closeIdle(server);
    }

    @Override
    public void subscribe() {
        ledger.subscribe();
    }
}
