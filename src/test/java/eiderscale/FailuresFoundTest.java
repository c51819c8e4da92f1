package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.Reason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** One test for each failure that the bench has shown, written to fail without the change that mended it. */
class FailuresFoundTest {
    private static Bed bed() {
        return new Bed(new Bed.SettingsBuilder());
    }

    /**
     * Reads on a host that is cut off are all saved by their copies, so none times out: the breaker once stayed
     * closed for good, and each trial ended without a verdict and let every read in again.
     */
    @Test
    void aHostWhoseReadsAreAllOvertakenIsLeftAlone() {
        Bed bed = new Bed(new Bed.SettingsBuilder()).servers(4);
        bed.warmDigest(64);
        bed.pass(6_000); // the copies of these have used up their budget
        long dead = bed.request(1, Bed.READ, 5).server();
        bed.outcome(1, 0, Reason.OK);
        long id = 2;
        while (id < 20 && overtaken(bed, id) == dead) {
            id++;
        }
        assertTrue(id < 12, "opened after nine failures");
        bed.pass(6_000);
        assertEquals(dead, overtaken(bed, ++id), "a trial");
        assertNotEquals(dead, overtaken(bed, ++id), "that failed");
    }

    /** A read whose first attempt is silent and whose copy is served; returns where the first one went. */
    private static long overtaken(Bed bed, long id) {
        Bed.Sent first = bed.request(id, Bed.READ, 5);
        bed.pass(20);
        bed.outcome(id, 1, Reason.OK);
        assertTrue(bed.cancels.contains(id + "/0"));
        bed.outcome(id, 0, Reason.CANCELLED);
        return first.server();
    }

    /**
     * A few hosts that turned work away though they had time to spare had most requests shed, also those for the
     * hosts that stood idle: what an idle host says of work tells nothing of the fleet's load.
     */
    @Test
    void rejectionsByIdleHostsShedNothing() {
        for (float busy : new float[] {0.2f, 0.9f}) {
            Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
            builder.report = new Api.ReportLayout(-1, -1, 0);
            Bed bed = new Bed(builder).servers(8);
            int sent = 0;
            for (long id = 1; id <= 400; id++) {
                sent += bed.request(id, Bed.READ, id) != null ? 1 : 0;
                bed.pass(5);
                for (int attempt = 0; attempt < bed.settings.maxAttempts(); attempt++) {
                    bed.router.onOutcome(bed.now, new Api.Outcome(id, attempt, Reason.REJECTED, 0, false,
                            new float[] {busy}));
                }
            }
            assertEquals(busy < 0.5f, sent == 400, "busy " + busy + " sent " + sent);
        }
    }

    /** A key with a large share of the traffic filled its two hosts while the rest stood idle. */
    @Test
    void aHotKeySpreadsOverMoreThanTwoHosts() {
        Bed bed = bed().servers(20);
        Set<Long> hosts = new HashSet<>();
        for (int i = 0; i < 400; i++) {
            hosts.add(bed.request(i, Bed.READ, i % 3 == 0 ? 5 : 1000 + i).server());
        }
        hosts.clear();
        for (int i = 400; i < 440; i++) {
            hosts.add(bed.request(i, Bed.READ, 5).server());
        }
        assertTrue(hosts.size() > 4, "hosts: " + hosts.size());
    }

    /** With counts of 0 everywhere, ties kept sending to a host whose answers had become slow. */
    @Test
    void equalCountsGoToTheFasterCandidate() {
        Bed bed = bed().servers(6);
        long nearest = bed.request(1, Bed.READ, 5).server();
        long other = bed.request(2, Bed.READ, 5).server();
        bed.pass(20);
        bed.outcome(2, 0, Reason.OK);
        bed.pass(600);
        bed.outcome(1, 0, Reason.OK);
        assertEquals(other, bed.request(3, Bed.READ, 5).server());
        assertNotEquals(nearest, other);
    }

