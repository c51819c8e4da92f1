package eiderscale.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StateStoreTest {
    private static final int LIMIT_S = 30;

    @TempDir
    Path folder;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void flush(StateStore store) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        store.flush(done::countDown);
        assertTrue(done.await(LIMIT_S, TimeUnit.SECONDS));
    }

    @Test
    void whatWasPutIsThereAgain() throws Exception {
        try (StateStore store = StateStore.open(folder, line -> { }).store()) {
            assertNull(store.get("a"));
            store.put("a", bytes("old"));
            store.put("a", bytes("new"));
            store.enter("1", bytes("one"), () -> { }, () -> { });
            store.enter("2", bytes("two"), () -> { }, () -> { });
            store.leave("1");
        }
        try (StateStore store = StateStore.open(folder, line -> { }).store()) {
            assertArrayEquals(bytes("new"), store.get("a"));
            assertEquals(Set.of("2"), store.entries().keySet());
            assertEquals(StateStore.Refusal.IN_USE, StateStore.open(folder, line -> { }).refusal());
            assertArrayEquals(bytes("new"), StateStore.read(folder.resolve(StateStore.FILE)).values().get("a"), "beside its process");
        }
    }

    @Test
    void noiseIsMovedAsideAndANewerFormIsLeftAlone() throws Exception {
        Files.write(folder.resolve(StateStore.FILE), new byte[10_000]);
        StateStore.Opened opened = StateStore.open(folder, line -> { });
        assertNotNull(opened.broken());
        opened.store().close();
        try (StateStore store = StateStore.open(folder, line -> { }).store()) {
            flush(store);
            store.put("form", new byte[] {StateStore.FORM + 1});
        }
        byte[] before = Files.readAllBytes(folder.resolve(StateStore.FILE));
        assertEquals(StateStore.Refusal.NEWER, StateStore.open(folder, line -> { }).refusal());
        assertArrayEquals(before, Files.readAllBytes(folder.resolve(StateStore.FILE)));
    }

    /** Whatever becomes of the bytes of a file, a process starts, and what it finds was put there. */
    @Test
    void aFileThatIsCutOrChangedAnywhereKeepsNobodyFromStarting() throws Exception {
        Set<String> put = new HashSet<>();
        try (StateStore store = StateStore.open(folder, line -> { }).store()) {
            for (int i = 0; i < 20; i++) {
                put.add("value " + i);
                store.put("a", bytes("value " + i));
                flush(store);
            }
        }
        byte[] whole = Files.readAllBytes(folder.resolve(StateStore.FILE));
        SplittableRandom luck = new SplittableRandom(7);
        int found = 0;
        for (int i = 0; i < 300; i++) {
            byte[] spoilt = i % 2 == 0 ? java.util.Arrays.copyOf(whole, luck.nextInt(whole.length)) : whole.clone();
            for (int j = 0; j < i % 4 && spoilt.length > 0; j++) {
                spoilt[luck.nextInt(spoilt.length)] ^= (byte) (1 << luck.nextInt(8));
            }
            Path own = Files.createDirectory(folder.resolve("case" + i));
            Files.write(own.resolve(StateStore.FILE), spoilt);
            try (StateStore store = StateStore.open(own, line -> { }).store()) {
                byte[] value = store.get("a");
                assertTrue(value == null || put.contains(new String(value, StandardCharsets.UTF_8)), "case " + i + (value == null ? "" : java.util.Arrays.toString(value)));
                found += value == null ? 0 : 1;
            }
        }
        System.out.println("found in " + found + " of 300");
        assertTrue(found > 30, "found " + found);
    }

    /** The machine dies after any write: what was told to be on disk is there, and nothing is that was never put. */
    @Test
    void whatWasAcknowledgedOutlivesAnyCrash() throws Exception {
        int kept = 0;
        for (int seed = 0; seed < Integer.getInteger("store.seeds", 400); seed++) {
            SplittableRandom luck = new SplittableRandom(seed);
            String name = "crash" + seed;
            FaultyDisk.Disk disk = FaultyDisk.disk(name);
            Map<String, String> sure = new ConcurrentHashMap<>();
            Set<String> left = ConcurrentHashMap.newKeySet();
            Set<String> all = new HashSet<>();
            StateStore store = StateStore.on("faulty:" + name, line -> { });
            flush(store);
            disk.diesAfter(1 + luck.nextInt(60));
            for (int i = 0; i < 40 && !disk.isDead(); i++) {
                String id = "w" + i;
                all.add(id);
                CountDownLatch over = new CountDownLatch(1);
                store.enter(id, bytes("entry " + id), () -> {
                    sure.put(id, "entry " + id);
                    over.countDown();
                }, over::countDown);
                if (luck.nextInt(3) == 0 && i > 2) {
                    String gone = "w" + luck.nextInt(i - 1);
                    left.add(gone);
                    store.leave(gone);
                }
                if (luck.nextInt(4) > 0) {
                    assertTrue(over.await(LIMIT_S, TimeUnit.SECONDS));
                }
            }
            store.close();
            disk.crash(luck);
            int its = seed;
            StateStore again = StateStore.on("faulty:" + name, line -> { });
            Map<String, byte[]> found = again.entries();
            again.close();
            FaultyDisk.forget(name);
            sure.forEach((id, entry) -> {
                if (!left.contains(id)) {
                    assertArrayEquals(bytes(entry), found.get(id), "seed " + its + ": " + id);
                }
            });
            assertTrue(all.containsAll(found.keySet()));
            kept += found.size();
        }
        assertTrue(kept > 400, "kept " + kept);
    }

    @Test
    void aDiskThatRefusesIsSaidSoAtOnceAndTriedAgain() throws Exception {
        FaultyDisk.Disk disk = FaultyDisk.disk("refuses");
        Map<String, Integer> log = new HashMap<>();
        try (StateStore store = StateStore.on("faulty:refuses", line -> log.merge(line, 1, Integer::sum))) {
            flush(store);
            disk.full(true);
            CountDownLatch refused = new CountDownLatch(1);
            store.put("a", bytes("waits"));
            store.enter("1", bytes("one"), () -> { }, refused::countDown);
            assertTrue(refused.await(LIMIT_S, TimeUnit.SECONDS));
            assertTrue(store.isFailing());
            AtomicInteger atOnce = new AtomicInteger();
            store.enter("2", bytes("two"), () -> { }, atOnce::incrementAndGet);
            assertEquals(1, atOnce.get(), "while it is known to fail nobody waits");
            disk.full(false);
            disk.unforceable(true);
            flush(store);
            assertTrue(store.isFailing(), "what cannot be forced is not kept");
            disk.unforceable(false);
            flush(store);
            flush(store);
            assertTrue(!store.isFailing());
            CountDownLatch done = new CountDownLatch(1);
            store.enter("3", bytes("three"), done::countDown, () -> { });
            assertTrue(done.await(LIMIT_S, TimeUnit.SECONDS));
        }
        try (StateStore store = StateStore.on("faulty:refuses", line -> { })) {
            assertArrayEquals(bytes("waits"), store.get("a"));
            assertEquals(Set.of("3"), store.entries().keySet());
        }
        assertEquals(1, log.keySet().stream().filter(line -> line.contains("cannot be written")).count());
        FaultyDisk.forget("refuses");
    }
}
