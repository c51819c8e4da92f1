package eiderscale.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.Copy;
import eiderscale.http.cache.Fields;
import eiderscale.http.cache.StoredResponses;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class StoreTest {
    private static final int MB = 1024 * 1024;
    private final List<String> faults = new ArrayList<>();

    private static CacheKey key(int i) {
        return CacheKey.of("http", "example.org", "/statement/" + i);
    }

    private static Copy copy(int bytes) {
        return StoredResponses.copy(Fields.of("cache-control", "max-age=60", "etag", "\"1\""), new byte[bytes]);
    }

    @Test
    void whatWasPutIsThereAndWhatWasTakenOutIsNot() {
        Store store = new Store(16 * MB, MB, faults::add);
        assertTrue(store.get(key(1)).isEmpty());
        Copy copy = copy(100);
        store.put(key(1), copy);
        assertEquals(copy, store.get(key(1)).copy(copy.stored()));
        store.remove(key(1));
        assertTrue(store.get(key(1)).isEmpty());
        store.put(key(2), copy);
        store.clear();
        assertTrue(store.get(key(2)).isEmpty());
        assertEquals(List.of(), faults);
    }

    /** Whatever comes in whatever sizes: its own estimate never exceeds the bound. */
    @Test
    void itNeverHoldsMoreThanItMay() {
        Store store = new Store(4 * MB, 64 * 1024, faults::add);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 5_000; i++) {
            store.put(key(random.nextInt(2_000)), copy(random.nextInt(30_000)));
            if (i % 100 == 0) {
                assertTrue(store.bytes() <= store.mostBytes(), "bytes: " + store.bytes());
            }
        }
        assertTrue(store.evicted() > 0 && store.keys() > 50);
    }

    /** The estimate against what the heap really gives: it may not promise more room than there is. */
    @Test
    void theEstimateIsNoLessThanTheHeapTakes() {
        Store store = new Store(64 * MB, MB, faults::add);
        long before = used();
        for (int i = 0; i < 20_000; i++) {
            store.put(key(i), copy(200));
        }
        long taken = used() - before;
        assertEquals(20_000, store.keys());
        assertTrue(store.bytes() >= taken, "estimate " + store.bytes() + ", taken " + taken);
    }

    private static long used() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            System.gc();
            least = Math.min(least, Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return least;
    }

    @Test
    void whatIsTooLargeIsNotKept() {
        Store store = new Store(16 * MB, 10_000, faults::add);
        assertFalse(store.takes(10_001));
        store.put(key(1), copy(10_000));
        assertTrue(store.get(key(1)).isEmpty(), "with its fields it is over");
        store.put(key(1), copy(5_000));
        assertFalse(store.get(key(1)).isEmpty());
        assertFalse(new Store(16 * MB, 16 * MB, faults::add).takes(2 * MB), "no more than a part of the whole");
    }

    /** A crowd of keys that are asked for once does not push out what is asked for all the time. */
    @Test
    void aScanDoesNotPushOutWhatIsInUse() {
        Store store = new Store(MB, 64 * 1024, faults::add);
        for (int round = 0; round < 20; round++) {
            for (int i = 0; i < 50; i++) {
                if (store.get(key(i)).isEmpty()) {
                    store.put(key(i), copy(1_000));
                }
            }
        }
        for (int i = 1_000; i < 20_000; i++) {
            store.get(key(i));
            store.put(key(i), copy(1_000));
            store.get(key(i % 50));
        }
        int left = 0;
        for (int i = 0; i < 50; i++) {
            left += store.get(key(i)).isEmpty() ? 0 : 1;
        }
        assertTrue(left >= 45, "left of 50: " + left);
    }
}
