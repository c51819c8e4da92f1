package eiderscale.joining;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class JoiningTest {
    private final Joining<String, Object> joining = new Joining<>(3, 2);

    @Test
    void oneFetchForAKeyAndItsWaitersInOrder() {
        Joining<String, Object>.Flight flight = joining.begin("a");
        assertSame(flight, joining.under("a"));
        assertThrows(IllegalStateException.class, () -> joining.begin("a"));
        assertTrue(flight.isAlone());
        assertTrue(flight.join("x"));
        assertTrue(flight.join("y"));
        assertTrue(flight.join("z"));
        assertFalse(flight.join("too many"));
        assertTrue(flight.leave("y"));
        assertFalse(flight.leave("y"));
        assertEquals(List.of("x", "z"), flight.release());
        assertTrue(flight.isAlone());
        flight.close();
        assertNull(joining.under("a"));
        assertFalse(flight.join("late"));
        joining.begin("a");
    }

    /** The end of a fetch that was replaced must not end the one that took its place. */
    @Test
    void anOldFetchDoesNotCloseANewOne() {
        Joining<String, Object>.Flight old = joining.begin("a");
        old.close();
        Joining<String, Object>.Flight fresh = joining.begin("a");
        old.close();
        assertSame(fresh, joining.under("a"));
        Joining<String, Object>.Flight alone = joining.beginAlone("a");
        assertFalse(alone.join("x"));
        alone.close();
        assertSame(fresh, joining.under("a"));
    }

    @Test
    void whatIsNotForSharingIsRememberedForAWhileAndInBounds() {
        joining.begin("a").closeApart(10);
        assertTrue(joining.isApart("a", 9));
        assertFalse(joining.isApart("a", 10));
        assertFalse(joining.isApart("a", 9), "forgotten");
        for (String key : List.of("a", "b", "c")) {
            joining.begin(key).closeApart(10);
        }
        assertEquals(2, joining.apart());
        assertFalse(joining.isApart("a", 0), "the eldest goes");
    }

    /** Whatever happens in whatever order, each waiter is let go exactly once, and no key has two open fetches. */
    @Property(tries = 300)
    void nobodyIsLostOrToldTwice(@ForAll @Size(max = 200) List<@IntRange(min = 0, max = 99) Integer> steps) {
        Joining<Integer, Object> all = new Joining<>(5, 3);
        List<Joining<Integer, Object>.Flight> flights = new ArrayList<>();
        Set<Object> waiting = new HashSet<>();
        Set<Object> told = new HashSet<>();
        long now = 0;
        for (int step : steps) {
            int key = step % 5;
            now++;
            Joining<Integer, Object>.Flight under = all.under(key);
            switch (step / 20) {
                case 0 -> {
                    if (under == null) {
                        flights.add(all.begin(key));
                    }
                }
                case 1, 2 -> {
                    Object waiter = new Object();
                    if (under != null && !all.isApart(key, now) && under.join(waiter)) {
                        waiting.add(waiter);
                    }
                }
                case 3 -> {
                    if (!waiting.isEmpty()) {
                        Object leaver = waiting.iterator().next();
                        assertEquals(1, flights.stream().filter(flight -> flight.leave(leaver)).count());
                        waiting.remove(leaver);
                    }
                }
                default -> {
                    if (under != null) {
                        if (step % 2 == 0) {
                            under.close();
                        } else {
                            under.closeApart(now + 5);
                        }
                        for (Object one : under.release()) {
                            assertTrue(waiting.remove(one) && told.add(one));
                        }
                    }
                }
            }
        }
        flights.forEach(flight -> flight.release().forEach(one -> assertTrue(waiting.remove(one) && told.add(one))));
        assertTrue(waiting.isEmpty());
        assertTrue(all.open() <= 5 && all.apart() <= 3);
    }
}
