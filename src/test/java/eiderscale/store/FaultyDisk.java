package eiderscale.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.h2.store.fs.FileBaseDefault;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * A disk in memory under the scheme {@code faulty:}. What was forced stays over a crash; of each write behind that nothing, all or
 * the first sectors do, each for itself, as caches and controllers have it. It can also refuse to write or to force.
 */
final class FaultyDisk extends FilePathWrapper {
    private static final int SECTOR = 512;
    private static final Map<String, Disk> DISKS = new ConcurrentHashMap<>();

    static {
        FilePath.register(new FaultyDisk());
    }

    /** The bytes of one file. */
    static final class Disk {
        private record Write(long at, byte[] bytes) {
        }

        private byte[] forced = {};
        private byte[] seen = {};
        private final List<Write> pending = new ArrayList<>();
        private volatile boolean full;
        private volatile boolean unforceable;
        /** From so many writes on nothing more reaches it, as its machine has died. */
        private int left = Integer.MAX_VALUE;

        synchronized void full(boolean is) {
            full = is;
        }

        synchronized void unforceable(boolean is) {
            unforceable = is;
        }

        synchronized void diesAfter(int writes) {
            left = writes;
        }

        synchronized boolean isDead() {
            return left <= 0;
        }

        synchronized int size() {
            return seen.length;
        }

        private synchronized void write(long at, byte[] bytes) throws IOException {
            if (full) {
                throw new IOException("No space left on device");
            }
            if (left-- <= 0) {
                throw new IOException("dead");
            }
            pending.add(new Write(at, bytes));
            seen = with(seen, at, bytes, bytes.length);
        }

        private static byte[] with(byte[] on, long at, byte[] bytes, int length) {
            byte[] made = Arrays.copyOf(on, Math.max(on.length, (int) at + length));
            System.arraycopy(bytes, 0, made, (int) at, length);
            return made;
        }

        private synchronized void force() throws IOException {
            if (unforceable || left <= 0) {
                throw new IOException("Input/output error");
            }
            forced = seen.clone();
            pending.clear();
        }

        /** The machine dies and comes back. */
        synchronized void crash(SplittableRandom luck) {
            byte[] after = forced.clone();
            for (Write write : pending) {
                int how = luck.nextInt(3);
                int length = how == 0 ? 0 : how == 1 ? write.bytes.length
                        : Math.min(write.bytes.length, SECTOR * luck.nextInt(1 + write.bytes.length / SECTOR));
                if (length > 0) {
                    after = with(after, write.at, write.bytes, length);
                }
            }
            forced = after;
            seen = after.clone();
            pending.clear();
            left = Integer.MAX_VALUE;
        }
    }

    /** A new disk; the name that MVStore knows it by is {@code faulty:} and its own. */
    static Disk disk(String name) {
        return DISKS.computeIfAbsent(name, made -> new Disk());
    }

    static void forget(String name) {
        DISKS.remove(name);
    }

    private Disk own() {
        return disk(name.substring(getScheme().length() + 1));
    }

    @Override
    public String getScheme() {
        return "faulty";
    }

    @Override
    public FilePathWrapper getPath(String path) {
        FaultyDisk made = new FaultyDisk();
        made.name = path;
        return made;
    }

    @Override
    public boolean exists() {
        return own().size() > 0;
    }

    @Override
    public boolean canWrite() {
        return true;
    }

    @Override
    public long size() {
        return own().size();
    }

    @Override
    public boolean isDirectory() {
        return false;
    }

    @Override
    public FilePath getParent() {
        return null;
    }

    @Override
    public String toString() {
        return name;
    }

    @Override
    public FileChannel open(String mode) {
        Disk disk = own();
        return new FileBaseDefault() {
            @Override
            public long size() {
                return disk.size();
            }

            @Override
            protected void implTruncate(long newLength) {
                synchronized (disk) {
                    disk.seen = Arrays.copyOf(disk.seen, (int) newLength);
                }
            }

            @Override
            public int read(ByteBuffer to, long position) {
                synchronized (disk) {
                    int length = (int) Math.min(to.remaining(), disk.seen.length - position);
                    if (length <= 0) {
                        return -1;
                    }
                    to.put(disk.seen, (int) position, length);
                    return length;
                }
            }

            @Override
            public int write(ByteBuffer from, long position) throws IOException {
                byte[] bytes = new byte[from.remaining()];
                from.get(bytes);
                disk.write(position, bytes);
                return bytes.length;
            }

            @Override
            public void force(boolean metaData) throws IOException {
                disk.force();
            }

            @Override
            public synchronized FileLock tryLock(long position, long size, boolean shared) {
                return new FileLock(this, position, size, shared) {
                    @Override
                    public boolean isValid() {
                        return true;
                    }

                    @Override
                    public void release() {
                    }
                };
            }
        };
    }
}
