package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.Reason;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RouterTest {
    private static Bed bed() {
        return new Bed(new Bed.SettingsBuilder());
    }

    @Test
    void exampleRoutesToOneOfItsServers() {
        assertTrue(List.of(1L, 2L).contains(EmbeddingExample.routeOne()));
    }

    @Test
    void aKeyStaysOnItsHostAndGoesToTheOtherCandidateWhenThatIsBusy() {
        Bed bed = bed().servers(8);
        long first = bed.request(1, Bed.READ, 5).server();
        bed.outcome(1, 0, Reason.OK);
        assertEquals(first, bed.request(2, Bed.READ, 5).server());
        long second = bed.request(3, Bed.READ, 5).server();
        assertNotEquals(first, second);
        bed.outcome(3, 0, Reason.OK);
        assertEquals(second, bed.request(4, Bed.READ, 5).server());
    }

    @Test
    void anEmptyDigestHedgesNothing() {
        Bed bed = bed().servers(4);
        bed.request(1, Bed.READ, 5);
        bed.pass(900);
        assertEquals(1, bed.sends.size());
    }

    @Test
    void aHandfulOfSamplesHedgesNothing() {
        Bed bed = bed().servers(4);
        bed.warmDigest(20);
        bed.request(1, Bed.READ, 5);
        bed.pass(900);
        assertEquals(1, bed.sends.size());
    }

    @Test
    void aSlowReadGetsOneCopyAndTheLoserIsCancelled() {
        Bed bed = bed().servers(4);
        bed.warmDigest(40);
        long first = bed.request(1, Bed.READ, 5).server();
        bed.pass(900);
        assertEquals(2, bed.sends.size());
        assertNotEquals(first, bed.sends.get(1).server());
        bed.outcome(1, 1, Reason.OK);
        assertEquals(List.of("1/0"), bed.cancels);
        assertNull(bed.outcome(1, 0, Reason.CANCELLED));
    }

    @Test
    void aClassThatIsNotHedgedGetsNoCopyAndIsStillTriedAgain() {
        Bed.SettingsBuilder settings = new Bed.SettingsBuilder();
        settings.hedge = false;
        Bed bed = new Bed(settings).servers(4);
        bed.warmDigest(40);
        bed.request(1, Bed.READ, 5);
        bed.pass(900);
        assertEquals(1, bed.sends.size());
        assertNotNull(bed.outcome(1, 0, Reason.RESET));
    }

    @Test
    void aClassThatIsNotRetriedIsSentAgainOnlyWhereNothingRan() {
        Bed.SettingsBuilder settings = new Bed.SettingsBuilder();
        settings.retry = false;
        Bed bed = new Bed(settings).servers(4);
        bed.request(1, Bed.READ, 5);
        assertNotNull(bed.outcome(1, 0, Reason.CONNECT_FAILED));
        assertNull(bed.outcome(1, 1, Reason.RESET));
        assertTrue(bed.refused(1), "a repeat by the client does no harm");
    }

    @Test
    void aKeyOfOneCandidateMovesWhileItsHostIsOut() {
        Bed.SettingsBuilder settings = new Bed.SettingsBuilder();
        settings.candidates = 1;
        Bed bed = new Bed(settings).servers(8);
        long home = bed.request(1, Bed.READ, 5).server();
        long next = bed.outcome(1, 0, Reason.CONNECT_FAILED).server();
        assertNotEquals(home, next);
        assertEquals(home, bed.request(2, Bed.READ, 5).server());
        bed.outcome(2, 0, Reason.CONNECT_FAILED);
        assertEquals(next, bed.request(3, Bed.READ, 5).server(), "the breaker is open: its next host serves");
    }

    @Test
    void aKeyOfOneCandidateLivesThereAloneHoweverHot() {
        Bed.SettingsBuilder settings = new Bed.SettingsBuilder();
        settings.candidates = 1;
        Bed bed = new Bed(settings).servers(8);
        long home = bed.request(1, Bed.READ, 5).server();
        for (int i = 2; i < 200; i++) {
            assertEquals(home, bed.request(i, Bed.READ, 5).server(), "with " + i + " in flight");
        }
        bed.pass(900);
        assertEquals(199, bed.sends.size(), "no copies elsewhere");
    }

    @Test
    void theStatedQuantileIsTheDelayOfACopy() {
        Bed.SettingsBuilder settings = new Bed.SettingsBuilder();
        settings.quantile = 0.1;
        Bed bed = new Bed(settings).servers(4);
        for (int i = 0; i < 40; i++) {
            bed.request(100 + i, Bed.READ, 100 + i);
            bed.pass(10 + i);
            bed.outcome(100 + i, 0, Reason.OK);
        }
        int before = bed.sends.size();
        bed.request(1, Bed.READ, 5);
        bed.pass(20);
        assertEquals(before + 2, bed.sends.size(), "after a tenth of the latencies, not after nearly all");
    }

    @Test
    void writesGetNoCopy() {
        Bed bed = bed().servers(4);
        bed.warmDigest(40);
        bed.request(1, Bed.KEYED, 5);
        bed.request(2, Bed.UNSAFE, 6);
        bed.pass(900);
        assertEquals(2, bed.sends.size());
    }

    @Test
    void copiesKeepToTheirBudget() {
        Bed bed = bed().servers(8);
        bed.warmDigest(40);
        for (int i = 0; i < 100; i++) {
            bed.request(i, Bed.READ, i);
        }
        bed.pass(500);
        int copies = bed.sends.size() - 100;
        assertTrue(copies > 0 && copies <= 10 + 0.2 * 140, "copies: " + copies);
    }

    @Test
    void aMissGoesToTheOriginAndWritesGoStraightThere() {
        Bed bed = Bed.aside(4);
        assertNotEquals(99, bed.request(1, Bed.READ, 5).server());
        assertEquals(99, bed.outcome(1, 0, Reason.MISS).server());
        assertEquals(99, bed.request(2, Bed.KEYED, 5).server());
        bed.pass(900);
        assertEquals(3, bed.sends.size());
    }

    @Test
    void anUnsafeRequestIsNotRepeatedNorRefusedOnceItMayHaveRun() {
        Bed bed = bed().servers(4);
        bed.request(1, Bed.UNSAFE, 5);
        assertNull(bed.outcome(1, 0, Reason.RESET));
        assertEquals(List.of(1L), bed.failures);
        bed.request(2, Bed.UNSAFE, 5);
        assertNotNull(bed.outcome(2, 0, Reason.REJECTED));
        assertNull(bed.outcome(2, 1, Reason.TIMEOUT));
        assertEquals(List.of(1L, 2L), bed.failures);
        assertTrue(bed.refusals.isEmpty());
    }

    @Test
    void aKeyedRequestIsRepeatedOnlyWithinItsWindow() {
        Bed bed = bed().servers(4);
        bed.request(1, Bed.KEYED, 5);
        bed.pass(100);
        assertNotNull(bed.outcome(1, 0, Reason.RESET));
        bed.pass(500);
        assertNull(bed.outcome(1, 1, Reason.RESET));
        assertTrue(bed.refused(1));
    }

    @Test
    void aKeyedRequestStaysInItsGroup() {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.group = Api.Group.CELL;
        Bed bed = new Bed(builder);
        bed.list(List.of(new Api.Server(1, 0, 0, 1, Api.State.READY, 1, 0),
                new Api.Server(2, 0, 0, 2, Api.State.READY, 1, 0)));
        bed.request(1, Bed.KEYED, 5);
        assertNull(bed.outcome(1, 0, Reason.RESET));
        assertEquals(List.of(1L), bed.failures);
    }

    @Test
    void noSecondPendingAttemptWhereDuplicatesAreForbidden() {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.mayDuplicate = false;
        Bed bed = new Bed(builder).servers(4);
        bed.warmDigest(40);
        bed.request(1, Bed.READ, 5);
        bed.pass(900);
        assertEquals(1, bed.sends.size());
    }

    @Test
    void attemptsAreCapped() {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.maxAttempts = 2;
        Bed bed = new Bed(builder).servers(6);
        bed.request(1, Bed.READ, 5);
        assertNotNull(bed.outcome(1, 0, Reason.CONNECT_FAILED));
        assertNull(bed.outcome(1, 1, Reason.CONNECT_FAILED));
        assertTrue(bed.refused(1));
    }

    @Test
    void anEmptyListIsAnsweredAtOnce() {
        Bed bed = bed();
        assertNull(bed.request(1, Bed.READ, 5));
        assertTrue(bed.refused(1));
        Bed noOrigin = Bed.aside(0);
        noOrigin.list(List.of());
        assertNull(noOrigin.request(2, Bed.KEYED, 5));
        assertTrue(noOrigin.refused(2));
    }

    @Test
    void aClientThatLeftIsOwedNothingAndItsAttemptIsCancelled() {
        Bed bed = bed().servers(4);
        bed.request(1, Bed.READ, 5);
        bed.router.onClientGone(bed.now, 1);
        assertEquals(List.of("1/0"), bed.cancels);
        assertNull(bed.outcome(1, 0, Reason.RESET));
        bed.router.onClientGone(bed.now, 1);
        bed.outcome(1, 0, Reason.OK);
        assertTrue(bed.refusals.isEmpty() && bed.failures.isEmpty());
    }

    @Test
    void unknownIdsArePassedOver() {
        Bed bed = bed().servers(4);
        bed.outcome(77, 0, Reason.OK);
        bed.router.onClientGone(bed.now, 77);
        bed.router.onFirstByte(bed.now, 77, 0);
        bed.router.onTimer(bed.now, 12345);
        assertTrue(bed.sends.isEmpty() && bed.refusals.isEmpty());
    }

    @Test
    void theLastTimeOutAtTheDeadlineIsAnswered() {
        Bed bed = bed().servers(4);
        bed.request(1, Bed.READ, 5);
        bed.request(2, Bed.UNSAFE, 6);
        bed.pass(2000);
        bed.outcome(1, 0, Reason.TIMEOUT);
        bed.outcome(2, 0, Reason.TIMEOUT);
        assertTrue(bed.refused(1));
        assertEquals(List.of(2L), bed.failures);
    }

    @Test
    void worthlessLateWorkIsCutAtTheAim() {
        Bed bed = bed().servers(4);
        assertEquals(bed.now + 1000 * Bed.MS, bed.request(1, Bed.READ, 5).cutAt());
        Bed.SettingsBuilder late = new Bed.SettingsBuilder();
        late.lateWorth = 0.5;
        Bed other = new Bed(late).servers(4);
        assertEquals(other.now + 2000 * Bed.MS, other.request(1, Bed.READ, 5).cutAt());
    }

    @Test
    void nothingNewGoesToADrainingOrAbsentHost() {
        Bed bed = bed().servers(3);
        bed.delta(Bed.server(1, Api.State.DRAINING, 0), Bed.server(2, Api.State.GONE, 0));
        for (int i = 0; i < 50; i++) {
            assertEquals(3, bed.request(i, Bed.READ, i).server());
        }
        bed.list(List.of(Bed.server(1)));
        assertEquals(1, bed.request(100, Bed.READ, 5).server());
    }

    @Test
    void aDeadHostIsLeftAloneAndTriedAgain() {
        Bed bed = bed().servers(2);
        long dead = bed.openBreaker();
        for (int i = 10; i < 20; i++) {
            assertNotEquals(dead, bed.request(i, Bed.READ, 5).server());
            bed.outcome(i, 0, Reason.OK);
        }
        bed.pass(1500);
        assertEquals(dead, bed.request(30, Bed.READ, 5).server());
        assertNotEquals(dead, bed.request(31, Bed.READ, 5).server());
    }

    @Test
    void whenAllHostsFailTheSetIsNotEmptied() {
        Bed bed = bed().servers(3);
        for (int i = 0; i < 20; i++) {
            bed.request(i, Bed.READ, i);
            for (int a = 0; a < 4; a++) {
                bed.outcome(i, a, Reason.CONNECT_FAILED);
            }
        }
        assertNotNull(bed.request(100, Bed.READ, 5));
    }

    @Test
    void aFleetOfColdHostsIsStillUsed() {
        Bed bed = bed();
        List<Api.Server> list = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            list.add(Bed.server(i, Api.State.READY, bed.now));
        }
        bed.list(list);
        for (int i = 0; i < 8; i++) {
            assertNotNull(bed.request(i, Bed.READ, i), "request " + i);
            bed.outcome(i, 0, Reason.OK);
        }
    }

    @Test
    void aColdHostGetsAGrowingShareOfKeys() {
        Bed bed = bed().servers(3);
        bed.delta(Bed.server(4, Api.State.READY, bed.now));
        int early = sentTo(bed, 4, 0);
        bed.pass(4000);
        int halfway = sentTo(bed, 4, 1000);
        bed.pass(6000);
        int warm = sentTo(bed, 4, 2000);
        assertTrue(early < warm / 2, early + " of " + warm);
        assertTrue(halfway > early && halfway < warm, early + ", " + halfway + ", " + warm);
    }

    private static int sentTo(Bed bed, long server, int base) {
        int count = 0;
        for (int i = 0; i < 400; i++) {
            bed.pass(2);
            count += bed.request(base + i, Bed.READ, i).server() == server ? 1 : 0;
            bed.pass(2);
            bed.outcome(base + i, 0, Reason.OK);
        }
        return count;
    }

    @Test
    void aBurstDoesNotSpendAColdHostsBudget() {
        Bed warm = bed().servers(10);
        Bed bed = bed().servers(9);
        bed.delta(Bed.server(10, Api.State.READY, bed.now - 5_000 * Bed.MS));
        int keys = 0;
        int cold = 0;
        for (int i = 0; i < 1500; i++) {
            bed.pass(1);
            boolean its = warm.request(i, Bed.READ, i).server() == 10;
            warm.outcome(i, 0, Reason.OK);
            if (its) {
                keys++;
                cold += bed.request(i, Bed.READ, i).server() == 10 ? 1 : 0;
                bed.outcome(i, 0, Reason.OK);
            }
        }
        assertTrue(keys > 100 && cold > 0 && cold <= keys * 4 * 0.5 / 10 + 1, cold + " of " + keys);
    }

    @Test
    void trafficOverAShareIsShedFirstUnderPressure() {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.tenants = List.of(new Api.Tenant(10, 0.5), new Api.Tenant(1000, 0.5));
        builder.overShareWorth = 0.05;
        Bed bed = new Bed(builder).servers(4);
        for (int i = 0; i < 40; i++) {
            bed.request(i, Bed.READ, i, 1, false);
        }
        for (int i = 0; i < 5; i++) {
            bed.outcome(i, 0, Reason.REJECTED);
        }
        for (int i = 0; i < 120; i++) {
            if (i == 60) {
                bed.refusals.clear();
            }
            bed.pass(2);
            bed.request(1000 + i, Bed.READ, i, i % 2, false);
        }
        long over = bed.refusals.stream().filter(r -> r.request() % 2 == 0).count();
        long within = bed.refusals.size() - over;
        assertTrue(over >= 10 && within < over / 2, over + " over, " + within + " within");
    }

    @Test
    void instancesSubscribeOutOfStepAndAgainAfterAFailure() {
        long last = 0;
        for (int rank = 0; rank < 4; rank++) {
            Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
            builder.subscribe = true;
            builder.instances = 4;
            builder.rank = rank;
            Bed bed = new Bed(builder);
            bed.router.onList(bed.now, Api.ListMode.CACHED, List.of(Bed.server(1)));
            assertEquals(1, bed.wakes.size());
            long wait = bed.wakes.get(0).moment() - bed.now;
            assertTrue(wait > last && wait < 10_000 * Bed.MS, "wait " + wait);
            last = wait;
            bed.pass(10_000);
            assertEquals(1, bed.subscriptions);
            bed.router.onList(bed.now, Api.ListMode.FAILED, List.of());
            bed.pass(10_000);
            assertEquals(2, bed.subscriptions);
            assertNotNull(bed.request(1, Bed.READ, 5));
        }
    }

    /** Guards against sends to draining servers: behind an outage of discovery the last to ask waited for up to 20 s. */
    @Test
    void whoeverAsksLastBehindAnOutageAsksInTime() {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.subscribe = true;
        builder.instances = 6;
        builder.rank = 5;
        Bed bed = new Bed(builder);
        for (int failures = 0; failures < 12; failures++) {
            bed.wakes.clear();
            bed.router.onList(bed.now, Api.ListMode.FAILED, List.of());
            long wait = bed.wakes.get(0).moment() - bed.now;
            // Changes count as told 6 s after they could be, and a call may stand in line for 2 s.
            assertTrue(wait <= 4_000 * Bed.MS, "waits " + wait / Bed.MS + " ms behind failure " + failures);
            bed.pass(10_000);
        }
    }

    @Test
    void aStartedStreamBelongsToTheClient() {
        Bed bed = bed().servers(4);
        bed.warmDigest(40);
        bed.request(1, Bed.READ, 5);
        bed.router.onFirstByte(bed.now, 1, 0);
        bed.pass(900);
        assertEquals(1, bed.sends.size());
        assertFalse(bed.refused(1));
    }
}
