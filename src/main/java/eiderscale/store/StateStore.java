package eiderscale.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.StringDataType;

/**
 * Named values on disk, and a journal of work that is on its way. One thread writes; whoever asks never waits for a disk. Each
 * value carries its own checksum, each commit is synced before it is told, and what is not whole after a crash is passed over.
 *
 * <p>A disk that hangs holds up its thread alone: of a named value the newest waits, of the journal so many entries, and more are
 * told no at once. One that fails is tried again in a while. A file that cannot be read is moved aside, never deleted.
 */
public final class StateStore implements AutoCloseable {
    /** The file in its folder. */
    public static final String FILE = "state.mv";
    /** The newest form that this program reads. */
    public static final int FORM = 1;
    /** Entries of the journal that may wait for the disk. */
    static final int MOST_WAITING = 1024;
    /** A value may hold so much. */
    static final int MOST_VALUE = 8 * 1024 * 1024;
    private static final long AGAIN_MS = 2_000;
    /** After so many commits the file is rewritten for so long at the most, as every commit leaves its predecessor as waste. */
    private static final int COMPACT_EVERY = 1000;
    private static final int COMPACT_MS = 50;
    private static final int COMPACT_MOST_MS = 30_000;

    /** Why there is none. */
    public enum Refusal {
        /** Another process has it. */
        IN_USE,
        /** A newer program has written it; it is left as it is. */
        NEWER,
        /** The folder cannot be written. */
        NO_FOLDER
    }

    /** What opening one has come to: a store, or why not. {@code broken}: where one that could not be read has been moved; null. */
    public record Opened(StateStore store, Refusal refusal, Path broken) {
    }

    private sealed interface Step {
    }

    private record Put(String name) implements Step {
    }

    private record Enter(String id, byte[] entry, Runnable done, Runnable refused) implements Step {
    }

    private record Leave(String id) implements Step {
    }

    private record Flush(Runnable done) implements Step {
    }

    private final String file;
    private final Consumer<String> log;
    private final Thread writer;
    private final Object lock = new Object();
    // Under the lock.
    private final Queue<Step> steps = new ArrayDeque<>();
    private final Map<String, byte[]> fresh = new HashMap<>();
    private int entering;
    private long dropped;
    private boolean closing;
    // The writer's, once it runs.
    private MVStore store;
    private MVMap<String, byte[]> values;
    private MVMap<String, byte[]> journal;
    private volatile long writes;
    private volatile boolean failing;

    private StateStore(String file, MVStore store, Consumer<String> log) {
        this.file = file;
        this.log = log;
        take(store);
        writer = new Thread(this::write, "state");
        writer.setDaemon(true);
    }

    private void take(MVStore opened) {
        store = opened;
        values = map(opened, "values");
        journal = map(opened, "journal");
    }

    private static MVMap<String, byte[]> map(MVStore store, String name) {
        // Types of its own would let a file name classes of this program.
        return store.openMap(name, new MVMap.Builder<String, byte[]>().keyType(StringDataType.INSTANCE)
                .valueType(ByteArrayDataType.INSTANCE));
    }

    /** Opens the one of a folder, or begins one. Blocks; to be called before there is anything to serve. */
    public static Opened open(Path folder, Consumer<String> log) {
        Path path = folder.resolve(FILE);
        try {
            return new Opened(started(path.toString(), openFile(path.toString(), false), log), null, null);
        } catch (MVStoreException e) {
            if (e.getErrorCode() == DataUtils.ERROR_FILE_LOCKED) {
                return new Opened(null, Refusal.IN_USE, null);
            }
            if (e.getErrorCode() == DataUtils.ERROR_UNSUPPORTED_FORMAT) {
                return new Opened(null, Refusal.NEWER, null);
            }
        } catch (RuntimeException | AssertionError | OutOfMemoryError | StackOverflowError e) {
            // A file of noise can break the reader anywhere, or name any length.
            log.accept("state: " + e);
        }
        if (!Files.isRegularFile(path) || !Files.isWritable(folder)) {
            return new Opened(null, Refusal.NO_FOLDER, null);
        }
        try {
            Path broken = folder.resolve(FILE + ".broken");
            Files.move(path, broken, StandardCopyOption.REPLACE_EXISTING);
            return new Opened(started(path.toString(), openFile(path.toString(), false), log), null, broken);
        } catch (IOException | RuntimeException e) {
            return new Opened(null, Refusal.NO_FOLDER, null);
        }
    }

    /** One on any file system that MVStore knows by the name's scheme; for tests of failures. */
    static StateStore on(String file, Consumer<String> log) {
        return started(file, openFile(file, false), log);
    }

