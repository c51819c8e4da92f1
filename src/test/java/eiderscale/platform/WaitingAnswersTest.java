package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.platform.Programs.Host;
import eiderscale.platform.Programs.Program;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Answers that wait for earlier ones of their connection, in the memory that the platform's flags give the program. */
class WaitingAnswersTest {
    private static final int LENGTH = 64_000;
    private static final int WAIT_MS = 1_500;
    /** A final answer is lost half a second after its time, and each limit is 50 ms longer. */
    private static final int LOST_MS = WAIT_MS + 550;

    @TempDir
    Path folder;

    /** Takes its time for writes, and has large values. */
    private static final class Slow extends Host {
        private final int writeMs;

        Slow(String name, int writeMs) throws IOException {
            super(name);
            this.writeMs = writeMs;
        }

        @Override
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            pause(line.startsWith("ms") ? writeMs : 10 + ThreadLocalRandom.current().nextInt(20));
            if (!line.startsWith("mg large")) {
                super.answer(line, id, in, socket);
                return;
            }
            socket.getOutputStream().write(("VA " + LENGTH + " " + id + " h1 Lutil=0.2\r\n" + "v".repeat(LENGTH) + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }

        private static void pause(int ms) throws IOException {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    private static String read(String key, String id) {
        return "mg " + key + " v O" + id + " Pc=read,t=t,d=" + WAIT_MS + "\r\n";
    }

    /** Reads one answer to its end; its first line, or null at the end of the connection. */
    private static String answer(InputStream in) throws IOException {
        String line = Programs.line(in);
        if (line != null && line.startsWith("VA ")) {
            in.skipNBytes(Integer.parseInt(line.split(" ")[1]) + 2L);
        }
        return line;
    }

    /** Sends commands at once and reads their answers; how many there were. */
    private static int ask(Programs programs, String commands, int count) throws IOException {
        int answered = 0;
        try (Socket socket = programs.client()) {
            socket.getOutputStream().write(commands.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (answered < count && answer(in) != null) {
                answered++;
            }
        }
        return answered;
    }

    /** Guards against the loss of requests: answers that waited used up the memory outside the heap, and the loop stood still. */
    @Test
    void answersBehindSlowWritesTakeNoMemoryFromOthers() throws Exception {
        int clients = 80;
        int reads = 8;
        try (Programs programs = new Programs(folder, new Slow("s-0", 1_500), new Slow("s-1", 1_500))) {
            programs.patient(WAIT_MS + 1_000);
            Program program = programs.start().awaitHealth();
            ExecutorService threads = Executors.newCachedThreadPool();
            AtomicBoolean over = new AtomicBoolean();
            AtomicInteger others = new AtomicInteger();
            Future<?> usual = threads.submit(() -> {
                while (!over.get()) {
                    try (Socket socket = programs.client()) {
                        socket.setSoTimeout(LOST_MS);
                        socket.getOutputStream().write(read("k" + others, "u" + others).getBytes(StandardCharsets.ISO_8859_1));
                        assertTrue(answer(socket.getInputStream()) != null, "answered");
                        others.incrementAndGet();
                    }
                }
                return null;
            });
            List<Future<Integer>> answered = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                StringBuilder commands = new StringBuilder("ms copy" + i + " 1 Ow" + i + " Pc=copy,t=t,d=" + (WAIT_MS + 1_000) + "\r\nx\r\n");
                for (int k = 0; k < reads; k++) {
                    commands.append(read("large" + i + "-" + k, "r" + i + "-" + k));
                }
                answered.add(threads.submit(() -> ask(programs, commands.toString(), 1 + reads)));
            }
            for (Future<Integer> one : answered) {
                assertEquals(1 + reads, one.get(Programs.LIMIT_MS, TimeUnit.MILLISECONDS), "each command has its answer");
            }
            over.set(true);
            usual.get(Programs.LIMIT_MS, TimeUnit.MILLISECONDS);
            threads.shutdown();
            assertTrue(others.get() > 10, "others were served: " + others);
            assertEquals(0, program.stop());
        }
    }

    /** Guards against the loss of requests: connections of clients that read at once were closed for what others had waiting. */
    @Test
    void clientsThatReadTheirAnswersAreNotClosed() throws Exception {
        int clients = 12;
        int reads = 40;
        int rounds = 3;
        try (Programs programs = new Programs(folder, new Slow("s-0", 10), new Slow("s-1", 10), new Slow("s-2", 10),
                new Slow("s-3", 10), new Slow("s-4", 10), new Slow("s-5", 10))) {
            programs.patient(WAIT_MS);
            programs.sockets = 1024;
            Program program = programs.start().awaitHealth();
            ExecutorService threads = Executors.newCachedThreadPool();
            for (int round = 0; round < rounds; round++) {
                List<Future<Integer>> answered = new ArrayList<>();
                for (int i = 0; i < clients; i++) {
                    StringBuilder commands = new StringBuilder();
                    for (int k = 0; k < reads; k++) {
                        String id = round + "-" + i + "-" + k;
                        commands.append(read("large" + id, id));
                    }
                    answered.add(threads.submit(() -> ask(programs, commands.toString(), reads)));
                }
                for (Future<Integer> one : answered) {
                    assertEquals(reads, one.get(Programs.LIMIT_MS, TimeUnit.MILLISECONDS), "each read has its answer");
                }
            }
            threads.shutdown();
            assertEquals(0, program.stop());
        }
    }
}