    /** A slow origin failed every miss, breakers opened everywhere and keys moved to hosts that lacked them. */
    @Test
    void breakersStayClosedWhenHostsFailAlike() {
        Bed bed = bed().servers(6);
        Map<Long, Integer> sent = new HashMap<>();
        for (int i = 0; i < 3000; i++) {
            if (i == 1600) {
                bed.delta(Bed.server(7));
            }
            Bed.Sent send = bed.request(i, Bed.UNSAFE, i);
            if (send == null) {
                continue;
            }
            long host = send.server();
            boolean served = sent.merge(host, 1, Integer::sum) % 6 == 0 && host != 7;
            bed.outcome(i, 0, served ? Reason.OK : Reason.ERROR);
        }
        assertTrue(sent.get(7L) > 40, "the last host failed like all others and got " + sent.get(7L));
    }

    /** Each refusal sent the request round all hosts: seven attempts a request, nine in ten turned away. */
    @Test
    void retriesKeepToTheirBudget() {
        Bed bed = bed().servers(10);
        for (int i = 0; i < 300; i++) {
            bed.request(i, Bed.READ, i);
            bed.endAll(i, Reason.CONNECT_FAILED);
        }
        int retries = bed.sends.size() - 300;
        assertTrue(retries > 10 && retries <= 10 + 300 * 0.2 + 1, "retries: " + retries);
    }

    /** Reads that missed held all of a full origin's connections; writes, worth more, starved. */
    @Test
    void aFullOriginIsKeptForWrites() {
        Bed bed = Bed.aside(4);
        int fills = 0;
        for (int i = 0; i < 200; i++) {
            bed.request(i, Bed.READ, i);
            if (bed.outcome(i, 0, Reason.MISS) != null) {
                fills += i >= 100 ? 1 : 0;
                for (int attempt = 1; attempt < 6; attempt++) {
                    bed.outcome(i, attempt, Reason.CONNECT_FAILED);
                }
            }
        }
        assertTrue(fills < 30, "misses sent on to the full origin: " + fills);
        assertEquals(99, bed.request(500, Bed.KEYED, 5).server());
        for (int i = 600; i < 800; i++) {
            bed.request(i, Bed.KEYED, i);
            bed.outcome(i, 0, Reason.OK);
        }
        bed.request(900, Bed.READ, 5);
        assertNotNull(bed.outcome(900, 0, Reason.MISS));
    }

    /** Writes and clients' retries of them kept a failing origin's queue full to the end of the day. */
    @Test
    void writesToAFailingOriginAreThinnedButLast() {
        Bed bed = Bed.aside(4);
        for (int i = 0; i < 60; i++) {
            bed.request(i, Bed.KEYED, i);
            bed.outcome(i, 0, Reason.TIMEOUT);
            bed.router.onClientGone(bed.now, i);
        }
        int writes = 0;
        int fetches = 0;
        for (int i = 100; i < 500; i++) {
            writes += bed.request(i, Bed.KEYED, i) != null ? 1 : 0;
            bed.request(i + 1000, Bed.READ, i);
            fetches += bed.outcome(i + 1000, 0, Reason.MISS) != null ? 1 : 0;
        }
        String passed = writes + " writes, " + fetches + " fetches of 400";
        assertTrue(writes > 80 && writes < 200 && fetches > 10 && fetches < writes / 2, passed);
    }

    /** A trial that was cancelled left the breaker waiting for it for ever. */
    @Test
    void aCancelledTrialDoesNotKeepABreakerOpen() {
        Bed bed = bed().servers(2);
        long dead = bed.openBreaker();
        bed.pass(1500);
        assertEquals(dead, bed.request(3, Bed.READ, 5).server());
        bed.router.onClientGone(bed.now, 3);
        bed.outcome(3, 0, Reason.CANCELLED);
        bed.pass(5000);
        assertEquals(dead, bed.request(4, Bed.READ, 5).server());
    }

    /** Under lasting overload every queue was full and every answer late: nothing was shed within shares. */
    @Test
    void lastingOverloadIsShedAndEndsWithItsCause() {
        Bed bed = bed().servers(6);
        for (int i = 0; i < 60; i++) {
            bed.request(i, Bed.READ, i);
            bed.endAll(i, Reason.REJECTED);
        }
        bed.refusals.clear();
        int reads = 0;
        int writes = 0;
        for (int i = 1000; i < 1400; i++) {
            reads += bed.request(i, Bed.READ, i) == null ? 1 : 0;
            writes += bed.request(i + 1000, Bed.KEYED, i) == null ? 1 : 0;
        }
        String shed = "shed " + reads + " reads, " + writes + " writes of 400";
        assertTrue(reads > 200 && writes < reads * 0.85 && reads < 400, shed);
        for (int i = 1000; i < 2400; i++) {
            bed.outcome(i, 0, Reason.OK);
        }
        bed.refusals.clear();
        for (int i = 3000; i < 3100; i++) {
            bed.request(i, Bed.READ, i);
        }
        assertTrue(bed.refusals.isEmpty());
    }

