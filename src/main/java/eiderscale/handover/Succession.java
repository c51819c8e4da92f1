package eiderscale.handover;

import eiderscale.net.Counters;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * One process's place among those that serve as one balancer. The one that serves holds the lock {@code NAME.first}; one
 * that starts while that is held is its successor and holds {@code NAME.next} until the first has ended. {@code NAME.next} comes
 * first for everybody: who starts while it is held waits, so that a chain of any length has one order, and each process is told by
 * the one right before it. Locks end with their process, however it ends, so that nothing that a killed one leaves behind is believed.
 *
 * <p>A successor writes a number into {@code NAME.ask}; the first, which looks for it a few times a second, answers with
 * {@code NAME.told}, the number and a record, and from then on knows that it is followed. {@code NAME.calls} holds what
 * both must know at once; whoever changes it replaces it whole. Every file is written beside its name and then moved, so
 * that none is seen half.
 */
public final class Succession implements AutoCloseable {
    /** Files hold at most so much; a longer one is nobody's of ours. */
    private static final int MOST = 8 * 1024 * 1024;
    private static final long LOOK_MS = 10;
    /** A folder that allows no locks is tried for so long. */
    private static final long MOST_FAILING_MS = 1_000;

    /** Null where processes share nothing. */
    private final Path folder;
    private final String name;
    private FileChannel first;
    private FileChannel next;
    private boolean asked;
    private byte[] calls = {};

    private Succession(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /**
     * Takes the place of the one that serves, or behind it. {@code folder}: null where processes share nothing. Blocks while
     * another process is about to follow. In a folder that allows no locks there is no place: see {@link #hasPlace}.
     */
    public static Succession enter(Path folder, String balancer) throws InterruptedException {
        String name = balancer.replaceAll("[^A-Za-z0-9_-]", "_");
        Succession own = new Succession(folder, name);
        long end = System.nanoTime() + MOST_FAILING_MS * 1_000_000;
        while (folder != null) {
            try {
                own.takePlace();
                return own;
            } catch (IOException e) {
                if (System.nanoTime() > end) {
                    Counters.log("hand-over: no place among the processes of this balancer, which it can't share its address with: " + e);
                    break;
                }
                Thread.sleep(LOOK_MS);
            }
        }
        return new Succession(null, name);
    }

    private void takePlace() throws IOException, InterruptedException {
        next = lock("next");
        if (next == null) {
            Counters.log("hand-over: waits, as another process is about to follow the one that serves");
        }
        while (next == null) {
            Thread.sleep(LOOK_MS);
            next = lock("next");
        }
        stepUp();
    }

    /** Takes the place of the one that serves, if that is free. */
    private void stepUp() throws IOException {
        first = lock("first");
        if (first != null) {
            release(next);
            next = null;
        }
    }

    /** Whether other processes can tell that it is there. */
    public boolean hasPlace() {
        return folder != null;
    }

    /** A folder that the processes of this balancer share; null where they share nothing. */
    Path folder(String what) {
        return folder == null ? null : file(what);
    }

    private Path file(String what) {
        return folder.resolve("stairshelf-" + name + "." + what);
    }

    /** Null if it is held by another. */
    private FileChannel lock(String what) throws IOException {
        FileChannel channel = FileChannel.open(file(what), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // Held by another object of this process.
        } finally {
            if (lock == null) {
                release(channel);
            }
        }
        return lock == null ? null : channel;
    }

    private static void release(FileChannel channel) {
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                // The lock ends with the process at the latest.
            }
        }
    }

    /** Whether another process serves as this balancer already. */
    public boolean follows() {
        return next != null;
    }

    /** Whether the process before this one still runs; where it does not its place is taken. */
    public boolean isLed() {
        if (next == null) {
            return false;
        }
        try {
            stepUp();
        } catch (IOException e) {
            // Not known: it may run.
        }
        return next != null;
    }

    /**
     * What the first process knows; null if it does not say within {@code mostMs}. Blocks: to be called before there is
     * anything to serve.
     */
    public byte[] ask(long nonce, long mostMs) throws InterruptedException {
        byte[] number = (Long.toHexString(nonce) + "\n").getBytes(StandardCharsets.US_ASCII);
        if (!follows() || !write("ask", number)) {
            return null;
        }
        long end = System.nanoTime() + mostMs * 1_000_000;
        while (System.nanoTime() < end) {
            byte[] told = read("told");
            if (told != null && told.length >= number.length
                    && Arrays.equals(told, 0, number.length, number, 0, number.length)) {
                delete("told");
                return Arrays.copyOfRange(told, number.length, told.length);
            }
            Thread.sleep(LOOK_MS);
        }
        delete("ask");
        return null;
    }

    /** Answers a successor that asks, and steps into the place of a first process that has ended. */
    public void look(Supplier<byte[]> record) {
        if (next != null) {
            isLed();
        } else if (first != null && Files.exists(file("ask"))) {
            byte[] number = read("ask");
            delete("ask");
            if (number != null) {
                byte[] known = record.get();
                byte[] told = Arrays.copyOf(number, number.length + known.length);
                System.arraycopy(known, 0, told, number.length, known.length);
                asked = true;
                write("told", told);
            }
        }
    }

    /** Whether a successor has asked and still runs. */
    public boolean isFollowed() {
        if (!asked || next != null) {
            return false;
        }
        try {
            FileChannel free = lock("next");
            release(free);
            return free == null;
        } catch (IOException e) {
            // Not known: it may run.
            return true;
        }
    }

    /** Gives up the place of the one that serves: nothing that is open here binds those that come. */
    public void leave() {
        release(first);
        first = null;
    }

    /** Tells the other process; false if it cannot be told. */
    public boolean share(byte[] fresh) {
        calls = fresh;
        return folder != null && write("calls", fresh);
    }

    /** What the other process has told since the last look; null for nothing new. */
    public byte[] shared() {
        byte[] now = folder == null || !Files.exists(file("calls")) ? null : read("calls");
        if (now == null || Arrays.equals(now, calls)) {
            return null;
        }
        calls = now;
        return now;
    }

    private byte[] read(String what) {
        try {
            Path file = file(what);
            return Files.size(file) > MOST ? null : Files.readAllBytes(file);
        } catch (IOException e) {
            return null;
        }
    }

    private boolean write(String what, byte[] bytes) {
        try {
            Path part = file(what + "." + ProcessHandle.current().pid());
            Files.write(part, bytes);
            Files.move(part, file(what), StandardCopyOption.ATOMIC_MOVE);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void delete(String what) {
        try {
            Files.deleteIfExists(file(what));
        } catch (IOException e) {
            // Whoever reads it compares the number in it.
        }
    }

    @Override
    public void close() {
        release(first);
        release(next);
    }
}
