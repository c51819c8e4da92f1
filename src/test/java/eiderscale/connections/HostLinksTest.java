package eiderscale.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class HostLinksTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1000 * MS;

    /** Stands for a connection. */
    private static final class Link {
        boolean alive = true;
        boolean busy = true;
        HostLinks.Entry<Link> entry;
    }

    private static HostLinks<Link> links(int most) {
        return new HostLinks<>(most, link -> link.alive = false);
    }

    private static Link open(HostLinks<Link> links, long host) {
        assertTrue(links.mayOpen());
        Link link = new Link();
        link.entry = links.opened(host, link);
        return link;
    }

    private static HostLinks.Entry<Link> take(HostLinks<Link> links, long now, long host) {
        return links.take(now, host, false, link -> link.alive);
    }

    @Test
    void theWarmestIsUsedAndTheColdestMakesRoom() {
        HostLinks<Link> links = links(3);
        Link first = open(links, 1);
        Link second = open(links, 1);
        Link other = open(links, 2);
        links.rest(10, first.entry);
        links.rest(20, second.entry);
        links.rest(30, other.entry);
        assertSame(second.entry, take(links, 40, 1));
        assertFalse(second.entry.isNew());
        assertTrue(links.mayOpen());
        assertFalse(first.alive, "the coldest of all hosts' went");
        assertTrue(other.alive);
        open(links, 3);
        links.ended(second.entry);
        links.ended(second.entry);
        assertEquals(2, links.size());
    }

    @Test
    void withNoneIdleThereIsNoRoom() {
        HostLinks<Link> links = links(2);
        Link one = open(links, 1);
        open(links, 2);
        assertFalse(links.mayOpen());
        links.rest(1, one.entry);
        assertNull(take(links, 2, 2));
        assertTrue(links.mayOpen());
        assertNull(take(links, 2, 1), "given up for room");
    }

    @Test
    void oneThatHasEndedUnseenIsPassedOver() {
        HostLinks<Link> links = links(5);
        Link first = open(links, 1);
        Link second = open(links, 1);
        links.rest(1, first.entry);
        links.rest(2, second.entry);
        second.alive = false;
        assertSame(first.entry, take(links, 3, 1));
        links.ended(second.entry);
        assertEquals(1, links.size());
    }

    /** Ages at which a host was seen to reset are not for unsafe requests, unless there is no room for another. */
    @Test
    void whatIsLikelyStaleCarriesNothingUnsafe() {
        HostLinks<Link> links = links(2);
        for (int i = 0; i < 20; i++) {
            Link link = open(links, 1);
            links.rest(0, link.entry);
            HostLinks.Entry<Link> used = take(links, 4 * SECOND, 1);
            if (used == null) {
                links.ended(link.entry);
                break;
            }
            links.used(4 * SECOND, used, true, MS);
            links.ended(used);
        }
        Link old = open(links, 1);
        links.rest(0, old.entry);
        assertNull(links.take(4 * SECOND, 1, true, link -> true));
        open(links, 2);
        assertNotNull(links.take(4 * SECOND, 1, true, link -> true), "an old one is better than none");
    }

    @Test
    void unsafeRequestsToAHostThatHasLatelyRejectedTakeNewConnections() {
        HostLinks<Link> links = links(2);
        Link cold = open(links, 1);
        Link warm = open(links, 1);
        links.rest(0, cold.entry);
        links.rest(1, warm.entry);
        links.rejected(MS, links.take(MS, 1, true, one -> one.alive));
        links.rest(MS, warm.entry);
        long over = MS + HostLinks.RECENT_REJECTION_NS;
        assertSame(warm.entry, links.take(2 * MS, 1, false, one -> one.alive), "others go on as before");
        links.rest(MS, warm.entry);
        assertNull(links.take(over - 1, 1, true, one -> one.alive), "also with no room for one more");
        assertFalse(cold.alive, "it takes the place of the coldest");
        assertTrue(warm.alive);
        assertTrue(links.mayOpen());
        assertSame(warm.entry, links.take(over, 1, true, one -> one.alive), "long ago");
    }

    @Test
    void idleOnesGoBeforeTheirHostsCloseThemAndSoonerWhereTablesAreFull() {
        HostLinks<Link> links = links(10);
        Link link = open(links, 1);
        links.rest(0, link.entry);
        links.sweep((long) (30 * SECOND * HostLinks.IDLE_PART) - 1, 30 * SECOND);
        assertTrue(link.alive);
        for (int i = 0; i < 50; i++) {
            links.turnedAway();
        }
        links.sweep(SECOND, 30 * SECOND);
        assertFalse(link.alive);
        assertEquals(0, links.size());
        assertTrue(links.forget(1));
        assertTrue(links.forget(7), "never known");
    }

    /** Whatever happens in whatever order: counts are right, nothing is given out twice, and the bound holds. */
    @Property(tries = 200)
    void noConnectionIsLostOrGivenTwice(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int most = 1 + random.nextInt(6);
        Set<Link> open = new HashSet<>();
        HostLinks<Link> links = new HostLinks<>(most, link -> {
            assertFalse(link.busy, "one that carries something is not given up");
            assertTrue(open.remove(link));
            link.alive = false;
        });
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextLong(2 * SECOND);
            long host = random.nextInt(3);
            List<Link> busy = new ArrayList<>(open.stream().filter(link -> link.busy).toList());
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    HostLinks.Entry<Link> entry = links.take(now, host, random.nextBoolean(), link -> link.alive);
                    if (entry != null) {
                        assertFalse(entry.link().busy);
                        assertTrue(open.contains(entry.link()));
                        entry.link().busy = true;
                    } else if (links.mayOpen()) {
                        Link link = new Link();
                        link.entry = links.opened(host, link);
                        open.add(link);
                    }
                }
                case 2, 3 -> {
                    if (!busy.isEmpty()) {
                        Link link = busy.get(random.nextInt(busy.size()));
                        link.busy = false;
                        links.rest(now, link.entry);
                    }
                }
                case 4 -> {
                    if (!busy.isEmpty()) {
                        Link link = busy.get(0);
                        links.used(now, link.entry, random.nextBoolean(), random.nextLong(100 * MS));
                        links.ended(link.entry);
                        open.remove(link);
                    }
                }
                default -> {
                    if (random.nextBoolean()) {
                        links.sweep(now, 10 * SECOND);
                    } else {
                        links.closeIdle(host);
                    }
                }
            }
            assertEquals(open.size(), links.size());
            assertEquals(open.stream().filter(link -> !link.busy).count(), links.idle());
            assertTrue(links.size() <= most);
        }
    }
}
