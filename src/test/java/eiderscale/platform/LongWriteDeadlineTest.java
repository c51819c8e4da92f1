package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.platform.Programs.Host;
import eiderscale.platform.Programs.Program;
import eiderscale.platform.Programs.Values;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A long write is answered in its client's time, which begins with the last byte that the client writes. */
class LongWriteDeadlineTest {
    private static final int LENGTH = 4 * 1024 * 1024;
    private static final int WAIT_MS = 1_000;
    /** A final answer is lost half a second after its time, and each limit is 50 ms longer. */
    private static final int LOST_MS = WAIT_MS + 550;
    /** What a host may be told beyond what is left to the client. */
    private static final int SLACK_MS = 150;
    private static final String VALUE = "bulk" + LENGTH + "x";

    @TempDir
    Path folder;

    /** Reads a write's value by and by, or not at all; behind its client's answer all that has left for it. */
    private static final class Reluctant extends Host {
        private static final int VALUE_AND_END_BYTES = LENGTH + 2;

        private final int pieceBytes;
        private final CountDownLatch answered = new CountDownLatch(1);
        private final CompletableFuture<Integer> left = new CompletableFuture<>();

        Reluctant(String name, int pieceBytes) throws IOException {
            super(name);
            this.pieceBytes = pieceBytes;
        }

        @Override
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            if (!line.startsWith("ms")) {
                super.answer(line, id, in, socket);
                return;
            }
            try {
                int read = 0;
                while (!answered.await(100, TimeUnit.MILLISECONDS)) {
                    read += in.readNBytes(pieceBytes).length;
                }
                left.complete(read + in.readNBytes(VALUE_AND_END_BYTES - read).length);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        /** Whether the last byte of the write has left for it, so that it may have run. To be asked behind the client's answer. */
        boolean hasLeft() throws Exception {
            answered.countDown();
            return left.get(Programs.LIMIT_MS, TimeUnit.MILLISECONDS) == VALUE_AND_END_BYTES;
        }
    }

    private static void head(Socket client, String key) throws IOException {
        client.getOutputStream().write(("ms " + key + " " + LENGTH + " Ow Pc=copy,t=t,d=" + WAIT_MS + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void end(Socket client) throws IOException {
        client.getOutputStream().write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    /** An answer behind the aim is worth something too, as on the platform. */
    private Programs programs(Host host) throws IOException {
        Programs programs = new Programs(folder.resolve(host.name), host);
        programs.settings = programs.settings.replace("\"deadline-ns\"", "\"late-worth\":0.5,\"deadline-ns\"");
        return programs;
    }

    private void isAnsweredInTime(Reluctant host) throws Exception {
        try (Programs programs = programs(host)) {
            Program program = programs.start().awaitHealth();
            try (Socket client = programs.client()) {
                head(client, VALUE);
                Values.write(VALUE, 0, LENGTH, client.getOutputStream());
                end(client);
                long written = System.nanoTime();
                String answer = Programs.line(client.getInputStream());
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - written);
                assertTrue(tookMs <= LOST_MS, "answered after " + tookMs + " ms");
                // How much of 4 MiB the system takes for a host that does not read is the system's own choice.
                String word = host.hasLeft() ? "SERVER_ERROR failed" : "SERVER_ERROR busy";
                assertTrue(answer.startsWith(word), answer + " in place of " + word);
            }
            assertEquals(0, program.stop());
        }
    }

    /** Guards against lost requests: a write whose host took nothing was answered 20 s after its time. */
    @Test
    void aWriteToAHostThatHangsIsAnsweredInTime() throws Exception {
        isAnsweredInTime(new Reluctant("hangs", 0));
    }

    /** Guards against lost requests: the same where the host takes a little all the time. */
    @Test
    void aWriteToAHostThatReadsSlowlyIsAnsweredInTime() throws Exception {
        isAnsweredInTime(new Reluctant("slow", 40_000));
    }

    /** Guards against hosts that work on for nobody: they were told 20 s more than a client waits. */
    @Test
    void aHostIsToldNoLongerWaitThanItsClientHas() throws Exception {
        Host host = new Host("s-0");
        try (Programs programs = programs(host)) {
            Program program = programs.start().awaitHealth();
            try (Socket client = programs.client()) {
                head(client, VALUE);
                Values.write(VALUE, 0, LENGTH, client.getOutputStream());
                end(client);
                assertEquals("HD Ow c7", Programs.line(client.getInputStream()));
            }
            int told = Integer.parseInt(host.commands.get(0).replaceAll(".*[,P]d=([0-9]+).*", "$1"));
            assertTrue(told <= WAIT_MS + SLACK_MS, "told " + told);
            assertEquals(0, program.stop());
        }
    }

    /** A client's wait has not begun while it writes: pauses longer than that wait cost it nothing. */
    @Test
    void aClientThatWritesByAndByIsServed() throws Exception {
        try (Programs programs = programs(new Host("s-0"))) {
            Program program = programs.start().awaitHealth();
            try (Socket client = programs.client()) {
                head(client, VALUE);
                for (int i = 0; i < 4; i++) {
                    Values.write(VALUE, i * LENGTH / 4, (i + 1) * LENGTH / 4, client.getOutputStream());
                    Thread.sleep(WAIT_MS + 200);
                }
                end(client);
                assertEquals("HD Ow c7", Programs.line(client.getInputStream()));
            }
            assertEquals(0, program.stop());
        }
    }

    /** Guards against a close amid a client's write: one that was refused early was cut off after 2.5 s, though it wrote on. */
    @Test
    void theRestOfARefusedWriteIsPassedOverForAsLongAsItComes() throws Exception {
        Host busy = new Host("s-0") {
            @Override
            void answer(String line, String id, InputStream in, Socket socket) throws IOException {
                if (line.startsWith("ms")) {
                    socket.getOutputStream().write("SERVER_ERROR busy\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    body(line.split(" ")[1], LENGTH, in);
                } else {
                    super.answer(line, id, in, socket);
                }
            }
        };
        try (Programs programs = programs(busy)) {
            Program program = programs.start().awaitHealth();
            try (Socket client = programs.client()) {
                head(client, VALUE);
                for (int i = 0; i < 8; i++) {
                    Values.write(VALUE, i * (LENGTH / 8), (i + 1) * (LENGTH / 8), client.getOutputStream());
                    Thread.sleep(500);
                }
                end(client);
                client.getOutputStream().write("mg 1 v Or Pc=read,t=t,d=900\r\n".getBytes(StandardCharsets.ISO_8859_1));
                assertTrue(Programs.line(client.getInputStream()).startsWith("SERVER_ERROR busy"));
                assertEquals("VA 3 Or", Programs.line(client.getInputStream()));
            }
            assertEquals(0, program.stop());
        }
    }
}
