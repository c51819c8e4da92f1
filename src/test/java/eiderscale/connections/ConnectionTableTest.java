package eiderscale.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.connections.ConnectionTable.Why;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The table in random interleavings of what clients, sockets and the loop do, against a plain model of each. */
class ConnectionTableTest {
    private static final long MS = 1_000_000L;
    private static final int MOST = 12;
    private static final int SURPLUS = 4;
    private static final int EASY = 8;
    private static final int PER_TENANT = 5;

    /** A client's connection as it really is: what has come on it, what is read of it, what is owed. */
    private static final class Real {
        Member<Real> member;
        int unread;
        boolean halfUnread;
        boolean half;
        int open;
        int tenant = -1;
        boolean spoke;
        boolean faulty;
        boolean told;
        boolean closed;
        long idleSince;
        Why why;
    }

    /** The world round a table. */
    private static final class World {
        final List<Real> all = new ArrayList<>();
        final TimingWheel wheel;
        final ConnectionTable<Real> table;
        long now;
        int closes;
        int saved;

        World(long now, int perSource) {
            this.now = now;
            wheel = new TimingWheel(50 * MS, now);
            table = new ConnectionTable<>(ConnectionLimits.of(MOST, SURPLUS, EASY, perSource, PER_TENANT,
                    20_000 * MS), wheel, this::close);
        }

        Real connect(Object source) {
            Real real = new Real();
            real.member = table.admit(real, source, now);
            if (real.member == null) {
                return null;
            }
            all.add(real);
            return real;
        }

        /** The last look, then the close; this is where the rules are held against what is really there. */
        boolean close(Real real, Why why) {
            assertFalse(real.closed, "closed once");
            if (why == Why.FAREWELL) {
                assertEquals(Member.State.CLOSING, real.member.state(), "only those that are closing are cut");
                end(real, why);
                return true;
            }
            Member.State before = real.member.state();
            assertTrue(before != Member.State.BUSY && before != Member.State.CLOSING, "a close of a " + before);
            read(real);
            if (real.open > 0) {
                saved++;
                return false;
            }
            boolean gently = why == Why.STOP || why == Why.IDLE
                    || why != Why.SILENCE && before == Member.State.IDLE;
            if (gently && real.half) {
                return false;
            }
            assertEquals(0, real.unread + real.open, "no command is lost");
            if (real.spoke && !real.faulty && why != Why.SILENCE) {
                assertFalse(real.half, "nor half of a good client's command");
            }
            closes++;
            if (gently) {
                real.told = true;
                table.closing(real.member, true, now);
            } else {
                end(real, why);
            }
            return true;
        }

        void end(Real real, Why why) {
            real.closed = true;
            real.why = why;
            all.remove(real);
            table.gone(real.member);
        }

        void read(Real real) {
            if (real.told) {
                // Its client has been told: what comes now finds an orderly end and is sent again elsewhere.
                real.unread = 0;
                real.halfUnread = false;
                return;
            }
            if (real.unread > 0) {
                real.open += real.unread;
                real.unread = 0;
                real.half = false;
                table.busy(real.member);
            }
            if (real.halfUnread) {
                real.half = true;
                real.halfUnread = false;
            }
            table.half(real.member, real.open == 0 && real.half, now);
        }

        long connectionsOf(int tenant) {
            return all.stream().filter(real -> real.tenant == tenant).count();
        }

        void asksFor(Real real, int tenant) {
            boolean room = real.tenant == tenant || connectionsOf(tenant) < PER_TENANT;
            assertEquals(room, table.asksFor(real.member, tenant));
            if (room) {
                real.tenant = tenant;
            }
        }

        /** All that rest are told to go, a few at a time, and no command is closed upon; nor is half of one. */
        void stop() {
            List<Real> resting = all.stream().filter(real -> real.open == 0 && !real.told).toList();
            table.stop();
            int turns = 0;
            while (table.closeResting(3)) {
                assertTrue(++turns <= all.size(), "an end comes");
            }
            for (Real real : resting) {
                assertTrue(real.told || real.closed || real.open > 0 || real.half, "a " + real.member.state());
            }
        }

