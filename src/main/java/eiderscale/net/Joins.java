package eiderscale.net;

import eiderscale.config.JoinRules;
import eiderscale.joining.JoinActions;
import eiderscale.joining.JoinLimits;
import eiderscale.joining.Joining;
import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Joining on the loop: the rules of the settings in service, and the alarm for what is due. A front asks through
 * {@link #at}, and calls {@link #look} after whatever it has told.
 *
 * @param <K> what is fetched
 * @param <W> who waits
 * @param <A> what a fetch brings
 */
public final class Joins<K, W, A> {
    private final Joining<K, W, A> joining;
    private final Alarm alarm;
    private final Supplier<JoinRules> inService;
    private JoinRules rules;

    /**
     * {@code inService}: the rules whose limits bind all that wait, whatever settings each of them came under; {@code given}: told
     * when all words of a turn have been given.
     */
    public Joins(Supplier<JoinRules> inService, EventLoop loop, JoinActions<K, W, A> actions, Runnable given) {
        this.inService = inService;
        this.rules = inService.get();
        this.joining = new Joining<>(limits(rules), new SplittableRandom(System.nanoTime()), actions);
        this.alarm = new Alarm(loop, now -> {
            try {
                return joining.turn(now);
            } finally {
                // Also what was given before something went wrong.
                given.run();
            }
        });
    }

    /** Goes by the limits that are in service now. */
    public Joining<K, W, A> joining() {
        JoinRules now = inService.get();
        if (now != rules) {
            rules = now;
            joining.renew(limits(now));
        }
        return joining;
    }

    /** Gives what is due. */
    public void look() {
        alarm.look();
    }

    /** What waits and has been counted. */
    public String gauges() {
        Joining.Counts counts = joining.counts();
        return " joining open " + joining.open() + " waiting " + joining.waiting() + " fetches " + counts.fetches() + " joined "
                + counts.joined() + " further " + counts.further() + " alone " + counts.alone() + " refused " + counts.refused()
                + " late " + counts.late();
    }

    private static JoinLimits limits(JoinRules rules) {
        return new JoinLimits(rules.perKey(), rules.all(), rules.beyondAlone(), rules.longest(), rules.failedFor(),
                rules.further(), rules.spread(), rules.least(), rules.perTurn(), rules.bytes(), rules.budget().free(),
                rules.budget().share(), rules.budget().span(), rules.remembered());
    }
}
