package eiderscale.members;

import static eiderscale.members.Net.MS;
import static eiderscale.members.Net.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTest {
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 48, 200})
    void allWhoStartFindOneAnother(int count) {
        Net net = new Net(count, 7);
        long took = net.agree(30 * SECOND);
        assertTrue(took >= 0 && took <= 20 * SECOND, "took " + took / MS + " ms");
        for (Net.Node node : net.nodes) {
            assertTrue(node.view.isLargerPart());
        }
    }

    /** A crash is known to all survivors within a bound that grows with the logarithm of the group. */
    @ParameterizedTest
    @CsvSource({"5, 0", "48, 0", "48, 0.1", "48, 0.3", "120, 0.1"})
    void everyCrashIsKnownToAllWithinABound(int count, double lost) {
        long worst = 0;
        for (int seed = 1; seed <= 3; seed++) {
            Net net = new Net(count, seed);
            assertTrue(net.agree(30 * SECOND) >= 0);
            net.lost = lost;
            net.run(3 * SECOND);
            net.nodes.get(count / 2).crashed = true;
            long begun = net.now;
            Net.Node dead = net.nodes.get(count / 2);
            while (net.nodes.stream().anyMatch(node -> !node.crashed && node.sees(dead))) {
                net.run(100 * MS);
                assertTrue(net.now - begun < 120 * SECOND, "never");
            }
            worst = Math.max(worst, net.now - begun);
        }
        long bound = (long) (14 + 10 * Math.log10(count)) * SECOND;
        System.out.printf("%d members, %.0f%% lost: a crash is known to all after %.1f s at the worst of three%n", count, 100 * lost, worst / 1e9);
        assertTrue(worst <= bound, "after " + worst / MS + " ms");
    }

    /** With a tenth lost and a third of the members starved, those who live are hardly ever held for dead. */
    @Test
    void starvedMembersAreSeldomHeldForDead() {
        long deaths = 0;
        long span = 120 * SECOND;
        for (int seed = 1; seed <= 3; seed++) {
            Net net = new Net(30, seed);
            assertTrue(net.agree(30 * SECOND) >= 0);
            net.lost = 0.1;
            net.nodes.stream().filter(node -> node.number % 3 == 0).forEach(node -> node.starved = 60 * MS);
            long before = 0;
            for (long at = 0; at < span; at += SECOND) {
                net.run(SECOND);
                long wrong = net.falseDeaths();
                deaths += Math.max(0, wrong - before);
                before = wrong;
            }
        }
        System.out.println("false deaths (views of one on another): " + deaths + " in " + 3 * 30 * span / SECOND / 3600.0 + " hours of members");
        assertTrue(deaths <= 30, "deaths " + deaths);
    }

    /** One that stood still for ten seconds accuses everyone, and convinces nobody. */
    @Test
    void whoStoodStillTakesNobodyWithIt() {
        Net net = new Net(20, 3);
        assertTrue(net.agree(30 * SECOND) >= 0);
        net.nodes.get(4).stalledUntil = net.now + 10 * SECOND;
        net.run(11 * SECOND);
        for (int i = 0; i < 100; i++) {
            net.run(100 * MS);
            for (Net.Node one : net.nodes) {
                for (Net.Node other : net.nodes) {
                    assertTrue(one.number == 4 || other.number == 4 || one.sees(other), one.name() + " lost " + other.name());
                }
            }
        }
        assertTrue(net.agree(20 * SECOND) >= 0);
    }

    /** Two halves that could not talk are one again within seconds; while they were two at most one called itself the larger part. */
    @Test
    void aCutHeals() {
        for (int seed = 1; seed <= 3; seed++) {
            Net net = new Net(48, seed);
            assertTrue(net.agree(30 * SECOND) >= 0);
            net.passes = (from, to) -> from % 2 == to % 2;
            net.run(60 * SECOND);
            for (Net.Node node : net.nodes) {
                assertEquals(24, node.view.members().size());
                assertFalse(node.view.isLargerPart(), "exactly half is not more than half");
            }
            net.passes = (from, to) -> true;
            long took = net.agree(30 * SECOND);
            System.out.println("a cut of 48 into halves heals within " + took / MS + " ms");
            assertTrue(took >= 0 && took <= 5 * SECOND);
        }
    }

    /** What can be heard one way only, and of three parts each blind to another, ends in one view once it is over. */
    @Test
    void oneWayLossAndPartialViewsHealToo() {
        Net net = new Net(12, 5);
        assertTrue(net.agree(30 * SECOND) >= 0);
        net.passes = (from, to) -> from != 3;
        net.run(20 * SECOND);
        net.passes = (from, to) -> (from + 1) % 3 != to % 3 && (to + 1) % 3 != from % 3 || from % 3 == to % 3;
        net.run(40 * SECOND);
        net.passes = (from, to) -> true;
        assertTrue(net.agree(15 * SECOND) >= 0);
    }

    /** Seven in ten are killed in one moment and come back under their names. */
    @Test
    void mostDieAndComeBackUnderTheirNames() {
        Net net = new Net(40, 9);
        assertTrue(net.agree(30 * SECOND) >= 0);
        List<Net.Node> dead = new ArrayList<>(net.nodes.subList(5, 33));
        dead.forEach(node -> node.crashed = true);
        net.run(3 * SECOND);
        dead.forEach(node -> node.start(2));
        long took = net.agree(40 * SECOND);
        assertTrue(took >= 0 && took <= 20 * SECOND, "took " + took / MS);
        net.run(10 * SECOND);
        assertTrue(net.isOneView(), "and no older word of their deaths wins");
    }

    /** Two live under one name: both are told so, the others' views stay, and incarnations do not run away. */
    @Test
    void twoOfOneNameAreToldAndDoNotFlap() {
        Net net = new Net(10, 6);
        assertTrue(net.agree(30 * SECOND) >= 0);
        Net.Node second = net.nodes.get(9);
        second.called = "n3";
        second.start(2);
        net.run(10 * SECOND);
        long before = net.nodes.get(0).view.epoch();
        net.run(120 * SECOND);
        assertTrue(net.nodes.get(0).view.epoch() - before <= 12, "changes in two minutes: " + (net.nodes.get(0).view.epoch() - before));
        assertEquals("n9", net.nodes.get(3).membership.namesake());
        assertEquals("n3", second.membership.namesake());
        assertTrue(second.membership.self().incarnation() < 20, "incarnation " + second.membership.self().incarnation());
        for (Net.Node node : net.nodes.subList(0, 3)) {
            assertEquals(1, node.view.members().stream().filter(word -> word.name().equals("n3")).count());
        }
    }

    /** Who leaves is gone at once, and does not count as lost. */
    @Test
    void whoLeavesIsNotLost() {
        Net net = new Net(10, 2);
        assertTrue(net.agree(30 * SECOND) >= 0);
        for (int i = 0; i < 6; i++) {
            net.nodes.get(i).membership.leave();
            net.nodes.get(i).crashed = true;
            net.run(300 * MS);
        }
        net.run(15 * SECOND);
        assertTrue(net.isOneView());
        assertTrue(net.nodes.get(9).view.isLargerPart());
    }

    /** A seed that is dead keeps nobody apart as long as another lives; messages doubled and late do no harm. */
    @Test
    void aDeadSeedAndDoubledDatagrams() {
        Net net = new Net(10, 4, Pace.USUAL, List.of("n99", "n1"));
        net.doubled = 0.3;
        net.delay = 400 * MS;
        assertTrue(net.agree(30 * SECOND) >= 0);
        long epochs = net.nodes.get(0).view.epoch();
        net.run(20 * SECOND);
        assertTrue(net.isOneView());
        assertEquals(epochs, net.nodes.get(0).view.epoch(), "and nothing flaps");
    }

    /** What a member sends does not grow with its group, and no datagram holds more than its words. */
    @Test
    void loadIsFlatInTheGroupsSize() {
        List<Double> rates = new ArrayList<>();
        for (int count : new int[] {8, 48, Integer.getInteger("members.most", 100)}) {
            Net net = new Net(count, 1);
            assertTrue(net.agree(60 * SECOND) >= 0);
            // Until the news of so many who have come are through.
            net.run(count * SECOND / 2);
            long most = net.nodes.stream().mapToLong(node -> node.sent).max().orElse(0);
            assertTrue(most <= 40 * net.now / SECOND, "at its busiest, the seed of all: " + most);
            net.nodes.forEach(node -> node.sent = 0);
            net.run(20 * SECOND);
            rates.add(net.nodes.stream().mapToLong(node -> node.sent).sum() / 20.0 / count);
            assertTrue(net.nodes.stream().allMatch(node -> node.most <= Membership.MOST_NEWS));
        }
        System.out.println("datagrams a second and member at 8, 48 and the most: " + rates);
        assertTrue(rates.get(2) <= 1.2 * rates.get(0) + 0.5, rates::toString);
    }

    /** Words merge alike in any order, and hearing one twice adds nothing. */
    @Property(tries = 300)
    void wordsMergeAlikeInAnyOrder(@ForAll List<@IntRange(min = 0, max = 11) Integer> dice) {
        List<Word> words = dice.stream().map(die -> new Word("x", "n7", die / 4, Status.values()[die % 4])).toList();
        Word best = null;
        Word back = null;
        for (int i = 0; i < words.size(); i++) {
            best = best == null || words.get(i).beats(best) ? words.get(i) : best;
            Word other = words.get(words.size() - 1 - i);
            back = back == null || other.beats(back) ? other : back;
        }
        assertEquals(best, back);
        assertTrue(best == null || !best.beats(best));
    }
}
