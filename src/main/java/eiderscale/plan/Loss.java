package eiderscale.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * What a lost zone does, step by step: its keys move to hosts that do not have them, each is fetched anew by the first who asks, and
 * what the ledger cannot fetch at once stands in its line. The state is what part of each class of keys has come to its new home, and
 * how long the line is; between two steps both go by their rates.
 */
public final class Loss {
    /** Steps are a second, or shorter where copies come faster. */
    private static final double STEP = 0.25;

    /**
     * One moment. {@code second}: after the loss; {@code hosts}, {@code ledger}: use, 1 where all is used; {@code line}: fetches that wait.
     */
    public record Moment(double second, double served, double hits, double hosts, double ledger, double line) {
    }

    private final Fleet before;
    private final Fleet after;
    private final double moved;
    private final double[] home;
    private double line;
    private double brought = 1;

    private Loss(Fleet fleet, int zone) {
        this.before = fleet;
        this.after = fleet.without(zone);
        double all = weight(fleet);
        this.moved = 1 - weight(after) / all;
        this.home = new double[fleet.demand().popularity().classes().size()];
    }

    private static double weight(Fleet fleet) {
        return fleet.hosts().stream().mapToDouble(one -> one.count() * one.weight()).sum();
    }

    /** So many seconds from the loss of a zone, a moment for each {@code every} of them. */
    public static List<Moment> of(Fleet fleet, int zone, int seconds, int every) {
        Loss loss = new Loss(fleet, zone);
        if (loss.after.count() == 0) {
            throw new IllegalArgumentException("no host is left");
        }
        List<Moment> found = new ArrayList<>();
        Forecast steady = new Model(fleet).calm();
        Forecast end = new Model(loss.after).calm();
        int steps = (int) Math.round(seconds / STEP);
        for (int i = 0; i <= steps; i++) {
            Moment moment = loss.step(i * STEP, steady, end);
            if (i % Math.max(1, (int) Math.round(every / STEP)) == 0) {
                found.add(moment);
            }
        }
        return found;
    }

    private Moment step(double at, Forecast steady, Forecast end) {
        Fleet.Demand demand = after.demand();
        Fleet.Ledger ledger = after.ledger();
        double can = ledger.places() / ledger.work();
        double attempts = Math.max(1, end.attempts());
        double wanted = demand.rate() * attempts;
        double fetch = ledger.work() + line / can;
        // Of the keys that moved, those that have come; the others are as they were, or as they will be with less room.
        double stays = before.keepsCopies() ? Math.min(steady.hits(), end.hits()) : 1;
        double movedHits = 0;
        List<Popularity.Keys> classes = demand.popularity().classes();
        for (int i = 0; i < classes.size(); i++) {
            movedHits += classes.get(i).part() * home[i];
        }
        double hits = before.keepsCopies() ? (1 - moved) * stays + moved * movedHits * stays : 1;
        double asks = before.keepsCopies() ? after.reads() * (1 - hits) + 1 - after.reads() : 0;
        double capacity = 0;
        for (Fleet.Hosts one : after.hosts()) {
            capacity += one.count() * one.slots() / (one.keeps() > 0 ? one.work() + asks * fetch : one.work());
        }
        double done = Math.min(wanted, capacity);
        double fetches = done * asks;
        double queued = line + (fetches - can) * STEP;
        double spilt = Math.max(0, queued - ledger.queue());
        brought = fetches <= 0 ? 1 : Math.max(0, 1 - spilt / (fetches * STEP));
        line = Math.max(0, Math.min(ledger.queue(), queued));
        for (int i = 0; i < classes.size(); i++) {
            // What is wanted at its new home once is there behind its fetch.
            double rate = done * after.reads() * classes.get(i).part() / classes.get(i).count() * brought;
            home[i] += (1 - home[i]) * -Math.expm1(-rate * STEP / (1 + rate * fetch));
        }
        double inTime = fetch < after.deadline() ? 1 : 1 - asks;
        double served = Math.min(1, done / wanted) * (1 - asks * (1 - brought)) * inTime;
        return new Moment(at, served, hits, wanted / capacity, fetches / Math.max(1e-9, can), line);
    }
}