    /** A hot key's refused reads went round its hosts, all as full, while the origin had room. */
    @Test
    void aRefusedReadGoesToTheOriginWhileThatIsQuick() {
        Bed bed = Bed.aside(8);
        bed.request(1, Bed.READ, 5);
        assertEquals(99, bed.outcome(1, 0, Reason.REJECTED).server());
        bed.outcome(1, 1, Reason.OK);
        bed.slowOrigin();
        bed.request(2, Bed.READ, 5);
        assertNotEquals(99, bed.outcome(2, 0, Reason.REJECTED).server(), "the origin is slow now");
    }

    /** The origin was fetching, and a cache was asked for a copy of the same read. */
    @Test
    void noCopyRunsBesideTheOrigin() {
        Bed bed = Bed.aside(8);
        bed.warmDigest(40);
        bed.request(1, Bed.READ, 5);
        assertEquals(99, bed.outcome(1, 0, Reason.REJECTED).server());
        bed.pass(500);
        assertEquals(2, bed.sends.size());
    }

    /** A key hot over a thousand balancers, each of which saw it once in ten seconds, choked its two hosts. */
    @Test
    void manyBalancersWithFewReadsEachPreferTheirZone() {
        assertTrue(nearSends(100, false) > 120, "many balancers: " + nearSends(100, false));
        assertTrue(nearSends(10, false) < 80, "few balancers: " + nearSends(10, false));
        assertTrue(nearSends(100, true) < 80, "slow origin: " + nearSends(100, true));
    }

    /** Of 200 keys, how many a balancer in zone 0 sends to its own zone, which has a quarter of 12 hosts. */
    private static int nearSends(int instances, boolean slowOrigin) {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.aside = true;
        builder.instances = instances;
        List<Api.Server> list = new ArrayList<>(List.of(Bed.origin(99)));
        for (int i = 1; i <= 12; i++) {
            list.add(new Api.Server(i, i % 4, 0, 0, Api.State.READY, 1, 0));
        }
        Bed bed = new Bed(builder).list(list);
        if (slowOrigin) {
            bed.slowOrigin();
        }
        int near = 0;
        for (int i = 0; i < 200; i++) {
            near += bed.request(i, Bed.READ, 10_000 + i).server() % 4 == 0 ? 1 : 0;
            bed.outcome(i, 0, Reason.OK);
        }
        return near;
    }

    /** Among many balancers a part of a share is one request a second: chance was shed as excess. */
    @Test
    void aFewRequestsAtOnceAreNotTakenForTrafficOverAShare() {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.instances = 200;
        builder.tenants = List.of(new Api.Tenant(200, 1));
        Bed bed = new Bed(builder).servers(8);
        for (int i = 0; i < 10; i++) {
            bed.request(i, Bed.READ, i, 0, false);
            bed.outcome(i, 0, i == 9 ? Reason.REJECTED : Reason.OK);
            bed.outcome(i, 1, Reason.OK);
            bed.pass(10_000);
        }
        bed.refusals.clear();
        for (int i = 100; i < 106; i++) {
            bed.request(i, Bed.READ, i, 0, false);
        }
        assertEquals(0, bed.refusals.size());
    }

    /** A thousand balancers each sent a hot key's one request to the same cold host and pushed it over. */
    @Test
    void firstSendsOfManyBalancersToAColdHostAreThinned() {
        int most = 0;
        for (int key = 0; key < 10; key++) {
            int cold = 0;
            for (int seed = 0; seed < 100; seed++) {
                Bed bed = new Bed(new Bed.SettingsBuilder(), seed).servers(9);
                bed.delta(Bed.server(10, Api.State.READY, bed.now - 5_000 * Bed.MS));
                for (int i = 2; i < 6; i++) {
                    bed.request(i, Bed.READ, 100 + i);
                    bed.pass(250);
                }
                cold += bed.request(1, Bed.READ, key).server() == 10 ? 1 : 0;
            }
            most = Math.max(most, cold);
        }
        assertTrue(most > 10 && most < 60, "of 100 balancers " + most);
    }