        void answer(Real real, boolean good) {
            if (real.open > 0) {
                if (good) {
                    real.spoke = true;
                    table.spoke(real.member);
                } else {
                    real.faulty = true;
                    table.faulty(real.member);
                }
                real.open--;
                if (real.open == 0) {
                    real.idleSince = now;
                    table.rest(real.member, now);
                    table.half(real.member, real.half, now);
                }
            }
        }
    }

    @Property(tries = 400, seed = "20261201", edgeCases = EdgeCasesMode.NONE)
    void noCommandIsEverClosedUpon(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        World world = new World(random.nextLong(1_000_000_000), random.nextInt(3) == 0 ? 5 : 0);
        for (int step = 0; step < 600; step++) {
            Real some = world.all.isEmpty() ? null : world.all.get(random.nextInt(world.all.size()));
            switch (some == null ? 0 : random.nextInt(13)) {
                case 0, 1 -> world.connect(random.nextInt(4));
                case 2, 3 -> some.unread++;
                case 4 -> some.halfUnread = true;
                case 5 -> world.read(some);
                case 6, 7 -> world.answer(some, random.nextInt(6) > 0);
                case 8 -> world.end(some, null);
                case 9 -> world.table.makeRoom(world.now, 1 + random.nextInt(8));
                case 10 -> world.table.late(world.now, random.nextLong(400 * MS));
                case 11 -> world.asksFor(some, random.nextInt(3));
                default -> {
                    world.now += random.nextLong(random.nextInt(8) == 0 ? 25_000 * MS : 300 * MS);
                    world.wheel.advance(world.now, 1 + random.nextInt(40));
                }
            }
            assertEquals(world.all.size(), world.table.size());
            long counted = world.all.stream().filter(real -> !real.told).count();
            assertTrue(counted <= MOST + SURPLUS, "connections: " + counted);
            world.all.forEach(real -> assertEquals(real.open > 0, real.member.state() == Member.State.BUSY));
            for (int tenant = 0; tenant < 3; tenant++) {
                assertTrue(world.connectionsOf(tenant) <= PER_TENANT);
            }
        }
        if (random.nextBoolean()) {
            world.stop();
        }
        // In the end all that say nothing are gone, however the events came.
        for (Real real : List.copyOf(world.all)) {
            real.unread = 0;
            while (real.open > 0) {
                world.answer(real, true);
            }
        }
        for (int i = 0; i < 1_000 && world.table.size() > 0; i++) {
            world.now += 250 * MS;
            world.wheel.advance(world.now, 100);
            world.table.makeRoom(world.now, 100);
        }
        assertEquals(0, world.table.size());
        assertEquals(0, world.wheel.size(), "no timer of a connection that is gone");
    }

    private static World good(int count) {
        World world = new World(0, 0);
        for (int i = 0; i < count; i++) {
            Real real = world.connect("a");
            real.unread = 1;
            world.read(real);
            world.answer(real, true);
            world.now += MS;
        }
        return world;
    }

    @Test
    void aCommandThatCameBeforeTheLastLookSavesItsConnection() {
        World world = good(MOST);
        Real longest = world.all.get(0);
        longest.unread = 1;
        Real late = world.connect("b");
        world.table.makeRoom(world.now, 10);
        assertFalse(longest.told);
        assertEquals(1, longest.open);
        assertEquals(1, world.saved);
        assertTrue(late.member.isSurplus(), "asked and answered before room was found elsewhere");
        world.now += 200 * MS;
        world.table.makeRoom(world.now, 100);
        assertTrue(world.all.get(1).told && !longest.told, "the next ones go, by how long they are idle");
    }

    @Test
    void easeLeavesAloneWhoWasBusyLatelyAndAnyoneWhileTheLoopIsLate() {
        World world = good(MOST);
        world.table.makeRoom(world.now, 100);
        assertEquals(0, world.closes, "idle for less than 100 ms");
        world.now += 150 * MS;
        world.table.late(world.now, 300 * MS);
        world.table.makeRoom(world.now, 100);
        assertEquals(0, world.closes, "the loop was 300 ms late: commands may wait unread");
        world.now += 301 * MS;
        world.table.makeRoom(world.now, 100);
        assertEquals(MOST - EASY, world.closes);
    }

