package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Values of up to 4 MiB through the program as the platform runs it, with its flags: a heap of 48 MB, 24 MB beside it. */
class LongValuesTest {
    private static final int LONGEST = 4 * 1024 * 1024;
    /** Hosts and clients share the machine's cores with the program: how fast all of them are is not the question here. */
    private static final int PATIENCE_MS = 20_000;
    private static final String VALUE = "bulk" + LONGEST + "x";

    @TempDir
    Path folder;

    private static void say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String read(String key, String id) {
        return "mg " + key + " v O" + id + " Pc=read,t=t,d=" + PATIENCE_MS + "\r\n";
    }

    private static String write(String key, int length, String id) {
        return "ms " + key + " " + length + " O" + id + " Pc=copy,t=t,d=" + PATIENCE_MS + "\r\n";
    }

    /** 800 MB for clients that stop reading for a while, and 100 MB from clients that write by and by. */
    @Test
    void manyAtOnceGoThroughLittleMemoryByteForByte() throws Exception {
        int readers = 200;
        int writers = 25;
        try (Programs programs = new Programs(folder, new Host("s-0"), new Host("s-1"), new Host("s-2"))) {
            programs.patient(PATIENCE_MS);
            Program program = programs.start().awaitHealth();
            ExecutorService threads = Executors.newCachedThreadPool();
            List<Future<?>> all = new ArrayList<>();
            AtomicInteger refused = new AtomicInteger();
            for (int i = 0; i < readers; i++) {
                int number = i;
                all.add(threads.submit(() -> {
                    try (Socket socket = new Socket()) {
                        socket.setReceiveBufferSize(32 * 1024);
                        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), programs.port));
                        socket.setSoTimeout(2 * Programs.LIMIT_MS);
                        String key = VALUE + number;
                        say(socket, read(key, "r" + number));
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        String line = Programs.line(in);
                        if (line != null && line.startsWith("SERVER_ERROR busy")) {
                            refused.incrementAndGet();
                            return null;
                        }
                        assertEquals("VA " + LONGEST + " Or" + number, line);
                        Thread.sleep(number % 4 * 400);
                        Values.check(key, LONGEST, in);
                        assertEquals("", Programs.line(in));
                    }
                    return null;
                }));
            }
            for (int i = 0; i < writers; i++) {
                int number = i;
                all.add(threads.submit(() -> {
                    try (Socket socket = programs.client()) {
                        String key = VALUE + number;
                        say(socket, write(key, LONGEST, "w" + number));
                        Values.write(key, 0, LONGEST / 2, socket.getOutputStream());
                        Thread.sleep(number % 4 * 300);
                        Values.write(key, LONGEST / 2, LONGEST, socket.getOutputStream());
                        say(socket, "\r\n");
                        String line = Programs.line(socket.getInputStream());
                        if (line.startsWith("SERVER_ERROR busy")) {
                            refused.incrementAndGet();
                        } else {
                            assertEquals("HD Ow" + number + " c7", line);
                        }
                    }
                    return null;
                }));
            }
            for (Future<?> one : all) {
                one.get(3 * Programs.LIMIT_MS, TimeUnit.MILLISECONDS);
            }
            threads.shutdown();
            long peak = program.child.peakMb();
            System.out.println("long values: peak " + peak + " MB, refused " + refused);
            assertTrue(peak < 128, "peak of " + peak + " MB");
            assertTrue(refused.get() < readers / 2, "refused " + refused);
            assertEquals(0, program.stop());
        }
    }

    /** A host whose answer stops in the middle, for the first of its connections or for all. */
    private static final class Breaking extends Host {
        /** How: it closes, sends another end than it should, or says nothing more for a while. */
        enum How { CLOSES, SPOILS, RESTS }

        private final How how;

        Breaking(String name, How how) throws IOException {
            super(name);
            this.how = how;
        }

        @Override
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            String key = line.split(" ")[1];
            if (!key.startsWith("bulk") || line.startsWith("ms")) {
                super.answer(line, id, in, socket);
                return;
            }
            int length = Values.length(key);
            say(socket, "VA " + length + " " + id + "\r\n");
            Values.write(key, 0, length / 2, socket.getOutputStream());
            if (how == How.CLOSES) {
                socket.close();
                return;
            }
            if (how == How.RESTS) {
                try {
                    Thread.sleep(2_000);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            Values.write(key, length / 2, length, socket.getOutputStream());
            say(socket, how == How.SPOILS ? "xx" : "\r\n");
        }
    }

    @Test
    void aValueThatIsNotWholeEndsItsConnectionAndThatOneAlone() throws Exception {
        for (Breaking.How how : Breaking.How.values()) {
            try (Programs programs = new Programs(folder.resolve(how.name()), new Breaking("s-0", how))) {
                programs.patient(PATIENCE_MS);
                Program program = programs.start().awaitHealth();
                try (Socket other = programs.client(); Socket client = programs.client()) {
                    String key = "bulk300000x1";
                    say(client, read("1", "a") + read(key, "b"));
                    InputStream in = new BufferedInputStream(client.getInputStream());
                    assertEquals("VA 3 Oa", Programs.line(in));
                    assertEquals("s-0", Programs.line(in));
                    assertEquals("VA 300000 Ob", Programs.line(in));
                    if (how == Breaking.How.RESTS) {
                        Values.check(key, 300_000, in);
                        assertEquals("", Programs.line(in));
                    } else {
                        // The end of the connection comes where bytes or their end should be.
                        assertThrows(IOException.class, () -> {
                            Values.check(key, 300_000, in);
                            if (!"".equals(Programs.line(in))) {
                                throw new IOException("no end");
                            }
                        });
                    }
                    say(other, read("2", "c"));
                    assertEquals("VA 3 Oc", Programs.line(other.getInputStream()));
                }
                assertEquals(0, program.stop());
            }
        }
    }

    /** A host that writes a long value by and by, for longer than any deadline. */
    private static final class Unhurried extends Host {
        private static final int PIECES = 40;

        Unhurried(String name) throws IOException {
            super(name);
        }

        @Override
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            String key = line.split(" ")[1];
            int length = Values.length(key);
            say(socket, "VA " + length + " " + id + "\r\n");
            for (int i = 0; i < PIECES; i++) {
                Values.write(key, i * (length / PIECES), (i + 1) * (length / PIECES), socket.getOutputStream());
                try {
                    Thread.sleep(100);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            say(socket, "\r\n");
        }
    }

    /** Guards against an answer that is cut off: the process ended itself though it was still passing on what its host gave. */
    @Test
    void aValueThatItsHostIsStillWritingIsWholeBehindAStop() throws Exception {
        try (Programs programs = new Programs(folder, new Unhurried("s-0"))) {
            Program program = programs.start().awaitHealth();
            try (Socket client = programs.client()) {
                String key = "bulk800000x1";
                say(client, "mg " + key + " v Oa Pc=read,t=t,d=1000\r\n");
                InputStream in = new BufferedInputStream(client.getInputStream());
                assertEquals("VA 800000 Oa", Programs.line(in));
                program.signal("TERM");
                Values.check(key, 800_000, in);
                assertEquals("", Programs.line(in));
                assertNull(Programs.line(in), "the end, in order");
            }
            assertEquals(0, program.end());
        }
    }

    /** Whoever leaves in the middle, client or writer, leaves the balancer as it was; half a write never reaches its end. */
    @Test
    void peersThatLeaveInTheMiddleCostNobodyElseAnything() throws Exception {
        Host host = new Host("s-0");
        try (Programs programs = new Programs(folder, host)) {
            Program program = programs.start().awaitHealth();
            for (int i = 0; i < 30; i++) {
                try (Socket reader = programs.client(); Socket writer = programs.client()) {
                    say(reader, read(VALUE + i, "r" + i));
                    assertEquals("VA " + LONGEST + " Or" + i, Programs.line(reader.getInputStream()));
                    say(writer, write(VALUE + i, LONGEST, "w" + i));
                    Values.write(VALUE + i, 0, LONGEST / 4, writer.getOutputStream());
                }
            }
            try (Socket client = programs.client()) {
                // With a bad end behind it a write has not come whole: it never ran, and is refused.
                say(client, write("bulk100000x1", 100_000, "e"));
                Values.write("bulk100000x1", 0, 100_000, client.getOutputStream());
                say(client, "xx");
                assertTrue(Programs.line(client.getInputStream()).startsWith("SERVER_ERROR busy"));
                assertNull(Programs.line(client.getInputStream()));
            }
            try (Socket client = programs.client()) {
                // One that stops in the middle is told within the time that half a command has.
                long begun = System.nanoTime();
                say(client, write("bulk100000x4", 100_000, "h"));
                Values.write("bulk100000x4", 0, 50_000, client.getOutputStream());
                assertTrue(Programs.line(client.getInputStream()).startsWith("SERVER_ERROR busy"));
                assertNull(Programs.line(client.getInputStream()));
                System.out.println("half a value is refused after " + (System.nanoTime() - begun) / 1_000_000 + " ms");
            }
            for (int i = 0; i < 20; i++) {
                // None of that is held against the host: it is the only one, and would be passed over by now.
                try (Socket client = programs.client()) {
                    say(client, read(String.valueOf(i), "n" + i));
                    assertEquals("VA 3 On" + i, Programs.line(client.getInputStream()));
                }
            }
            try (Socket client = programs.client()) {
                say(client, write("bulk100000x2", 100_000, "f"));
                for (int i = 0; i < 200; i++) {
                    Values.write("bulk100000x2", i, i + 1, client.getOutputStream());
                }
                Values.write("bulk100000x2", 200, 100_000, client.getOutputStream());
                say(client, "\r\n" + read("bulk70000x3", "g"));
                InputStream in = new BufferedInputStream(client.getInputStream());
                assertEquals("HD Of c7", Programs.line(in));
                assertEquals("VA 70000 Og", Programs.line(in));
                Values.check("bulk70000x3", 70_000, in);
            }
            assertEquals(0, program.stop());
        }
    }

    /** A host that has no room says so at the head of a write and does not read its body. */
    @Test
    void aLongWriteThatIsTurnedAwayEarlyIsRefusedAndItsConnectionGoesOn() throws Exception {
        Host busy = new Host("s-0") {
            @Override
            void answer(String line, String id, InputStream in, Socket socket) throws IOException {
                if (line.startsWith("ms")) {
                    say(socket, "SERVER_ERROR busy\r\n");
                    body(line.split(" ")[1], LONGEST, in);
                } else {
                    super.answer(line, id, in, socket);
                }
            }
        };
        try (Programs programs = new Programs(folder, busy)) {
            Program program = programs.start().awaitHealth();
            try (Socket client = programs.client()) {
                say(client, write(VALUE + 1, LONGEST, "a"));
                Values.write(VALUE + 1, 0, LONGEST, client.getOutputStream());
                say(client, "\r\n" + read("1", "b"));
                InputStream in = new BufferedInputStream(client.getInputStream());
                assertTrue(Programs.line(in).startsWith("SERVER_ERROR busy"));
                assertEquals("VA 3 Ob", Programs.line(in));
            }
            try (Socket client = programs.client()) {
                say(client, "ms k " + (LONGEST + 1) + " Oc Pc=copy,t=t,d=900\r\n");
                assertEquals("CLIENT_ERROR value too large", Programs.line(client.getInputStream()));
            }
            assertEquals(0, program.stop());
        }
    }

    /** Both copies of a slow read begin to answer: the first byte decides, and nothing of the other one goes out. */
    @Test
    void ofTwoAnswersThatBeginTheFirstIsPassedOn() throws Exception {
        AtomicInteger begun = new AtomicInteger();
        class Slow extends Host {
            Slow(String name) throws IOException {
                super(name);
            }

            @Override
            void answer(String line, String id, InputStream in, Socket socket) throws IOException {
                if (line.contains("bulk") && begun.getAndIncrement() % 2 == 0) {
                    try {
                        Thread.sleep(150);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
                super.answer(line, id, in, socket);
            }
        }
        try (Programs programs = new Programs(folder, new Slow("s-0"), new Slow("s-1"))) {
            Program program = programs.start().awaitHealth();
            try (Socket client = programs.client()) {
                InputStream in = new BufferedInputStream(client.getInputStream());
                for (int i = 0; i < 200; i++) {
                    say(client, read(String.valueOf(i), "q" + i));
                    assertEquals("VA 3 Oq" + i, Programs.line(in));
                    Programs.line(in);
                }
                for (int i = 0; i < 20; i++) {
                    String key = "bulk200000x" + i;
                    say(client, read(key, "b" + i));
                    assertEquals("VA 200000 Ob" + i, Programs.line(in));
                    Values.check(key, 200_000, in);
                    assertEquals("", Programs.line(in));
                }
            }
            assertTrue(begun.get() > 20, "copies went out: " + begun);
            assertEquals(0, program.stop());
        }
    }
}