    /** Clients' retries of refused requests used up their tenant's share, so that all its traffic was shed. */
    @Test
    void refusedRequestsDoNotUseUpAShare() {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.tenants = List.of(new Api.Tenant(2, 0.5), new Api.Tenant(1_000_000, 0.5));
        Bed bed = new Bed(builder).servers(8);
        for (int i = 0; i < 100; i++) {
            bed.request(i, Bed.READ, i, 1, false);
            bed.endAll(i, Reason.REJECTED);
        }
        int served = 0;
        for (int i = 1000; i < 1400; i++) {
            served += bed.request(i, Bed.READ, i, 0, false) != null ? 1 : 0;
        }
        assertTrue(served > 10 && served <= 20, "of a share of 20 " + served);
    }

    /** A queue at the origin made every fetch late, and each counted as a success. */
    @Test
    void fetchesLaterThanTheAimCountAsFailed() {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.aside = true;
        builder.lateWorth = 0.5;
        Bed bed = new Bed(builder).list(List.of(Bed.server(1), Bed.server(2), Bed.origin(99)));
        int fetched = 0;
        for (int i = 0; i < 60; i++) {
            bed.request(i, Bed.READ, i);
            boolean sent = bed.outcome(i, 0, Reason.MISS) != null;
            bed.pass(1500);
            if (sent) {
                bed.outcome(i, 1, Reason.OK);
                fetched += i >= 20 ? 1 : 0;
            }
        }
        assertTrue(fetched > 0 && fetched < 30, "of 40 misses fetched: " + fetched);
    }

    /** With fifty balancers each had so few fills that its share took ten seconds to grow back. */
    @Test
    void theFillShareGrowsBackOnFewFetches() {
        Bed bed = bed().servers(6);
        for (int i = 0; i < 60; i++) {
            bed.request(i, Bed.KEYED, i);
            bed.outcome(i, 0, Reason.ERROR);
            bed.outcome(i, 1, Reason.ERROR);
        }
        for (int i = 100; i < 160; i++) {
            bed.request(i, Bed.KEYED, i);
            bed.outcome(i, 0, Reason.OK);
        }
        bed.refusals.clear();
        for (int i = 3000; i < 3050; i++) {
            bed.request(i, Bed.READ, i);
        }
        assertTrue(bed.refusals.isEmpty(), "still shed: " + bed.refusals.size());
    }

    /** Time-outs told of a jam only after seconds, when servers had slowed down for good. */
    @Test
    void requestsThatStayOutAreShedBeforeTheyTimeOut() {
        Bed bed = bed().servers(8);
        for (int i = 0; i < 150; i++) {
            bed.request(i, Bed.READ, i);
            bed.pass(10);
        }
        assertTrue(bed.refusals.size() > 15, "refused within 1.5 s: " + bed.refusals.size());
    }

    /** A third of the answers lost looked like overload, and two thirds of the traffic was refused. */
    @Test
    void lostAnswersAloneShedNothing() {
        Bed bed = bed().servers(8);
        for (int i = 0; i < 400; i++) {
            bed.request(i, Bed.READ, i);
            if (i % 3 != 0) {
                bed.outcome(i, 0, Reason.OK);
            }
            bed.pass(10);
        }
        assertEquals(0, bed.refusals.stream().filter(r -> r.request() % 3 != 0).count());
    }

    /** Idle connections of nine hundred balancers filled every cache's table: seven in ten attempts got none. */
    @Test
    void idleConnectionsAreGivenUpWhileManyAttemptsGetNone() {
        Bed bed = bed().servers(20);
        bed.request(1, Bed.READ, 1);
        bed.outcome(1, 0, Reason.CONNECT_FAILED);
        bed.outcome(1, 1, Reason.OK);
        assertTrue(bed.closed.isEmpty(), "one dead host is no reason");
        for (int i = 10; i < 30; i++) {
            bed.request(i, Bed.READ, i);
            bed.outcome(i, 0, Reason.CONNECT_FAILED);
        }
        long host = bed.request(40, Bed.READ, 40).server();
        bed.closed.clear();
        bed.outcome(40, 0, Reason.OK);
        assertEquals(List.of(host), bed.closed);
        for (int i = 100; i < 300; i++) {
            bed.request(i, Bed.READ, i);
            bed.outcome(i, 0, Reason.OK);
        }
        bed.closed.clear();
        bed.request(400, Bed.READ, 5);
        bed.outcome(400, 0, Reason.OK);
        assertTrue(bed.closed.isEmpty(), "they are kept again");
    }