    @Test
    void aCrowdThatSaysNothingPushesOutNobodyGood() {
        World world = good(MOST / 2);
        for (int i = 0; i < 10 * MOST; i++) {
            world.connect("crowd");
            world.table.makeRoom(world.now, 10);
        }
        assertTrue(world.all.stream().limit(MOST / 2).allMatch(real -> real.spoke && !real.told));
        world.now += 3_000 * MS;
        world.wheel.advance(world.now, 1_000);
        assertEquals(MOST / 2, world.table.size(), "their time is up after 2 s");
    }

    /** A hundred thousand that fall due together are closed a few in a turn, and nobody who is served is. */
    @Test
    void aMassTimeOutIsSpreadAndTouchesNobodyWhoIsServed() {
        TimingWheel wheel = new TimingWheel(50 * MS, 0);
        int[] closed = new int[1];
        List<Member<Integer>> members = new ArrayList<>();
        List<ConnectionTable<Integer>> self = new ArrayList<>();
        ConnectionTable<Integer> table = new ConnectionTable<>(ConnectionLimits.of(200_000, 16, Integer.MAX_VALUE, 0, 0,
                20_000 * MS), wheel, (number, why) -> {
                    assertEquals(Why.IDLE, why);
                    assertTrue(number >= 50, "one that is served");
                    closed[0]++;
                    self.get(0).gone(members.get(number));
                    return true;
                });
        self.add(table);
        for (int i = 0; i < 100_050; i++) {
            Member<Integer> member = table.admit(i, "a", 0);
            members.add(member);
            table.busy(member);
            table.spoke(member);
            table.rest(member, 0);
        }
        for (int i = 0; i < 50; i++) {
            table.busy(members.get(i));
        }
        long now = 25_000 * MS;
        int turns = 0;
        while (table.size() > 50) {
            int before = closed[0];
            wheel.advance(now, 64);
            assertTrue(closed[0] - before <= 64);
            turns++;
            assertTrue(turns < 10_000, "closed: " + closed[0]);
        }
        assertTrue(turns >= 100_000 / 64);
        for (int i = 0; i < 50; i++) {
            assertEquals(Member.State.BUSY, members.get(i).state());
            table.rest(members.get(i), now);
        }
        wheel.advance(now + 19_000 * MS, 1_000);
        assertEquals(50, table.size(), "their time begins when they are answered");
    }

    @Test
    void oneSourceCannotTakeTheOthersPlaces() {
        World world = new World(0, 3);
        for (int i = 0; i < 3; i++) {
            assertNotNull(world.connect("greedy"));
        }
        assertNull(world.connect("greedy"));
        assertNotNull(world.connect("modest"));
        world.end(world.all.get(0), null);
        assertNotNull(world.connect("greedy"), "one has gone");
    }

    @Test
    void oneTenantCannotTakeTheOthersPlaces() {
        World world = new World(0, 0);
        for (int i = 0; i < PER_TENANT + 2; i++) {
            world.connect("front");
        }
        for (int i = 0; i < PER_TENANT; i++) {
            assertTrue(world.table.asksFor(world.all.get(i).member, "greedy"));
            assertTrue(world.table.asksFor(world.all.get(i).member, "greedy"), "its place is its own");
        }
        assertFalse(world.table.asksFor(world.all.get(PER_TENANT).member, "greedy"));
        assertTrue(world.table.asksFor(world.all.get(PER_TENANT + 1).member, "modest"));
        assertTrue(world.table.asksFor(world.all.get(0).member, "modest"), "it counts for whom it asks");
        assertTrue(world.table.asksFor(world.all.get(PER_TENANT).member, "greedy"));
        world.end(world.all.get(1), null);
        assertTrue(world.table.asksFor(world.all.get(0).member, "greedy"), "one has gone");
    }

    @Test
    void thoseThatWereToldToGoDoNotCountAndAreNotWaitedForInNumbers() {
        World world = good(MOST);
        world.now += 150 * MS;
        world.table.makeRoom(world.now, 100);
        long told = world.all.stream().filter(real -> real.told).count();
        assertEquals(SURPLUS / 2, told, "the others were cut");
        assertEquals(MOST - EASY - SURPLUS / 2, MOST - world.table.size());
        world.now += 2_100 * MS;
        world.wheel.advance(world.now, 100);
        assertEquals(EASY, world.table.size(), "who takes no notice is cut after 2 s");
    }
}