    private static StateStore started(String file, MVStore store, Consumer<String> log) {
        try {
            // All of it once: what breaks the reader must do so now, while it can be moved aside.
            all(map(store, "values"), new int[1]);
            all(map(store, "journal"), new int[1]);
        } catch (RuntimeException | AssertionError | OutOfMemoryError | StackOverflowError e) {
            store.closeImmediately();
            throw e;
        }
        byte[] form = Sealed.open(map(store, "values").get("form"));
        if (form != null && (form.length != 1 || form[0] > FORM)) {
            store.closeImmediately();
            throw DataUtils.newMVStoreException(DataUtils.ERROR_UNSUPPORTED_FORMAT, "a newer form");
        }
        StateStore made = new StateStore(file, store, log);
        made.put("form", new byte[] {FORM});
        made.writer.start();
        return made;
    }

    private static MVStore openFile(String file, boolean readOnly) {
        MVStore.Builder builder = new MVStore.Builder().fileName(file).autoCommitDisabled().cacheSize(1).autoCompactFillRate(0);
        return (readOnly ? builder.readOnly() : builder).open();
    }

    /** What stands in a store, as it is read; nothing of it is changed. */
    public record Contents(Map<String, byte[]> values, Map<String, byte[]> journal, int unreadable) {
    }

    /**
     * Reads a file, which a running process may have: of a copy, up to the last commit that is whole. Throws {@link IOException}
     * where it cannot be read at all, saying why.
     */
    public static Contents read(Path file) throws IOException {
        Path copy = Files.createTempFile("stairshelf-state", ".mv");
        try {
            Files.copy(file, copy, StandardCopyOption.REPLACE_EXISTING);
            MVStore opened = openFile(copy.toString(), true);
            try {
                int[] unreadable = {0};
                return new Contents(all(map(opened, "values"), unreadable), all(map(opened, "journal"), unreadable), unreadable[0]);
            } finally {
                opened.closeImmediately();
            }
        } catch (RuntimeException | AssertionError | OutOfMemoryError | StackOverflowError e) {
            throw new IOException("it cannot be read: " + e.getMessage());
        } finally {
            Files.deleteIfExists(copy);
        }
    }

    private static Map<String, byte[]> all(MVMap<String, byte[]> map, int[] unreadable) {
        Map<String, byte[]> all = new LinkedHashMap<>();
        for (String name : map.keySet()) {
            byte[] value = Sealed.open(map.get(name));
            if (value == null) {
                unreadable[0]++;
            } else {
                all.put(name, value);
            }
        }
        return all;
    }

    /** What the file system calls the file: a copy, or one that was restored, is called otherwise. Empty where it does not tell. */
    public static String place(Path folder) {
        try {
            Object key = Files.readAttributes(folder.resolve(FILE), BasicFileAttributes.class).fileKey();
            return key == null ? "" : key.toString();
        } catch (IOException e) {
            return "";
        }
    }

    /** When the file was written last by the file system's word, Unix time in nanoseconds; 0 where that is not told. */
    public static long touched(Path folder) {
        try {
            return Files.getLastModifiedTime(folder.resolve(FILE)).to(java.util.concurrent.TimeUnit.NANOSECONDS);
        } catch (IOException e) {
            return 0;
        }
    }

    /** A value as it was when the store was opened; null for none that is whole. To be called before anything is put. */
    public byte[] get(String name) {
        return Sealed.open(values.get(name));
    }

    /** The journal as it was when the store was opened; to be called before anything is entered. */
    public Map<String, byte[]> entries() {
        return all(journal, new int[1]);
    }

    /** Keeps a value by and by; of several that wait the last one. A value that is too long is dropped and counted. */
    public void put(String name, byte[] value) {
        put(Map.of(name, value));
    }

    /** The same for several, of which all are kept or none. */
    public void put(Map<String, byte[]> all) {
        synchronized (lock) {
            if (all.values().stream().anyMatch(value -> value.length > MOST_VALUE)) {
                dropped++;
                return;
            }
            all.forEach((name, value) -> {
                if (fresh.put(name, value) == null) {
                    steps.add(new Put(name));
                }
            });
            lock.notifyAll();
        }
    }

    /**
     * Enters work before it goes out. {@code done}: called by the writer once it is on disk; {@code refused}: where it is not, and
     * will not be, at once if too many wait.
     */
    public void enter(String id, byte[] entry, Runnable done, Runnable refused) {
        synchronized (lock) {
            if (!closing && !failing && entering < MOST_WAITING && entry.length <= MOST_VALUE) {
                entering++;
                steps.add(new Enter(id, entry, done, refused));
                lock.notifyAll();
                return;
            }
            dropped++;
        }
        refused.run();
    }

