package eiderscale.knowledge;

import eiderscale.Learnt;
import eiderscale.Learnt.Fleet;
import eiderscale.Learnt.HostWord;
import eiderscale.Learnt.KindWord;
import eiderscale.Learnt.Latency;
import eiderscale.Learnt.Pressure;
import java.util.List;

/**
 * What of another's knowledge is believed, by its age: means relax exponentially to what a module begins with, which is
 * what such a module would have come to without news; latencies and hot keys hold while their digest would; slow starts are
 * facts with a time in them and always hold. Guards against a start that takes an overloaded fleet for an idle one, or
 * cold hosts for warm ones, as well as against pressure that is over and is shed for ever.
 */
public final class Belief {
    /** Time constant by which pressure, breakers and busy shares are forgotten. */
    static final long FORGET = 10_000_000_000L;
    /** Digests, latencies and hot keys older than this tell of another hour. */
    static final long CURRENT = 30_000_000_000L;
    /** A breaker that somebody else speaks of holds for so long. */
    static final long DOUBTED = 1_000_000_000L;
    /** Of each host's slow start, the sends that are left at the most: the one that told went on sending. */
    private static final double MOST_TOKENS = 1;

    private Belief() {
    }

    /**
     * What to take over at {@code now}. {@code beside}: the one that told still serves, and both share the clients: each
     * counts for half of the requests that slow starts are a part of.
     */
    public static Learnt of(Learnt told, long now, boolean beside) {
        long age = Math.max(0, now - told.at());
        double kept = Math.exp(-(double) age / FORGET);
        boolean current = age <= CURRENT;
        List<HostWord> hosts = told.hosts().stream().map(host -> host(host, kept, current, now)).toList();
        List<KindWord> kinds = current ? told.kinds() : List.of();
        Fleet fleet = told.fleet();
        Fleet believed = new Fleet(1 + (fleet.coldBusy() - 1) * kept, fleet.warmBusy() * kept,
                beside ? fleet.searches() / 2 : fleet.searches(), fleet.searchedAt(), fleet.connectFailures() * kept,
                fleet.failing() * kept);
        Pressure pressure = told.pressure();
        Pressure relaxed = new Pressure(1 + (pressure.fills() - 1) * kept, 1 + (pressure.admitted() - 1) * kept,
                Math.min(now, pressure.loadAt()), current ? pressure.writeTime() : 0, current ? pressure.hitTime() : 0,
                current ? pressure.missTime() : 0);
        Latency latency = current ? told.latency() : new Latency(List.of(), List.of(), now, 0);
        return new Learnt(told.at(), hosts, kinds, believed, relaxed, latency, current ? told.hotKeys() : List.of(),
                current ? told.counted() : 0, told.reports());
    }

    /**
     * What to take over at {@code now} of a word whose age or origin is in doubt: only what makes a host look worse, and that no
     * longer than a breaker's own life ({@link #DOUBTED}). A slow start is kept, with nothing left to send; breakers, so far as they
     * are open; no latency, pressure or hot key. A lie can hold a host back for that time, and nothing else.
     */
    public static Learnt careful(Learnt told, long now) {
        List<HostWord> hosts = told.hosts().stream().map(host -> new HostWord(host.id(), Math.min(now, host.startedAt()),
                host.coldSince() == 0 ? 0 : Math.min(now, host.coldSince()), 0, now, 0, 0,
                host.openUntil() > now ? Math.min(host.openUntil(), now + DOUBTED) : 0)).toList();
        return new Learnt(now, hosts, List.of(), new Fleet(1, 0, 0, now, 0, 0), new Pressure(1, 1, now, 0, 0, 0),
                new Latency(List.of(), List.of(), now, 0), List.of(), 0, false);
    }

    private static HostWord host(HostWord told, double kept, boolean current, long now) {
        boolean open = told.openUntil() > now;
        return new HostWord(told.id(), told.startedAt(), told.coldSince(), Math.min(MOST_TOKENS, told.tokens()),
                Math.min(now, told.filledAt()), current ? told.latency() : 0, open ? told.evidence() : told.evidence() * kept,
                open ? told.openUntil() : 0);
    }
}
