package eiderscale.knowledge;

import eiderscale.Learnt;
import eiderscale.knowledge.Origin.Standing;
import eiderscale.maintenance.Maintenance;
import java.util.List;

/**
 * What a process that starts takes over of a store. Nothing in it opens a drain, puts a host back that an operator took out, raises
 * a budget or lets unsafe work out again, whoever wrote it:
 *
 * <ul>
 * <li>A call that a host is out holds until its opposite is heard. One that it is in is its own balancer's alone to say.
 * <li>The list serves for as long as a balancer may go without asking, and in no case before discovery was asked behind it.
 * <li>What was learnt is believed by its age ({@link Belief}) where that can be told, and else only for what is worse.
 * </ul>
 *
 * @param calls to be merged with others by their moments
 * @param list null for none
 * @param learnt null for nothing
 */
public record Recalled(List<Maintenance.Call> calls, Knowledge.Hosts list, Learnt learnt) {
    /** Older than this a store tells of hosts that nobody knows any more: nothing but calls. */
    static final long OLDEST = 600_000_000_000L;

    /** {@code listHolds}: for how long a list may be served by without asking anew, in nanoseconds. */
    public static Recalled of(Knowledge kept, Origin origin, Standing standing, long now, long listHolds) {
        boolean own = standing.isOwn();
        // By its own clock it was written in the past; a little in the future is a clock that was set.
        long age = Math.max(0, now - origin.at());
        List<Maintenance.Call> calls = kept.calls().stream().filter(call -> own || call.out())
                // One from later than now would go before every call that is yet to come.
                .map(call -> call.at() <= now ? call : new Maintenance.Call(call.host(), call.out(), now)).toList();
        Learnt learnt = kept.learnt() == null || own && age > OLDEST ? null
                : own ? Belief.of(kept.learnt(), now, false) : Belief.careful(kept.learnt(), now);
        return new Recalled(calls, own && age <= listHolds ? kept.hosts() : null, learnt);
    }
}
