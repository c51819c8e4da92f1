package eiderscale;

import com.tdunning.math.stats.Centroid;
import eiderscale.HostHealth.Host;
import eiderscale.Learnt.*;
import java.util.*;

/**
 * Copies what the parts of a module have learnt out of them and into those of another, and decides nothing:
 * what is too old to be believed has been left out by whoever hands it on. Drains and starts are the list's
 * word and not in it.
 */
final class Memory {
    private final HostHealth health;
    private final Candidates candidates;
    private final Hedging hedging;
    private final Admission admission;

    Memory(HostHealth health, Candidates candidates, Hedging hedging, Admission admission) {
        this.health = health;
        this.candidates = candidates;
        this.hedging = hedging;
        this.admission = admission;
    }

    Learnt tell(long now, boolean reports) {
        List<HostWord> hosts = new ArrayList<>();
        for (Host host : health.known.values()) {
            hosts.add(new HostWord(host.id, host.startedAt, host.coldSince, host.tokens, host.filledAt,
                    host.latency, host.evidence, host.openUntil));
        }
        List<KindWord> kinds = new ArrayList<>();
        health.capacity.kinds.forEach((number, kind) -> kinds.add(new KindWord(number, kind.answers,
                kind.busy, kind.at, kind.factor)));
        List<Double> means = new ArrayList<>();
        List<Integer> weights = new ArrayList<>();
        for (Centroid centroid : hedging.digest.centroids()) {
            means.add(centroid.mean());
            weights.add(centroid.count());
        }
        List<KeyWord> keys = new ArrayList<>();
        for (int i = 0; i < candidates.keys.length; i++) {
            if (candidates.counts[i] > 0) {
                keys.add(new KeyWord(candidates.keys[i], candidates.counts[i]));
            }
        }
        Fleet fleet = new Fleet(health.coldBusy, health.warmBusy, health.searches, health.searchedAt,
                health.connectFailures, health.failing);
        Pressure pressure = new Pressure(admission.fills, admission.admitted, admission.loadAt,
                admission.writeTime, admission.hitTime, admission.missTime);
        return new Learnt(now, hosts, kinds, fleet, pressure,
                new Latency(means, weights, hedging.begun, hedging.quantile), keys, candidates.counted,
                reports);
    }

    /** Takes over what another module knew of hosts that the list names; true if answers bring reports. */
    boolean recall(Learnt learnt) {
        for (HostWord word : learnt.hosts()) {
            Host host = health.known.get(word.id());
            if (host != null && host.startedAt == word.startedAt()) {
                recall(host, word);
            }
        }
        for (KindWord word : learnt.kinds()) {
            Capacity.Kind kind = health.capacity.kinds.computeIfAbsent(word.kind(), k -> new Capacity.Kind());
            kind.answers = word.answers();
            kind.busy = word.busy();
            kind.at = word.at();
            kind.factor = word.factor();
        }
        health.coldBusy = learnt.fleet().coldBusy();
        health.warmBusy = learnt.fleet().warmBusy();
        health.searches = learnt.fleet().searches();
        health.searchedAt = learnt.fleet().searchedAt();
        // Whoever learnt that has counted for long.
        health.searchedFrom = 0;
        health.connectFailures = learnt.fleet().connectFailures();
        health.failing = learnt.fleet().failing();
        health.weigh();
        admission.fills = learnt.pressure().fills();
        admission.admitted = learnt.pressure().admitted();
        admission.loadAt = learnt.pressure().loadAt();
        admission.writeTime = learnt.pressure().writeTime();
        admission.hitTime = learnt.pressure().hitTime();
        admission.missTime = learnt.pressure().missTime();
        Latency latency = learnt.latency();
        for (int i = 0; i < latency.means().size(); i++) {
            hedging.digest.add(latency.means().get(i), latency.weights().get(i));
            hedging.samples += latency.weights().get(i);
        }
        hedging.begun = latency.begun();
        hedging.quantile = latency.quantile();
        for (KeyWord word : learnt.hotKeys()) {
            int slot = Candidates.slot(word.key());
            candidates.keys[slot] = word.key();
            candidates.counts[slot] = word.count();
        }
        candidates.counted = learnt.counted();
        return learnt.reports();
    }

    private static void recall(Host host, HostWord word) {
        host.coldSince = word.coldSince();
        host.tokens = word.tokens();
        host.filledAt = word.filledAt();
        host.latency = word.latency();
        host.evidence = word.evidence();
        host.openUntil = word.openUntil();
    }
}
