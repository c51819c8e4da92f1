import eiderscale.store.StateStore;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;

/**
 * What the store of a sidecar costs: opening it, a durable entry alone and with others beside it, and how large its file is; beside
 * a bare file that is appended to and forced. Build first, then: java -cp target/eiderscale.jar bench/StateCost.java [FOLDER]
 */
public final class StateCost {
    private static final int ENTRIES = 2_000;

    private StateCost() {
    }

    public static void main(String[] args) throws Exception {
        Path folder = args.length > 0 ? Files.createDirectories(Path.of(args[0])) : Files.createTempDirectory("state-cost");
        byte[] known = new byte[200_000];
        byte[] entry = new byte[120];
        long begun = System.nanoTime();
        StateStore store = StateStore.open(folder, System.err::println).store();
        System.out.printf("opened, classes loaded: %.1f ms%n", (System.nanoTime() - begun) / 1e6);
        times("durable entry, one at a time", one -> enter(store, one, entry, 1));
        times("durable entries, 16 at a time", one -> enter(store, one, entry, 16));
        for (int i = 0; i < ENTRIES; i++) {
            store.put("known", known);
            CountDownLatch done = new CountDownLatch(1);
            store.flush(done::countDown);
            done.await();
        }
        store.close();
        System.out.printf("file after %d entries and %d records of 200 KB: %.1f MB%n", 17 * ENTRIES, ENTRIES, Files.size(folder.resolve(StateStore.FILE)) / 1e6);
        begun = System.nanoTime();
        StateStore.open(folder, System.err::println).store().close();
        System.out.printf("opened and closed again: %.1f ms%n", (System.nanoTime() - begun) / 1e6);
        try (FileChannel bare = FileChannel.open(folder.resolve("bare"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            times("bare file, append and force", one -> {
                bare.write(ByteBuffer.wrap(entry));
                bare.force(false);
            });
        }
    }

    private interface Step {
        void take(int number) throws Exception;
    }

    private static void enter(StateStore store, int number, byte[] entry, int together) throws Exception {
        CountDownLatch done = new CountDownLatch(together);
        for (int i = 0; i < together; i++) {
            String id = number + "." + i;
            store.enter(id, entry, done::countDown, done::countDown);
            if (number > 10) {
                store.leave(number - 10 + "." + i);
            }
        }
        done.await();
    }

    private static void times(String what, Step step) throws Exception {
        long[] took = new long[ENTRIES];
        for (int i = 0; i < ENTRIES; i++) {
            long begun = System.nanoTime();
            step.take(i);
            took[i] = System.nanoTime() - begun;
        }
        Arrays.sort(took);
        System.out.printf("%s: p50 %.2f ms, p99 %.2f ms%n", what, took[ENTRIES / 2] / 1e6, took[ENTRIES * 99 / 100] / 1e6);
    }
}
