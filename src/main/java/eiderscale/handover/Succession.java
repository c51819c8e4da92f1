package eiderscale.handover;

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
 * that starts while that is held is its successor and holds {@code NAME.next} until the first has ended. Locks end with
 * their process, however it ends, so that nothing that a killed one leaves behind is believed.
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

    /** Takes the place that is free. {@code folder}: null where processes share nothing. */
    public static Succession enter(Path folder, String balancer) {
        Succession own = new Succession(folder, balancer.replaceAll("[^A-Za-z0-9_-]", "_"));
        if (folder != null) {
            own.first = own.lock("first");
            if (own.first == null) {
                own.next = own.lock("next");
            }
        }
        return own;
    }

    /** A folder that the processes of this balancer share; null where they share nothing. */
    Path folder(String what) {
        return folder == null ? null : file(what);
    }

    private Path file(String what) {
        return folder.resolve("stairshelf-" + name + "." + what);
    }

    /** Null if it is held, or the folder allows no locks. */
    private FileChannel lock(String what) {
        FileChannel channel = null;
        try {
            channel = FileChannel.open(file(what), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            FileLock lock = channel.tryLock();
            if (lock != null) {
                return channel;
            }
        } catch (IOException | OverlappingFileLockException e) {
            // Not to be had.
        }
        release(channel);
        return null;
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
            first = lock("first");
            if (first != null) {
                release(next);
                next = null;
            }
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
        FileChannel free = lock("next");
        release(free);
        return free == null;
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
