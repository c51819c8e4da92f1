package eiderscale.knowledge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Learnt;
import eiderscale.knowledge.Origin.Standing;
import eiderscale.maintenance.Maintenance;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RecalledTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_764_000_000L * SECOND;
    private static final long HOUR = 3600 * SECOND;

    /** What is told of a store by name, place, when it was touched and signed; in seconds beside now. */
    @ParameterizedTest
    @CsvSource({"a, here, -1, -1, OWN", "a, here, -3600, -3600, OWN", "a, here, 0, 1, OWN", "a, here, 0, 5, FROM_LATER", "a, there, -1, -1, MOVED",
        "a, here, 0, -3600, MOVED", "a, '', -1, -1, OWN", "b, here, -1, -1, ANOTHERS", "b, there, 0, 5, ANOTHERS"})
    void aStoreIsWhatItsSignatureAndPlaceSay(String name, String place, long touched, long at, Standing wanted) {
        Origin origin = new Origin(name, 7, place, NOW + at * SECOND);
        assertEquals(wanted, origin.standing("a", "here", NOW + touched * SECOND, NOW));
    }

    @Property
    void anIncarnationOnlyGrows(@ForAll @LongRange(min = 0, max = 1L << 40) long before, @ForAll @LongRange(min = 0, max = NOW) long now) {
        assertTrue(Origin.next(new Origin("a", before, "", now), "a", now) > before);
        assertEquals(now / SECOND, Origin.next(null, "a", now));
        assertEquals(now / SECOND, Origin.next(new Origin("b", before, "", now), "a", now), "another's count is not ours");
    }

    private static Knowledge kept(List<Learnt.HostWord> hosts, List<Maintenance.Call> calls, double share, long at) {
        return new Knowledge("a", calls, new Knowledge.Hosts("/127.0.0.1:1", java.util.Map.of()), new Learnt(at, hosts,
                List.of(new Learnt.KindWord(1, 30, 9, at, 2)), new Learnt.Fleet(share, share, 100, at, share, share),
                new Learnt.Pressure(share, share, at, 5, 5, 5), new Learnt.Latency(List.of(1e6), List.of(3), at, 24),
                List.of(new Learnt.KeyWord(1, 40)), 64, true));
    }

    private static List<Learnt.HostWord> hosts(List<Integer> dice, long at) {
        List<Learnt.HostWord> hosts = new ArrayList<>();
        for (int i = 0; i < dice.size(); i++) {
            int die = dice.get(i);
            hosts.add(new Learnt.HostWord(i, die % 3 == 0 ? at - die : 0, die % 5 == 0 ? 0 : at - die * SECOND, die - 20.0,
                    at + die * SECOND, die * 1e6, die, die % 2 == 0 ? 0 : at + die * SECOND));
        }
        return hosts;
    }

    /** Whoever lies and whatever is said: nothing is let go that was held, and no host is held for longer than a breaker's moment. */
    @Property
    void aWordInDoubtOnlyEverHoldsBackAndNotForLong(@ForAll @Size(max = 12) List<@IntRange(min = 0, max = 400) Integer> dice,
            @ForAll @DoubleRange(min = 0, max = 1) double share, @ForAll @LongRange(min = -HOUR, max = HOUR) long shift,
            @ForAll Standing standing) {
        long at = NOW + shift;
        List<Maintenance.Call> calls = List.of(new Maintenance.Call(1, true, at), new Maintenance.Call(2, false, at));
        Recalled recalled = Recalled.of(kept(hosts(dice, at), calls, share, at), new Origin("a", 1, "", at), standing, NOW, 10 * SECOND);
        assertTrue(recalled.calls().contains(new Maintenance.Call(1, true, Math.min(at, NOW))), "out is believed of anybody");
        assertTrue(recalled.calls().stream().allMatch(call -> call.at() <= NOW), "no call goes before those that are yet to come");
        if (standing.isOwn()) {
            assertEquals(NOW - at > Recalled.OLDEST, recalled.learnt() == null);
            assertEquals(NOW - at > 10 * SECOND, recalled.list() == null);
        } else {
            assertTrue(recalled.calls().stream().allMatch(Maintenance.Call::out), "nobody else puts a host back");
            assertNull(recalled.list());
            Learnt learnt = recalled.learnt();
            assertEquals(new Learnt.Pressure(1, 1, NOW, 0, 0, 0), learnt.pressure());
            assertTrue(learnt.latency().means().isEmpty() && learnt.hotKeys().isEmpty() && learnt.kinds().isEmpty());
            for (Learnt.HostWord host : learnt.hosts()) {
                assertTrue(host.tokens() <= 0 && host.evidence() == 0 && host.latency() == 0);
                assertTrue(host.openUntil() <= NOW + Belief.DOUBTED);
            }
        }
        if (recalled.learnt() != null) {
            for (Learnt.HostWord host : recalled.learnt().hosts()) {
                Learnt.HostWord told = hosts(dice, at).get((int) host.id());
                assertEquals(told.coldSince() == 0, host.coldSince() == 0, "a cold host stays one");
                assertTrue(host.tokens() <= Math.max(0, Math.min(1, told.tokens())), "and may be sent no more than was told");
            }
        }
    }

    /** Telling it again, or in another order, adds nothing. */
    @Property
    void callsMergeAlikeInAnyOrder(@ForAll @Size(max = 12) List<@IntRange(min = 0, max = 40) Integer> dice) {
        List<Maintenance.Call> calls = dice.stream().map(die -> new Maintenance.Call(die % 4, die % 3 == 0, die)).distinct()
                // Of two calls in one moment the first that is heard counts: moments of one balancer's calls differ.
                .filter(call -> dice.indexOf((int) call.at()) == dice.lastIndexOf((int) call.at())).toList();
        List<Maintenance.Call> back = new ArrayList<>(calls);
        java.util.Collections.reverse(back);
        Maintenance one = new Maintenance();
        Maintenance other = new Maintenance();
        one.merge(calls);
        one.merge(calls);
        calls.forEach(call -> other.merge(List.of(call)));
        other.merge(back);
        Maintenance third = new Maintenance();
        third.merge(back);
        for (long host = 0; host < 4; host++) {
            assertEquals(one.isOut(host), other.isOut(host));
            assertEquals(one.isOut(host), third.isOut(host));
        }
    }

    @Test
    void anOldWordOfOnesOwnIsACallAlone() {
        Knowledge kept = kept(hosts(List.of(3, 4), NOW - HOUR), List.of(new Maintenance.Call(2, false, 5)), 0.5, NOW - HOUR);
        Recalled recalled = Recalled.of(kept, new Origin("a", 1, "", NOW - HOUR), Standing.OWN, NOW, 10 * SECOND);
        assertEquals(kept.calls(), recalled.calls());
        assertNull(recalled.learnt());
        assertNull(recalled.list());
    }
}
