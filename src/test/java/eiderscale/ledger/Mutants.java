package eiderscale.ledger;

import eiderscale.Api;
import eiderscale.Api.Reason;
import eiderscale.maintenance.Maintenance;

/** Wrong versions of the ledger, each wrong in one step. */
public final class Mutants {
    private Mutants() {
    }

    /** What is wrong. */
    public enum Wrong {
        /** Nothing. */
        NOTHING,
        /** What waited for its connection goes out whatever has happened meanwhile. */
        NO_HINDRANCE,
        /** The same, but for drains. */
        WINDOW_NOT_SEEN,
        /** A request that is answered may be answered again. */
        ANSWERS_AGAIN,
        /** A client that leaves is not noticed. */
        CLIENT_STAYS,
        /** The timer of a request that is over stays. */
        LAST_CALL_STAYS,
        /** The last call is not made. */
        NO_LAST_CALL,
        /** The last call refuses whatever has run. */
        LAST_CALL_REFUSES,
        /** A request that is over is kept. */
        NOT_FORGOTTEN,
        /** What is dropped goes on. */
        NOT_ABANDONED,
        /** A drain has twice its grace. */
        GRACE_TWICE,
        /** What operators say reaches nobody. */
        DEAF_TO_OPERATORS,
        /** A list reaches the module and not the ledger. */
        LIST_NOT_KEPT,
        /** The end of the process does not bind. */
        ENDLESS,
        /** The end of the process binds only what comes behind it was told. */
        ENDLESS_IF_OPEN,
        /** A request goes by the settings in service when it is taken, whatever it came under. */
        LATEST_SETTINGS,
        /** A refusal is not counted. */
        NOT_COUNTED,
        /** A standstill is not noticed. */
        BEGINS_BLIND,
        /** A rejection counts for the present request, whatever its connection has carried. */
        REJECTION_ALWAYS_PROVES,
        /** A client is told that asking again does no harm, whatever has run. */
        REFUSES_ANYTHING
    }

    /** A ledger with one thing wrong. */
    public static <W extends Work, C, L, A> Ledger<W, C, L, A> of(Wrong wrong, Terms terms, Ledger.Module module,
            LedgerActions<W, C, L, A> actions, Counts counts, Maintenance maintenance) {
        return new Ledger<>(terms, 7, module, actions, counts, new Budget(Long.MAX_VALUE), maintenance) {
            private Terms inService = terms;

            @Override
            public Reason hindrance(long now, Attempt<W, C, L, A> attempt) {
                return wrong == Wrong.NO_HINDRANCE ? null : super.hindrance(now, attempt);
            }

            @Override
            public Reason attributed(Attempt<W, C, L, A> attempt, Reason told) {
                return wrong == Wrong.REJECTION_ALWAYS_PROVES ? told : super.attributed(attempt, told);
            }

            @Override
            boolean isSpent(long now, Attempt<W, C, L, A> attempt) {
                return wrong != Wrong.WINDOW_NOT_SEEN && super.isSpent(now, attempt);
            }

            @Override
            public void stoodStill(long now) {
                if (wrong == Wrong.BEGINS_BLIND) {
                    actions.recheck();
                } else {
                    super.stoodStill(now);
                }
            }

            @Override
            boolean close(Exchange<W, C, L, A> exchange, boolean served) {
                if (wrong == Wrong.ANSWERS_AGAIN) {
                    boolean first = super.close(exchange, served);
                    exchange.over = false;
                    return first;
                }
                boolean first = super.close(exchange, served);
                if (wrong == Wrong.LAST_CALL_STAYS && first) {
                    actions.arm(exchange, exchange.deadline);
                }
                return first;
            }

            @Override
            void clientGone(long now, Exchange<W, C, L, A> exchange) {
                if (wrong != Wrong.CLIENT_STAYS) {
                    super.clientGone(now, exchange);
                }
            }

            @Override
            void lastCall(long now, Exchange<W, C, L, A> exchange) {
                if (wrong != Wrong.NO_LAST_CALL) {
                    super.lastCall(now, exchange);
                }
            }

            @Override
            void settle(Exchange<W, C, L, A> exchange) {
                if (wrong == Wrong.LAST_CALL_REFUSES && !exchange.over) {
                    answerRefused(exchange, 0);
                }
                super.settle(exchange);
            }

            @Override
            void forget(Exchange<W, C, L, A> exchange) {
                if (wrong != Wrong.NOT_FORGOTTEN) {
                    super.forget(exchange);
                }
            }

            @Override
            void drop(Attempt<W, C, L, A> attempt, Reason reason) {
                if (wrong == Wrong.NOT_ABANDONED) {
                    ended(time, attempt, reason, null, new float[0], Api.Lookup.UNTOLD);
                } else {
                    super.drop(attempt, reason);
                }
            }

            @Override
            void leave(long id, Host host) {
                if (wrong == Wrong.LIST_NOT_KEPT) {
                    return;
                }
                super.leave(id, host);
                if (wrong == Wrong.GRACE_TWICE) {
                    host.sendUntil = Math.max(host.sendUntil, time + 2 * terms.drainGrace());
                }
            }

            @Override
            public void retell(long now, long id) {
                if (wrong != Wrong.DEAF_TO_OPERATORS) {
                    super.retell(now, id);
                }
            }

            @Override
            Generation<W, C, L, A> generationOf(Terms its) {
                return wrong == Wrong.LATEST_SETTINGS ? super.generationOf(inService) : super.generationOf(its);
            }

            @Override
            public void renew(long now, Terms its, long seed) {
                inService = its;
                super.renew(now, its, seed);
            }

            @Override
            public void endBy(long now, long moment) {
                if (wrong != Wrong.ENDLESS) {
                    super.endBy(now, moment);
                }
            }

            @Override
            void endInTime(Exchange<W, C, L, A> exchange) {
                if (wrong != Wrong.ENDLESS_IF_OPEN) {
                    super.endInTime(exchange);
                }
            }

            @Override
            void answerRefused(Exchange<W, C, L, A> exchange, long wait) {
                super.answerRefused(exchange, wait);
                if (wrong == Wrong.NOT_COUNTED) {
                    counts.refused--;
                }
            }

            @Override
            boolean mayRefuse(Exchange<W, C, L, A> exchange) {
                return wrong == Wrong.REFUSES_ANYTHING || super.mayRefuse(exchange);
            }
        };
    }
}
