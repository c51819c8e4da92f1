package eiderscale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api.Reason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random event sequences against all six rules, judged by a ledger of its own. */
class RulesTest {
    private static final Reason[] ENDS = {Reason.ERROR, Reason.REJECTED, Reason.TIMEOUT, Reason.CONNECT_FAILED,
        Reason.RESET, Reason.MISS, Reason.OK, Reason.OK, Reason.OK};

    /** What the ledger knows of a request. */
    private static final class Entry {
        final int requestClass;
        final long key;
        final long deadline;
        int sent;
        int misses;
        final List<Integer> open = new ArrayList<>();
        boolean done;
        boolean ran;
        long firstMayHaveRun = -1;

        Entry(int requestClass, long key, long deadline) {
            this.requestClass = requestClass;
            this.key = key;
            this.deadline = deadline;
        }
    }

    private final Map<Long, Entry> ledger = new HashMap<>();
    /** Keys in order: the requests taken and not over, oldest first, and when the key's rest ends. */
    private final Map<Long, List<Long>> lines = new HashMap<>();
    private final Map<Long, Long> rests = new HashMap<>();
    private final List<Long> taken = new ArrayList<>();
    private final List<Long> further = new ArrayList<>();
    private final Set<Long> listed = new HashSet<>();
    private final Set<Long> cold = new HashSet<>();
    private int sendsSeen;
    private int refusalsSeen;
    private int failuresSeen;
    private int coldSends;
    private int allSends;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void theRulesHold(long seed) {
        Random random = new Random(seed);
        Bed.SettingsBuilder builder = new Bed.SettingsBuilder();
        builder.aside = seed % 2 == 0;
        builder.mayDuplicate = seed % 3 != 0;
        builder.lateWorth = seed % 4 == 0 ? 0.5 : 0;
        builder.ordered = seed % 5 != 0;
        builder.budget = seed % 3 != 1 ? new Api.Budget(2, 0.1, 500 * Bed.MS) : null;
        Bed bed = new Bed(builder, seed);
        relist(bed, random);
        for (long id = 1; id <= 3000; id++) {
            bed.pass(random.nextInt(4));
            int requestClass = random.nextInt(10) < 8 ? Bed.READ : 1 + random.nextInt(2);
            long deadline = bed.now + (500 + random.nextInt(1500)) * Bed.MS;
            long key = 1 + random.nextInt(requestClass == Bed.KEYED ? 8 : 200);
            ledger.put(id, new Entry(requestClass, key, deadline));
            taken.add(bed.now);
            if (requestClass == Bed.KEYED) {
                lines.computeIfAbsent(key, k -> new ArrayList<>()).add(id);
            }
            bed.router.onRequest(bed.now, new Api.Request(id, requestClass, 0, key,
                    deadline, 0, false, requestClass != Bed.READ));
            check(bed);
            endSome(bed, random);
            if (random.nextInt(100) == 0) {
                relist(bed, random);
            }
        }
        drain(bed);
        for (Map.Entry<Long, Entry> entry : ledger.entrySet()) {
            assertTrue(entry.getValue().done, "unanswered: " + entry.getKey());
        }
        assertTrue(coldSends <= allSends / 4 + 4, "cold hosts got " + coldSends + " of " + allSends);
    }

    /** A new full list: some hosts drain, some are missing, some have just started. */
    private void relist(Bed bed, Random random) {
        List<Api.Server> list = new ArrayList<>();
        listed.clear();
        for (long id = 1; id <= 10; id++) {
            int luck = random.nextInt(10);
            if (luck == 0) {
                list.add(Bed.server(id, Api.State.DRAINING, 0));
            } else if (luck > 1) {
                boolean starts = luck == 2;
                list.add(Bed.server(id, Api.State.READY, starts ? bed.now : 0));
                listed.add(id);
                if (starts) {
                    cold.add(id);
                } else {
                    cold.remove(id);
                }
            }
        }
        if (bed.settings.aside()) {
            list.add(Bed.origin(99));
            listed.add(99L);
        }
        bed.list(list);
    }

    /** Ends what is due, and some more if there is a source of chance. */
    private void endSome(Bed bed, Random random) {
        for (long id : new ArrayList<>(ledger.keySet())) {
            Entry entry = ledger.get(id);
            if (bed.now >= entry.deadline) {
                while (!entry.open.isEmpty()) {
                    end(bed, id, entry.open.get(0), Reason.TIMEOUT);
                }
            } else if (random != null && !entry.open.isEmpty() && random.nextInt(12) == 0) {
                int attempt = entry.open.get(random.nextInt(entry.open.size()));
                end(bed, id, attempt, entry.done ? Reason.CANCELLED : ENDS[random.nextInt(ENDS.length)]);
            } else if (random != null && !entry.done && random.nextInt(400) == 0) {
                entry.done = true;
                leaveLine(id, entry);
                bed.router.onClientGone(bed.now, id);
                check(bed);
            }
            if (entry.done && entry.open.isEmpty()) {
                ledger.remove(id);
            }
        }
    }

