package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What hosts of each kind can do, learnt from answers and reports of load. */
class CapacityTest {
    private static final int FAST = 0;
    private static final int SLOW = 1;

    /** A fleet of ten of each kind, all listed with weight 1, whose reports say what this share of work makes of them. */
    private static double sendsToFast(double slowSpeed, int requests, boolean reports) {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.hedge = false;
        builder.report = reports ? new Api.ReportLayout(-1, -1, 0) : builder.report;
        List<Api.Server> list = new ArrayList<>();
        for (int i = 1; i <= 20; i++) {
            list.add(new Api.Server(i, 0, i <= 10 ? FAST : SLOW, 0, Api.State.READY, 1, 0));
        }
        Bed bed = new Bed(builder).list(list);
        double[] done = new double[2];
        int late = 0;
        int fast = 0;
        for (int id = 1; id <= requests; id++) {
            Bed.Sent sent = bed.request(id, Bed.READ, 7919L * id);
            int kind = sent.server() <= 10 ? FAST : SLOW;
            done[FAST] *= 0.98;
            done[SLOW] *= 0.98;
            done[kind]++;
            double busy = Math.min(1, done[kind] / 50 * 0.5 / (kind == FAST ? 1 : slowSpeed));
            bed.pass(10);
            bed.router.onOutcome(bed.now, new Api.Outcome(id, 0, Api.Reason.OK, 0, true, new float[] {(float) busy}));
            if (id > requests / 2) {
                late++;
                fast += kind == FAST ? 1 : 0;
            }
        }
        return (double) fast / late;
    }

    @ParameterizedTest
    @CsvSource({"0.5, 0.60, 0.74", "0.25, 0.72, 0.87", "1, 0.42, 0.58"})
    void fasterKindsGetMoreOfTheKeys(double slowSpeed, double least, double most) {
        double share = sendsToFast(slowSpeed, 2000, true);
        assertTrue(share > least && share < most, () -> "share of the fast kind " + share);
    }

    @Test
    void withoutReportsTheListCounts() {
        double share = sendsToFast(0.5, 2000, false);
        assertTrue(share > 0.42 && share < 0.58, () -> "share of the fast kind " + share);
    }

    /** Sends to three cold hosts among six warm ones, which report that they are {@code coldBusy} where those are half busy. */
    private static long coldSends(double coldBusy) {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.hedge = false;
        builder.report = new Api.ReportLayout(-1, -1, 0);
        Bed bed = new Bed(builder).servers(6);
        for (int id = 7; id <= 9; id++) {
            bed.delta(Bed.server(id, Api.State.READY, bed.now));
        }
        for (int id = 1; id <= 6000; id++) {
            Bed.Sent sent = bed.request(id, Bed.READ, 7919L * id);
            bed.pass(1);
            float busy = (float) (sent.server() > 6 ? coldBusy : 0.5);
            bed.router.onOutcome(bed.now, new Api.Outcome(id, 0, Api.Reason.OK, 0, true, new float[] {busy}));
        }
        return bed.sends.stream().filter(sent -> sent.server() > 6).count();
    }

    @Test
    void coldHostsThatIdleGetMoreButNeverTwiceTheirShare() {
        long busy = coldSends(0.9);
        long idle = coldSends(0.05);
        assertTrue(idle > busy * 1.1, () -> "idle " + idle + ", busy " + busy);
        assertTrue(idle <= busy * 2.1, () -> "idle " + idle + ", busy " + busy);
    }

    /** Reports that no host means; a mean that took in no number would stay none. */
    @ParameterizedTest
    @CsvSource({"NaN", "-1", "Infinity", "-Infinity", "3e38"})
    void aReportThatCannotBeChangesLittle(float said) {
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.hedge = false;
        builder.report = new Api.ReportLayout(-1, -1, 0);
        Bed bed = new Bed(builder).servers(6);
        bed.delta(Bed.server(7, Api.State.READY, bed.now));
        for (int id = 1; id <= 6000; id++) {
            bed.request(id, Bed.READ, 7919L * id);
            bed.pass(1);
            float busy = id % 50 == 0 ? said : 0.5f;
            bed.router.onOutcome(bed.now, new Api.Outcome(id, 0, Api.Reason.OK, 0, true, new float[] {busy}));
        }
        long cold = bed.sends.stream().filter(sent -> sent.server() == 7).count();
        assertTrue(cold > 100 && cold < 1000, () -> "sends to the cold host " + cold);
    }

    @Test
    void aHandfulOfAnswersChangesNothing() {
        Capacity capacity = new Capacity();
        for (int i = 0; i < 20; i++) {
            capacity.answered(i, FAST, 0.1);
            capacity.answered(i, SLOW, 0.9);
        }
        assertTrue(!learn(capacity, 1, 1));
        assertEquals(1, capacity.factor(FAST));
    }

    @Test
    void whatTheListAlreadyTellsIsNotCountedTwice() {
        Capacity capacity = new Capacity();
        for (int i = 0; i < 200; i++) {
            capacity.answered(i, FAST, 0.5);
            capacity.answered(i, FAST, 0.5);
            capacity.answered(i, SLOW, 0.5);
        }
        assertTrue(!learn(capacity, 2, 1), "listed at 2 and 1, served 2 and 1, equally busy");
    }

    @Test
    void aFactorStaysWhileTheFiguresWaver() {
        Capacity capacity = new Capacity();
        int changes = 0;
        for (int i = 0; i < 4000; i++) {
            capacity.answered(i * 5_000_000L, FAST, 0.5 + 0.03 * Math.sin(i / 50.0));
            capacity.answered(i * 5_000_000L, SLOW, 0.7);
            changes += i % 25 == 0 && learn(capacity, 1, 1) ? 1 : 0;
        }
        assertTrue(changes <= 3, "changes " + changes);
    }

    @Property
    void factorsStayWithinTheirBoundsWhateverIsReported(
            @ForAll @Size(min = 100, max = 300) List<@DoubleRange(min = 0, max = 1) Double> shares,
            @ForAll @IntRange(min = 1, max = 5) int kinds) {
        Capacity capacity = new Capacity();
        long now = 0;
        for (int i = 0; i < shares.size(); i++) {
            now += 1_000_000;
            capacity.answered(now, i % kinds, shares.get(i));
        }
        double[] listed = new double[kinds];
        java.util.Arrays.fill(listed, 3);
        learn(capacity, listed);
        for (int kind = 0; kind < kinds + 1; kind++) {
            double factor = capacity.factor(kind);
            assertTrue(factor >= 0.25 && factor <= 4, () -> "factor " + factor);
        }
    }

    private static boolean learn(Capacity capacity, double... listed) {
        capacity.look();
        for (int kind = 0; kind < listed.length; kind++) {
            capacity.hosts(kind, listed[kind]);
        }
        return capacity.learn();
    }
}
