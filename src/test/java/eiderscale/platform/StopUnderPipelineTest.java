package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** SIGTERM while a client has requests open on its connection at every moment, and goes on sending until the connection ends. */
class StopUnderPipelineTest {
    private static final long ANSWER_MS = 200;
    private static final long EVERY_MS = 20;
    /** All commands begin with it. */
    private static final String HALF = "mg key";
    private static final long BEFORE_STOP_MS = 500;
    /** SIGKILL may come at the longest deadline, which is 1 s in these settings, plus 0.7 s. */
    private static final long KILL_MS = 1_700;

    @TempDir
    Path folder;

    /** Answers after a while, one command of a connection after the other. */
    private static final class Slow extends Programs.Host {
        Slow(String name) throws IOException {
            super(name);
        }

        @Override
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            try {
                Thread.sleep(ANSWER_MS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            super.answer(line, id, in, socket);
        }
    }

    private static int numberOf(String command) {
        return Integer.parseInt(command.replaceAll(".* Or([0-9]+) .*", "$1"));
    }

    /** Guards against lost requests: a busy connection must end, in order, before the process may be killed. */
    @ParameterizedTest
    @CsvSource({"1, false", "8, false", "1, true"})
    void aConnectionThatIsNeverIdleEndsBeforeTheKillAndOwesNothing(int atOnce, boolean endsAmidACommand) throws Exception {
        // Answers come in the order of their commands; refusals name none.
        AtomicInteger answered = new AtomicInteger();
        AtomicBoolean orderly = new AtomicBoolean();
        try (Programs programs = new Programs(folder, new Slow("s-a"), new Slow("s-b"))) {
            Programs.Program program = programs.start().awaitHealth();
            List<String> log;
            try (Socket client = programs.client(); BufferedReader answers = Programs.reader(client)) {
                Thread reads = Programs.daemon(() -> {
                    for (String line = answers.readLine(); line != null; line = answers.readLine()) {
                        if (line.startsWith("VA ")) {
                            answers.readLine();
                        }
                        answered.incrementAndGet();
                    }
                    orderly.set(true);
                });
                long begun = System.nanoTime();
                boolean told = false;
                long toldAt = begun;
                for (int i = 0; reads.isAlive() && (!told || since(toldAt) < KILL_MS); i++) {
                    if (!told && since(begun) >= BEFORE_STOP_MS) {
                        program.signal("TERM");
                        toldAt = System.nanoTime();
                        told = true;
                    }
                    StringBuilder commands = new StringBuilder();
                    for (int j = i * atOnce; j < (i + 1) * atOnce; j++) {
                        commands.append("mg key" + j + " v Or" + j + " Pc=read,t=t,d=1000\r\n");
                    }
                    if (endsAmidACommand) {
                        commands.append(HALF);
                        commands.delete(0, i == 0 ? 0 : HALF.length());
                    }
                    try {
                        client.getOutputStream().write(commands.toString().getBytes(StandardCharsets.ISO_8859_1));
                    } catch (IOException e) {
                        break;
                    }
                    reads.join(EVERY_MS);
                }
                reads.join(Math.max(1, KILL_MS - since(toldAt)));
                assertFalse(reads.isAlive(), "the connection is open when the kill may come: " + program.child.log());
                assertEquals(0, program.end(), "it ends by itself");
                log = program.child.log();
                assertTrue(since(toldAt) <= KILL_MS + TimeUnit.SECONDS.toMillis(1), "in time, but for a slow machine");
            }
            assertTrue(orderly.get(), "ended by a reset behind " + answered + " answers: " + log);
            int forwarded = programs.hosts.stream().flatMap(host -> host.commands.stream()).mapToInt(line -> 1 + numberOf(line)).max()
                    .orElse(0);
            assertTrue(forwarded <= answered.get(), forwarded + " reached hosts, " + answered + " have answers: " + log);
        }
    }

    /** Guards against lost requests: what had been read of a full pipeline was let go at a stop, neither served nor refused. */
    @Test
    void eachCommandOfAFullPipelineIsAnsweredAtAStop() throws Exception {
        int clients = 3;
        int commands = 200;
        try (Programs programs = new Programs(folder, new Slow("s-a"), new Slow("s-b"))) {
            Programs.Program program = programs.start().awaitHealth();
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                StringBuilder all = new StringBuilder();
                for (int j = 0; j < commands; j++) {
                    all.append("mg key" + j + " v Or" + i + "-" + j + " Pc=read,t=t,d=1000\r\n");
                }
                sockets.add(programs.client());
                sockets.get(i).getOutputStream().write(all.toString().getBytes(StandardCharsets.ISO_8859_1));
            }
            Thread.sleep(ANSWER_MS / 2);
            program.signal("TERM");
            for (Socket socket : sockets) {
                try (socket; BufferedReader answers = Programs.reader(socket)) {
                    int answered = 0;
                    for (String line = answers.readLine(); line != null; line = answers.readLine()) {
                        if (line.startsWith("VA ")) {
                            answers.readLine();
                        }
                        answered++;
                    }
                    assertEquals(commands, answered, "each is served or refused: " + program.child.log());
                }
            }
            assertEquals(0, program.end());
        }
    }

    private static long since(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
