package eiderscale;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Start times of hosts that cannot be, as the wall clock of whoever tells them has been stepped. Guards against overload of a host in
 * slow start, and against one that never leaves it.
 */
class StartTimesTest {
    private static final long MS = 1_000_000L;
    private static final long HOUR = 3_600_000 * MS;
    private static final int HOSTS = 4;
    private static final int REQUESTS = 400;
    /** The settings' time to warm up is 10 s. */
    private static final long WARM_MS = 11_000;

    private final Bed bed = new Bed(new Bed.SettingsBuilder());
    private long lastId;

    private void list(long startOfFirst) {
        List<Api.Server> servers = new ArrayList<>();
        for (int i = 1; i <= HOSTS; i++) {
            servers.add(Bed.server(i, Api.State.READY, i == 1 ? startOfFirst : 0));
        }
        bed.list(servers);
    }

    /** Sends within a second; the part of them that goes to the first host. */
    private double shareOfFirst() {
        int before = bed.sends.size();
        for (int i = 0; i < REQUESTS; i++) {
            long id = ++lastId;
            bed.request(id, Bed.READ, 7_919 * id);
            bed.outcome(id, 0, Api.Reason.OK);
            bed.pass(1000 / REQUESTS);
        }
        List<Bed.Sent> sent = bed.sends.subList(before, bed.sends.size());
        return sent.stream().filter(one -> one.server() == 1).count() / (double) sent.size();
    }

    private void assertCold(String when) {
        double share = shareOfFirst();
        // It starts at a fifth of its capacity, and all hosts are alike.
        assertTrue(share < 0.5 / HOSTS, when + ": " + share);
    }

    private void assertWarm(String when) {
        double share = shareOfFirst();
        assertTrue(share > 0.7 / HOSTS, when + ": " + share);
    }

    @Test
    void aStartInTheFutureCountsFromWhenItIsTold() {
        list(bed.now + HOUR);
        assertCold("just told");
        bed.pass(WARM_MS);
        assertWarm("warmed up");
    }

    @Test
    void aRestartToldWithAnEarlierTimeIsARestart() {
        list(bed.now - 60_000 * MS);
        assertWarm("started long ago");
        list(bed.now - HOUR);
        assertCold("restarted, told by a clock that was stepped back");
        bed.pass(WARM_MS);
        assertWarm("warmed up");
    }

    @Test
    void aNewHostThatSaysItStartedLongAgoIsCold() {
        list(0);
        assertWarm("known from the beginning");
        bed.pass(1_000);
        bed.delta(Bed.server(1, Api.State.GONE, 0));
        bed.pass(1_000);
        bed.delta(Bed.server(1, Api.State.READY, bed.now - HOUR));
        assertCold("told by a clock that was stepped back");
    }

    @Test
    void anOldStartInTheFirstListIsBelieved() {
        list(bed.now - 60_000 * MS);
        assertWarm("started long ago");
    }
}
