package eiderscale.knowledge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class AskingTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    private static List<String> names(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("127.0.0.1:" + (9000 + i));
        }
        return names;
    }

    /** Each of a fleet asks somebody else first, as far as there are others. */
    @Test
    void aFleetSpreadsOverItsPeers() {
        List<String> names = names(100);
        Map<String, Integer> first = new HashMap<>();
        names.forEach(self -> first.merge(new Asking(self, names, 1, 0).next(0).peer(), 1, Integer::sum));
        assertTrue(first.values().stream().mapToInt(count -> count).max().orElse(0) <= 7, first::toString);
        assertTrue(!names.stream().anyMatch(self -> new Asking(self, names, 1, 0).next(0).peer().equals(self)));
    }

    @Test
    void whoFailsTwiceIsAskedNoMoreAndAGoodAnswerIsTheEnd() {
        Asking asking = new Asking("a", List.of("b", "a"), 7, 0);
        Asking.Question question = asking.next(0);
        assertTrue(question.at() < Asking.SPREAD);
        asking.failed(question.at(), "b");
        Asking.Question again = asking.next(question.at());
        assertTrue(again.at() < question.at() + Asking.PAUSE);
        asking.later(again.at(), "b", 700 * MS);
        assertEquals(again.at() + 700 * MS, asking.next(again.at()).at());
        asking.failed(again.at() + 700 * MS, "b");
        assertNull(asking.next(again.at() + 700 * MS));
        Asking other = new Asking("a", List.of("b", "c"), 7, 0);
        other.told();
        assertNull(other.next(0));
        assertNull(new Asking("a", List.of("b"), 7, 0).next(Asking.MOST), "it is not looked for for ever");
        assertNull(new Asking("a", List.of("a"), 7, 0).next(0));
    }

    /** Whatever peers do, it ends: with an answer, with none left, or with its time. */
    @Property
    void itAlwaysEnds(@ForAll @IntRange(min = 0, max = 6) int peers, @ForAll @Size(max = 400) List<@IntRange(min = 0, max = 9) Integer> dice,
            @ForAll long seed) {
        Asking asking = new Asking("self", names(peers), seed, 0);
        long now = 0;
        int questions = 0;
        for (Asking.Question next = asking.next(now); next != null; next = asking.next(now)) {
            assertTrue(next.at() >= now && next.at() < Asking.MOST);
            now = next.at() + MS;
            int die = dice.isEmpty() ? 0 : dice.get(questions % dice.size());
            if (die < 5) {
                asking.failed(now, next.peer());
            } else {
                asking.later(now, next.peer(), die * 50L * MS - 300 * MS);
            }
            assertTrue(++questions <= peers * 2 + Asking.MOST / MS);
        }
    }

    /** However they come, so many are answered in a time and no more. */
    @Property
    void aSurvivorAnswersNoMoreThanItsCap(@ForAll @Size(max = 300) List<@LongRange(min = 0, max = 60) Long> gaps) {
        Answering answering = new Answering();
        long now = SECOND;
        List<Long> answered = new ArrayList<>();
        for (long gap : gaps) {
            now += gap * MS;
            long wait = answering.admit(now);
            assertTrue(wait >= 0 && wait <= Answering.HORIZON);
            if (wait == 0) {
                answered.add(now);
            }
        }
        for (int i = 0; i < answered.size(); i++) {
            for (int j = i; j < answered.size(); j++) {
                assertTrue(j - i + 1 <= Answering.AT_ONCE + (answered.get(j) - answered.get(i)) / Answering.SLOT + 1);
            }
        }
    }

    private record Ask(long at, int who, String whom) {
    }

    /** 400 instances come back in one moment and three peers are left: all are told, in the time that the cap allows and a half. */
    @Test
    void aFleetThatReturnsIsToldInTurnByTheFewWhoAreLeft() {
        List<String> names = names(403);
        Set<String> left = new HashSet<>(names.subList(0, 3));
        Map<String, Answering> answering = new HashMap<>();
        left.forEach(name -> answering.put(name, new Answering()));
        List<Asking> all = new ArrayList<>();
        PriorityQueue<Ask> line = new PriorityQueue<>(Comparator.comparingLong(Ask::at).thenComparingInt(Ask::who));
        for (int i = 3; i < names.size(); i++) {
            // Those who are back do not know whom the file names in vain: they ask the three that are known to live.
            Asking asking = new Asking(names.get(i), new ArrayList<>(left), i, SECOND);
            all.add(asking);
            Asking.Question first = asking.next(SECOND);
            line.add(new Ask(first.at(), i - 3, first.peer()));
        }
        int told = 0;
        int questions = 0;
        long last = 0;
        for (Ask ask = line.poll(); ask != null; ask = line.poll()) {
            questions++;
            long wait = answering.get(ask.whom).admit(ask.at);
            Asking asking = all.get(ask.who);
            if (wait == 0) {
                asking.told();
                told++;
                last = ask.at;
            } else {
                asking.later(ask.at, ask.whom, wait);
            }
            Asking.Question next = asking.next(ask.at);
            if (next != null) {
                line.add(new Ask(next.at(), ask.who, next.peer()));
            }
        }
        assertEquals(400, told);
        assertTrue(last - SECOND < 400 * Answering.SLOT / 3 * 3 / 2, "the last after " + (last - SECOND) / MS + " ms");
        assertTrue(questions < 400 * 8, questions + " questions");
        System.out.println("400 told by 3 within " + (last - SECOND) / MS + " ms by " + questions + " questions");
    }
}
