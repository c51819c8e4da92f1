package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.platform.Programs.Host;
import eiderscale.platform.Programs.Program;
import eiderscale.platform.Programs.Values;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Hundreds of clients at once that hold on to memory, and single ones that send at full speed. The program has the memory that
 * the platform's flags give it; a usual client beside them is served in its time.
 */
class CrowdsTest {
    private static final int CLIENTS = 300;
    private static final int WAIT_MS = 1_500;
    /** A final answer is lost half a second after its time, and each limit is 50 ms longer. */
    private static final int LOST_MS = WAIT_MS + 550;
    /** Over this the platform kills the program. */
    private static final int MEMORY_MB = 192;
    private static final int LONGEST = 4 * 1024 * 1024;
    private static final int HOLD_MS = 3_000;
    private static final int FLOOD_MS = 2_000;

    @TempDir
    Path folder;

    /** What one of a crowd does with its connection, which stays open behind that. */
    private interface Deed {
        void on(Socket socket, int number) throws Exception;
    }

    private static void say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String read(String key, String id) {
        return "mg " + key + " v O" + id + " Pc=read,t=t,d=" + WAIT_MS + "\r\n";
    }

    /** Asks on and on, until told to stop; counts what was served and what had no answer in time. */
    private static final class Usual {
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger lost = new AtomicInteger();
        final AtomicLong worstMs = new AtomicLong();
        private final AtomicBoolean over = new AtomicBoolean();
        private final Thread thread;

        Usual(Programs programs) {
            thread = Programs.daemon(() -> {
                for (int i = 0; !over.get(); i++) {
                    one(programs, i);
                }
            });
        }

        private void one(Programs programs, int number) {
            long begun = System.nanoTime();
            try (Socket socket = programs.client()) {
                socket.setSoTimeout(LOST_MS);
                say(socket, read("u" + number, "u" + number));
                String line = Programs.line(new BufferedInputStream(socket.getInputStream()));
                (line == null ? lost : served).incrementAndGet();
                Thread.sleep(10);
            } catch (IOException | InterruptedException e) {
                lost.incrementAndGet();
            }
            worstMs.accumulateAndGet(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun), Math::max);
        }

