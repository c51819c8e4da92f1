package eiderscale.config;

import java.util.List;

/** The description of an experiment's file: the same readers and checks as for an application's. */
final class LabSpec {
    private static final long MS = Units.MILLISECOND;
    private static final long SECOND = Units.SECOND;

    static final Section ROOT = new Section("", false, "One experiment.", List.of(
            Key.of("name", Type.NAME, "What it is called.").needed(),
            Key.of("proves", Type.TEXT, "The sentence that it proves.").needed(),
            Key.of("application", Type.TEXT, "The application's file whose settings the balancers have, relative to this "
                    + "one; its hosts count for nothing.").needed(),
            Key.of("length", Type.DURATION, "How long clients ask.").or(20 * SECOND).within(100 * MS, 24 * 3600 * SECOND),
            Key.of("settle", Type.DURATION, "What comes before this is not measured; the rules count from the start.")
                    .or(2 * SECOND).within(0, 3600 * SECOND),
            Key.of("seeds", Type.WHOLE, "How many runs of each variant.").or(5L).within(1, 100_000),
            Key.of("first-seed", Type.WHOLE, "The seed of the first.").or(1L).within(0, 1e12),
            Key.of("most-requests", Type.WHOLE, "A run is ended, and says so, after so many.").or(20_000_000L).within(1, 1e10)),
            List.of(
                    section("fleet", false, "Balancers and zones.",
                            Key.of("balancers", Type.WHOLE, "How many.").or(2L).within(1, 2000),
                            Key.of("start", Type.DURATION, "How long a balancer's process takes until it listens, in virtual time; "
                                    + "real ones take what they take.").or(SECOND).within(0, 60 * SECOND),
                            Key.of("balancer-rate", Type.NUMBER, "Attempts a second that one balancer's cores can do, for the "
                                    + "planner; the laboratory's balancers take no time. Left out: not known.").within(1, 1e9),
                            Key.of("zones", Type.NAMES, "Hosts and balancers are dealt out over them.").or(List.of("a"))
                                    .within(1, 16)),
                    section("hosts", true, "Hosts of one kind.",
                            Key.of("kind", Type.NAME, "What they are called; numbered from 0.").or("host"),
                            Key.of("count", Type.WHOLE, "How many.").or(12L).within(1, 10_000),
                            Key.of("slots", Type.WHOLE, "Requests in work at one time.").or(4L).within(1, 10_000),
                            Key.of("queue", Type.WHOLE, "Requests that wait; any more are turned away.").or(32L).within(0, 100_000),
                            Key.of("work", Type.DURATION, "The mean time that a request keeps its slot.").or(8 * MS)
                                    .within(1000, 60 * SECOND),
                            Key.of("spread", Type.NUMBER, "Its standard deviation beside the mean (lognormal); 0: always the mean.")
                                    .or(0.7).within(0, 10),
                            Key.of("keeps", Type.WHOLE, "Copies that it keeps, the least recently used goes first; 0: it never "
                                    + "needs the ledger.").or(0L).within(0, 1e8),
                            Key.of("weight", Type.NUMBER, "Its size beside the others' as the list tells it.").or(1.0).between(0, 1000),
                            Key.of("cold", Type.NUMBER, "The part of its speed that it starts with.").or(0.2).within(0.001, 1),
                            Key.of("warm", Type.DURATION, "After this it has all of it.").or(10 * SECOND).within(0, 3600 * SECOND),
                            Key.of("connections", Type.WHOLE, "Connections that it takes; more are refused.").or(100_000L)
                                    .within(1, 1e7),
                            Key.of("fails", Type.NUMBER, "Part of requests that end in an error.").or(0.0).within(0, 1),
                            Key.of("cost", Type.NUMBER, "What one costs beside the others, for the planner.").or(1.0).within(0, 1e9)),
                    section("ledger", false, "What stands behind hosts that keep copies.",
                            Key.of("places", Type.WHOLE, "Fetches and writes in work at one time.").or(20L).within(1, 1e6),
                            Key.of("queue", Type.WHOLE, "Those that wait; any more fail.").or(1000L).within(0, 1e7),
                            Key.of("work", Type.DURATION, "The mean time of one.").or(60 * MS).within(1000, 60 * SECOND),
                            Key.of("spread", Type.NUMBER, "Its standard deviation beside the mean.").or(0.5).within(0, 10)),
                    section("network", false, "One way.",
                            Key.of("near", Type.DURATION, "Within a zone.").or(200_000L).within(0, SECOND),
                            Key.of("far", Type.DURATION, "Between zones.").or(MS).within(0, SECOND),
                            Key.of("client", Type.DURATION, "Between clients and balancers.").or(500_000L).within(0, SECOND),
                            Key.of("jitter", Type.NUMBER, "Up to this part comes on top, by chance.").or(0.2).within(0, 10),
                            Key.of("resets", Type.NUMBER, "Part of requests whose connection breaks, before or after their last "
                                    + "byte.").or(0.0).within(0, 1)),
                    section("discovery", false, "How the list comes to the balancers.",
                            Key.of("lag", Type.DURATION, "Changes are told after this.").or(SECOND).within(0, 600 * SECOND),
                            Key.of("spread", Type.DURATION, "And up to so much later, each balancer after its own time.").or(SECOND)
                                    .within(0, 600 * SECOND),
                            Key.of("call", Type.DURATION, "How long discovery takes for an answer; played on processes.").or(0L)
                                    .within(0, 10 * SECOND),
                            Key.of("notices", Type.DURATION, "How long the list goes on naming a host that has died, before the "
                                    + "lag.").or(4 * SECOND).within(0, 600 * SECOND)),
                    section("load", false, "What clients ask.",
                            Key.of("rate", Type.NUMBER, "Requests a second over all balancers.").or(500.0).within(0.01, 1e7),
                            Key.of("shape", Type.CHOICE, "steady; wave: up and down by peak over the length, as a day; release: "
                                    + "up to peak in a tenth of the length and slowly down; trace: as the file says.").or("steady")
                                    .from("steady", "wave", "release", "trace"),
                            Key.of("peak", Type.NUMBER, "The highest rate beside the usual one.").or(2.4).within(1, 1000),
                            Key.of("trace", Type.TEXT, "A file of lines MILLISECONDS KEY CLASS, with shape = \"trace\"."),
                            Key.of("keys", Type.WHOLE, "How many there are.").or(20_000L).within(1, 1e9),
                            Key.of("zipf", Type.NUMBER, "The exponent of their popularity; 0: all alike.").or(0.9).within(0, 5),
                            Key.of("hot", Type.NUMBER, "Part of all requests that want one key more.").or(0.0).within(0, 1),
                            Key.of("retries", Type.WHOLE, "How often clients try again.").or(1L).within(0, 20),
                            Key.of("back-off", Type.DURATION, "They wait so long before it, by chance half to one and a half times.")
                                    .or(50 * MS).within(0, 60 * SECOND),
                            Key.of("honours", Type.NUMBER, "Part of clients that wait as long as they are told to.").or(1.0).within(0, 1),
                            Key.of("connections", Type.WHOLE, "Connections that clients open at one balancer at most, which lets them in "
                                    + "and closes them as its limits say; requests that find none free wait for one. 0: as many as are "
                                    + "wanted, at no cost.").or(0L).within(0, 100_000),
                            Key.of("keeps", Type.DURATION, "Clients close a connection on which they have not asked for so long.")
                                    .or(600 * SECOND).within(MS, 24 * 3600 * SECOND)),
                    section("mix", true, "What they ask for. Left out: the first class alone.",
                            Key.of("class", Type.NAME, "The name of a class of the application.").needed(),
                            Key.of("share", Type.NUMBER, "Its part of the requests; all together make 1.").needed().within(0, 1)),
                    section("injuries", true, "What goes wrong, and when.",
                            Key.of("at", Type.DURATION, "After the start.").needed().within(0, 24 * 3600 * SECOND),
                            Key.of("for", Type.DURATION, "Until it is over; left out: for good.").within(MS, 24 * 3600 * SECOND),
                            Key.of("what", Type.CHOICE, "kill: connects are refused; silence: nothing is heard, connections stay; "
                                    + "slow: work takes factor times as long; half: every second request is never answered; fail: "
                                    + "part of requests fail (factor); pause: nothing is done; drain: the list says so; offline: "
                                    + "operators take them out at every balancer, and put them back; renew: balancers are given "
                                    + "settings that allow factor attempts; restart: "
                                    + "dies and is cold at once; replace: comes back under another id; flush: part of the copies "
                                    + "goes void (factor); grow: factor times as many hosts, cold; ledger-slow: factor times as "
                                    + "long; ledger-down; discovery-down: no change is told; surge: factor times the rate; "
                                    + "balancer-stall: balancers do nothing (part of them); balancer-kill: balancers (part of them) die and "
                                    + "come back after for, at once without it, knowing nothing; balancer-gone: they never come back; "
                                    + "discovery-busy: one call in factor is answered; crowd: factor connections at each balancer that say "
                                    + "nothing and come again when they are closed; cut: no way between a zone's hosts and balancers of "
                                    + "other zones.").needed()
                                    .from("kill", "silence", "slow", "half", "fail", "pause", "drain", "offline", "renew", "restart", "replace",
                                            "flush", "grow", "ledger-slow", "ledger-down", "discovery-down", "surge", "balancer-stall", "balancer-kill", "balancer-gone",
                                            "discovery-busy", "cut", "crowd"),
                            Key.of("hosts", Type.NAME, "Hosts whose name begins so, such as std-3; left out: all."),
                            Key.of("zone", Type.NAME, "Of this zone only."),
                            Key.of("part", Type.NUMBER, "So much of these, the first of them.").or(1.0).within(0, 1),
                            Key.of("factor", Type.NUMBER, "How much.").or(2.0).within(0, 1000)),
                    section("variants", true, "Settings against settings; left out: the application's file as it is.",
                            Key.of("name", Type.NAME, "What it is called.").needed(),
                            Key.of("set", Type.TEXTS, "Changes of the application's file, such as \"hedge.enabled = false\".")
                                    .or(List.of()).within(0, 100),
                            Key.of("load", Type.NUMBER, "The rate, beside the experiment's.").or(1.0).within(0.001, 1000)),
                    section("sweeps", true, "Every variant with each of these values of a key of the application.",
                            Key.of("key", Type.TEXT, "Its whole path.").needed(),
                            Key.of("values", Type.TEXTS, "As the file would state them.").needed().within(1, 100)),
                    section("limits", false, "What must hold of every run; the rules always must.",
                            Key.of("served", Type.NUMBER, "At least this part of requests in time.").or(0.0).within(0, 1),
                            Key.of("worst-second", Type.NUMBER, "And of those of any one second.").or(0.0).within(0, 1),
                            Key.of("p99", Type.DURATION, "At most, of those served.").within(0, 3600 * SECOND),
                            Key.of("attempts", Type.NUMBER, "At most, for each request that came to a balancer.").or(1000.0)
                                    .within(0, 1000),
                            Key.of("hits", Type.NUMBER, "At least this part of reads at hosts that keep copies.").or(0.0).within(0, 1),
                            Key.of("ledger", Type.NUMBER, "At most so many fetches in any second.").or(1e12).within(0, 1e12),
                            Key.of("last-tenth", Type.NUMBER, "At least this part in time in the last tenth of the length: whether it "
                                    + "recovers.").or(0.0).within(0, 1))));

    private LabSpec() {
    }

    private static Section section(String name, boolean repeated, String doc, Key... keys) {
        return new Section(name, repeated, doc, List.of(keys), List.of());
    }
}