    /**
     * Balancers that had just started took the few requests that they had counted for a low rate, and held cold hosts to a
     * sliver of what these could do: two thirds were refused for three seconds beside hosts that had long been warm.
     */
    @Test
    void whoHasJustStartedKnowsItsRateAsWellAsWhoHasRunForLong() {
        int fresh = sentToCold(0);
        int old = sentToCold(30);
        assertTrue(fresh > 0.7 * old, "in the first second " + fresh + " after a start, " + old + " half a minute later");
        assertTrue(fresh < 1.5 * old, "in the first second " + fresh + " after a start, " + old + " half a minute later");
    }

    /** At 200 a second, with four hosts that all start cold after so long: sends in the first second, slow enough to stay cold. */
    private static int sentToCold(int seconds) {
        Bed bed = bed().servers(4);
        long id = 0;
        for (int i = 0; i < 200 * seconds; i++) {
            bed.request(++id, Bed.READ, id);
            bed.outcome(id, 0, Reason.OK);
            bed.pass(5);
        }
        Api.Server[] cold = new Api.Server[4];
        for (int i = 0; i < 4; i++) {
            cold[i] = new Api.Server(1 + i, 0, 0, 0, Api.State.READY, 1, bed.now);
        }
        bed.delta(cold);
        int before = bed.sends.size();
        for (int i = 0; i < 200; i++) {
            bed.request(++id, Bed.READ, id);
            bed.pass(5);
        }
        return bed.sends.size() - before;
    }

    /**
     * While links were cut, retries multiplied what fed the slow start, and cold hosts were pushed over. They may use up what
     * first sends leave of a cold host's budget, and must not raise it.
     */
    @Test
    void retriesDoNotFeedTheSlowStart() {
        int failing = coldSends(Reason.ERROR);
        assertTrue(failing <= 2 * coldSends(Reason.OK), "sends to the cold host: " + failing);
    }

    private static int coldSends(Reason end) {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.budget = new Api.Budget(100_000, 1, 1_000 * Bed.MS);
        Bed bed = new Bed(builder).servers(9);
        for (int i = 10_000; i < 13_000; i++) {
            bed.request(i, Bed.READ, i);
            bed.outcome(i, 0, Reason.OK);
            bed.pass(1);
        }
        bed.delta(Bed.server(10, Api.State.READY, bed.now));
        for (int i = 0; i < 2000; i++) {
            bed.request(i, Bed.READ, i);
            for (int attempt = 0; attempt < 4; attempt++) {
                bed.outcome(i, attempt, end);
            }
            bed.pass(1);
        }
        return (int) bed.sends.stream().filter(s -> s.server() == 10).count();
    }

    /** A few full caches of hot keys made hundreds of balancers shed reads that idle caches could serve. */
    @Test
    void fullCachesAreNoOverloadWhileTheOriginIsQuick() {
        Bed quick = Bed.aside(8);
        Bed slow = Bed.aside(8);
        slow.slowOrigin();
        for (Bed bed : List.of(quick, slow)) {
            bed.refusals.clear();
            for (int i = 0; i < 900; i++) {
                bed.request(i, Bed.READ, i);
                bed.outcome(i, 0, i % 3 == 0 ? Reason.REJECTED : Reason.OK);
                bed.outcome(i, 1, Reason.OK);
            }
        }
        assertEquals(0, shedAtOnce(quick));
        assertTrue(shedAtOnce(slow) > 20, "with a slow origin: " + shedAtOnce(slow));
    }

    /** Refused before any attempt: every third request was turned away by a cache instead. */
    private static long shedAtOnce(Bed bed) {
        return bed.refusals.stream().filter(r -> r.request() % 3 != 0).count();
    }
}