    /** Work has its answer: its entry goes by and by. */
    public void leave(String id) {
        synchronized (lock) {
            steps.add(new Leave(id));
            // Not worth a commit of its own: it goes with the next one.
            if (steps.size() > MOST_WAITING) {
                lock.notifyAll();
            }
        }
    }

    /** Calls {@code done} once all before it is on disk, or will not be. */
    public void flush(Runnable done) {
        synchronized (lock) {
            steps.add(new Flush(done));
            lock.notifyAll();
        }
    }

    /** Rewrites the file without waste, once all that waits is on disk; for tools, as it blocks. */
    public void compact() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        synchronized (lock) {
            steps.add(new Flush(() -> {
                if (store != null) {
                    store.setRetentionTime(0);
                    store.compactFile(COMPACT_MOST_MS);
                }
                done.countDown();
            }));
            lock.notifyAll();
        }
        done.await();
    }

    /** Values and entries that were not taken. */
    public long dropped() {
        synchronized (lock) {
            return dropped;
        }
    }

    /** Commits that are on disk. */
    public long writes() {
        return writes;
    }

    /** Whether the disk has refused the last of them. */
    public boolean isFailing() {
        return failing;
    }

    private boolean hasReason() {
        return closing || steps.size() > MOST_WAITING || steps.stream().anyMatch(step -> !(step instanceof Leave));
    }

    private void write() {
        boolean last = false;
        while (!last) {
            List<Step> batch;
            Map<String, byte[]> changed;
            synchronized (lock) {
                while (!hasReason()) {
                    try {
                        lock.wait();
                    } catch (InterruptedException e) {
                        return;
                    }
                }
                batch = new ArrayList<>(steps);
                steps.clear();
                changed = new HashMap<>(fresh);
                fresh.clear();
                entering = 0;
                last = closing;
            }
            boolean good = commit(batch, changed);
            for (Step step : batch) {
                if (step instanceof Enter enter) {
                    (good ? enter.done : enter.refused).run();
                } else if (step instanceof Flush flush) {
                    flush.done.run();
                }
            }
            if (!good) {
                again(batch, changed);
                waitAwhile();
            }
        }
        if (store != null) {
            try {
                store.close();
            } catch (RuntimeException e) {
                store.closeImmediately();
            }
        }
    }

    private boolean commit(List<Step> batch, Map<String, byte[]> changed) {
        try {
            if (store == null || store.isClosed()) {
                take(openFile(file, false));
            }
            for (Step step : batch) {
                if (step instanceof Put put) {
                    values.put(put.name, Sealed.seal(changed.get(put.name)));
                } else if (step instanceof Enter enter) {
                    journal.put(enter.id, Sealed.seal(enter.entry));
                } else if (step instanceof Leave leave) {
                    journal.remove(leave.id);
                }
            }
            store.commit();
            store.sync();
            if (++writes % COMPACT_EVERY == 0) {
                store.compactFile(COMPACT_MS);
            }
            if (failing) {
                failing = false;
                log.accept("state: written again");
            }
            return true;
        } catch (RuntimeException e) {
            if (!failing) {
                failing = true;
                log.accept("state: cannot be written, tried again every " + AGAIN_MS / 1000 + " s: " + e.getMessage());
            }
            if (store != null) {
                store.closeImmediately();
                store = null;
            }
            return false;
        }
    }

    /** What nobody waits for is tried again; newer values go before those that were refused. */
    private void again(List<Step> batch, Map<String, byte[]> changed) {
        synchronized (lock) {
            for (Step step : batch) {
                if (step instanceof Put put && fresh.putIfAbsent(put.name, changed.get(put.name)) == null
                        || step instanceof Leave && steps.size() < 2 * MOST_WAITING) {
                    steps.add(step);
                }
            }
        }
    }

    private void waitAwhile() {
        synchronized (lock) {
            long end = System.nanoTime() + AGAIN_MS * 1_000_000;
            for (long left = AGAIN_MS; left > 0 && !closing; left = (end - System.nanoTime()) / 1_000_000) {
                try {
                    lock.wait(left);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    /** Writes what waits, and ends; waits for a disk that hangs no longer than {@code mostMs}. */
    public void close(long mostMs) {
        synchronized (lock) {
            closing = true;
            lock.notifyAll();
        }
        try {
            writer.join(mostMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        close(AGAIN_MS);
    }
}