    private void drain(Bed bed) {
        for (int i = 0; i < 400; i++) {
            bed.pass(10);
            check(bed);
            endSome(bed, null);
        }
    }

    private void end(Bed bed, long id, int attempt, Reason reason) {
        Entry entry = ledger.get(id);
        entry.open.remove((Integer) attempt);
        entry.misses += reason == Reason.MISS ? 1 : 0;
        if (reason.mayRunOn() && entry.requestClass == Bed.KEYED) {
            rests.put(entry.key, bed.now + bed.settings.keyQuiet());
        }
        boolean closes = !entry.done && reason == Reason.OK;
        entry.done |= closes;
        entry.ran |= !reason.neverRan;
        leaveLine(id, entry);
        if (entry.open.isEmpty() && !entry.ran) {
            entry.firstMayHaveRun = -1;
        }
        bed.router.onOutcome(bed.now, new Api.Outcome(id, attempt, reason, 0, entry.done, new float[0]));
        check(bed);
    }

    private void leaveLine(long id, Entry entry) {
        if (entry.requestClass == Bed.KEYED && entry.done && entry.open.isEmpty()) {
            lines.get(entry.key).remove(id);
        }
    }

    /** The fifth and the sixth rule. */
    private void checkFurtherRules(Bed bed, Bed.Sent sent, Entry entry) {
        if (bed.settings.classes().get(entry.requestClass).inOrder()) {
            assertEquals(sent.request(), lines.get(entry.key).get(0), "out of turn: " + sent);
            boolean rested = sent.at() >= rests.getOrDefault(entry.key, 0L);
            assertTrue(rested || sent.attempt() > 0, "the key rests: " + sent);
        }
        Api.Budget budget = bed.settings.budget();
        if (entry.sent++ == 0 || budget == null) {
            return;
        }
        if (entry.misses > 0) {
            entry.misses--;
        } else {
            further.add(sent.at());
            long from = sent.at() - budget.span();
            double allowed = budget.free() + budget.share() * taken.stream().filter(t -> t > from).count();
            long made = further.stream().filter(t -> t >= from).count();
            assertTrue(made <= allowed, "beyond the budget: " + sent + ", " + made + " of " + allowed);
        }
    }

    /** Judges all actions since the last call. */
    private void check(Bed bed) {
        for (; refusalsSeen < bed.refusals.size(); refusalsSeen++) {
            Entry entry = ledger.get(bed.refusals.get(refusalsSeen).request());
            assertTrue(entry.requestClass != Bed.UNSAFE || entry.firstMayHaveRun < 0, "an unsafe refusal");
            finish(bed, entry);
            leaveLine(bed.refusals.get(refusalsSeen).request(), entry);
        }
        for (; failuresSeen < bed.failures.size(); failuresSeen++) {
            finish(bed, ledger.get(bed.failures.get(failuresSeen)));
            leaveLine(bed.failures.get(failuresSeen), ledger.get(bed.failures.get(failuresSeen)));
        }
        for (; sendsSeen < bed.sends.size(); sendsSeen++) {
            Bed.Sent sent = bed.sends.get(sendsSeen);
            Entry entry = ledger.get(sent.request());
            assertTrue(entry != null && !entry.done, "sent after the end: " + sent);
            assertTrue(listed.contains(sent.server()), "sent to a host that drains or is gone: " + sent);
            assertTrue(bed.settings.mayDuplicate() || entry.open.isEmpty(), "two at once: " + sent);
            assertTrue(sent.cutAt() <= entry.deadline, "runs past the deadline: " + sent);
            assertTrue(sent.attempt() < bed.settings.maxAttempts(), "too many attempts: " + sent);
            if (entry.firstMayHaveRun >= 0 && entry.requestClass != Bed.READ) {
                assertFalse(entry.requestClass == Bed.UNSAFE, "an unsafe repeat: " + sent);
                assertTrue(bed.now - entry.firstMayHaveRun <= 500 * Bed.MS, "past the window: " + sent);
            }
            entry.firstMayHaveRun = entry.firstMayHaveRun < 0 ? bed.now : entry.firstMayHaveRun;
            checkFurtherRules(bed, sent, entry);
            entry.open.add(sent.attempt());
            allSends++;
            coldSends += cold.contains(sent.server()) ? 1 : 0;
        }
    }

    private static void finish(Bed bed, Entry entry) {
        assertFalse(entry.done, "two final answers");
        assertTrue(bed.now <= entry.deadline + 20 * Bed.MS, "answered too late");
        entry.done = true;
    }

    /** Equal events and seed give equal actions. */
    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void equalEventsGiveEqualActions(long seed) {
        assertEquals(run(seed).toString(), run(seed).toString());
    }

    private static List<Bed.Sent> run(long seed) {
        Bed bed = new Bed(new Bed.SettingsBuilder(), seed).servers(12);
        Random random = new Random(seed);
        for (int id = 0; id < 2000; id++) {
            bed.request(id, random.nextInt(3), random.nextInt(100));
            bed.pass(random.nextInt(5));
            bed.outcome(random.nextInt(id + 1), random.nextInt(2), ENDS[random.nextInt(ENDS.length)]);
        }
        return bed.sends;
    }
}