        void stop() throws InterruptedException {
            over.set(true);
            thread.join(Programs.LIMIT_MS);
        }
    }

    private void crowd(String name, Host host, int holdMs, Deed deed) throws Exception {
        try (Programs programs = new Programs(folder.resolve(name), host, new Host("s-1"))) {
            programs.patient(WAIT_MS);
            programs.sockets = 1024;
            Program program = programs.start().awaitHealth();
            Usual usual = new Usual(programs);
            List<Socket> sockets = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Socket socket = new Socket();
                socket.setReceiveBufferSize(4096);
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), programs.port));
                sockets.add(socket);
                int number = i;
                threads.add(Programs.daemon(() -> {
                    try {
                        deed.on(socket, number);
                    } catch (IOException e) {
                        // It has been closed, as it may be.
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                }));
            }
            Thread.sleep(holdMs);
            for (Socket socket : sockets) {
                socket.close();
            }
            usual.stop();
            judge(name, program, usual);
        }
    }

    private static void judge(String name, Program program, Usual usual) throws InterruptedException {
        long peak = program.child.peakMb();
        System.out.println(name + ": peak " + peak + " MB, usual served " + usual.served + " lost " + usual.lost + " worst " + usual.worstMs + " ms");
        assertTrue(program.child.isAlive(), "it runs: " + program.child.log());
        assertFalse(program.child.log().toString().contains("OutOfMemory"), program.child.log().toString());
        assertEquals(0, usual.lost.get(), "nothing of others is lost: " + program.child.log());
        assertTrue(usual.served.get() > 20, "others are served: " + usual.served);
        assertTrue(peak < MEMORY_MB, "peak of " + peak + " MB");
        assertEquals(0, program.stop());
    }

    /** Guards against running out of memory outside the heap: each holds half a value on its way to a host. */
    @Test
    void halfOfALongValue() throws Exception {
        crowd("half-long", new Host("s-0"), HOLD_MS, (socket, number) -> {
            say(socket, "ms bulk" + LONGEST + "x" + number + " " + LONGEST + " Oh" + number + " Pc=copy,t=t,d=" + WAIT_MS + "\r\n");
            Values.write("bulk" + LONGEST + "x" + number, 0, LONGEST / 2, socket.getOutputStream());
        });
    }

    /** Guards against buffers of whole reads that are kept for a few bytes each. */
    @Test
    void valuesInSmallPieces() throws Exception {
        crowd("pieces", new Host("s-0"), HOLD_MS, (socket, number) -> {
            socket.setTcpNoDelay(true);
            say(socket, "ms bulk" + LONGEST + "x" + number + " " + LONGEST + " Oh" + number + " Pc=copy,t=t,d=" + WAIT_MS + "\r\n");
            for (int i = 0; i < 4_000; i += 40) {
                Values.write("bulk" + LONGEST + "x" + number, i, i + 40, socket.getOutputStream());
                Thread.sleep(20);
            }
        });
    }

    /** Guards against commands that take many times their bytes once they are read. */
    @Test
    void commandsOfManyShortFields() throws Exception {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; fields.length() < 1_900; i++) {
            fields.append(',').append(Integer.toString(i, Character.MAX_RADIX)).append('=');
        }
        Host silent = new Host("s-0") {
            @Override
            void answer(String line, String id, InputStream in, Socket socket) throws IOException {
                if (!line.contains(",1=")) {
                    super.answer(line, id, in, socket);
                }
            }
        };
        crowd("fields", silent, HOLD_MS, (socket, number) -> {
            for (int i = 0; i < 64; i++) {
                say(socket, "mg k v Of" + number + "-" + i + " Pc=read,t=t,d=" + WAIT_MS + fields + "\r\n");
            }
        });
    }

    /** Guards against running out of memory: many commands that wait behind one, on each connection. */
    @Test
    void manyCommandsBehindASlowOne() throws Exception {
        manyCommands("many", 200);
    }

    /** Guards against running out of memory: the same with five times as many, which once ended in an OutOfMemoryError. */
    @Test
    void veryManyCommandsBehindASlowOne() throws Exception {
        manyCommands("very-many", 1_000);
    }

    private void manyCommands(String name, int commands) throws Exception {
        Host slow = new Host("s-0") {
            @Override
            void answer(String line, String id, InputStream in, Socket socket) throws IOException {
                if (!line.contains(" Om")) {
                    super.answer(line, id, in, socket);
                }
            }
        };
        String filler = "y".repeat(200);
        crowd(name, slow, HOLD_MS, (socket, number) -> {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < commands; i++) {
                all.append(read("k" + filler + i, "m" + number + "-" + i));
            }
            say(socket, all.toString());
        });
    }

    /** Guards against running out of memory: values that are held whole, many on each connection, taken by and by. */
    @Test
    void manyAnswersReadSlowly() throws Exception {
        Host large = new Host("s-0") {
            @Override
            void answer(String line, String id, InputStream in, Socket socket) throws IOException {
                if (line.startsWith("mg large")) {
                    say(socket, "VA 60000 " + id + " h1 Lutil=0.2\r\n" + "v".repeat(60_000) + "\r\n");
                } else {
                    super.answer(line, id, in, socket);
                }
            }
        };
        crowd("slow-answers", large, HOLD_MS, (socket, number) -> {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 20; i++) {
                all.append(read("large" + i, "a" + number + "-" + i));
            }
            say(socket, all.toString());
            InputStream in = socket.getInputStream();
            for (int i = 0; i < 50; i++) {
                in.readNBytes(1_000);
                Thread.sleep(100);
            }
        });
    }

    private void flood(String name, String... commands) throws Exception {
        try (Programs programs = new Programs(folder.resolve(name), new Host("s-0"), new Host("s-1"))) {
            programs.patient(WAIT_MS);
            Program program = programs.start().awaitHealth();
            Usual usual = new Usual(programs);
            long end = System.nanoTime() + FLOOD_MS * 1_000_000L;
            AtomicLong sent = new AtomicLong();
            while (System.nanoTime() < end) {
                try (Socket socket = programs.client()) {
                    Thread reader = Programs.daemon(() -> socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream()));
                    while (System.nanoTime() < end && reader.isAlive()) {
                        StringBuilder all = new StringBuilder();
                        for (int i = 0; i < 500; i++) {
                            all.append(commands[i % commands.length].replace("#", Long.toString(sent.incrementAndGet(), 36)));
                        }
                        say(socket, all.toString());
                    }
                } catch (IOException e) {
                    // Closed, as it may be.
                }
            }
            usual.stop();
            System.out.println(name + ": sent " + sent);
            judge(name, program, usual);
        }
    }

    /** Guards against one client that keeps the loop for itself: each command is cheap, and there are very many. */
    @Test
    void smallCommandsAtFullSpeed() throws Exception {
        flood("flood-mn", "mn\r\n");
    }

    /** The same with what can't be taken. */
    @Test
    void unsoundCommandsAtFullSpeed() throws Exception {
        flood("flood-unsound", "x#\r\n", "mg # v O# Pc=none#,t=t,d=1\r\n", "mg # v O# Pc=read,t=t#,d=1\r\n", "ms # 1 O# Pc=read,t=t,d=1\r\nx\r\n");
    }

    /** The same with writes, each of a byte. */
    @Test
    void smallWritesAtFullSpeed() throws Exception {
        flood("flood-writes", "ms k# 1 Ow# Pc=copy,t=t,d=1000\r\nx\r\n");
    }
}
