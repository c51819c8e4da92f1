package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** SIGKILL at the earliest moment that the protocol page allows, with hosts that hang and deadlines beyond that moment. */
class StopBeforeKillTest {
    private static final int DEADLINE_MS = 5_000;
    /** The longest deadline, which counts as 3 s at most, and 0.7 s. */
    private static final long KILL_MS = 3_000 + 700;

    @TempDir
    Path folder;

    /** Reads writes and answers none. */
    private static final class Hanging extends Programs.Host {
        Hanging(String name) throws IOException {
            super(name);
        }

        @Override
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            String[] words = line.split(" ");
            if (words[0].equals("ms")) {
                body(words[1], Integer.parseInt(words[2]), in);
            } else {
                super.answer(line, id, in, socket);
            }
        }
    }

    private static void write(Socket client, String id) throws IOException {
        String command = "ms key" + id + " 5 O" + id + " Pc=copy,t=t,d=" + DEADLINE_MS + "\r\nhello\r\n";
        client.getOutputStream().write(command.getBytes(StandardCharsets.US_ASCII));
    }

    /** The answer that comes, or null where the connection ends without one. */
    private static CompletableFuture<String> answer(BufferedReader in) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        Programs.daemon(() -> {
            try {
                answer.complete(in.readLine());
            } catch (IOException e) {
                answer.complete(null);
            }
        });
        return answer;
    }

    /** Guards against lost requests: a stop counted deadlines over 3 s in full, and SIGKILL found requests unanswered. */
    @ParameterizedTest
    @CsvSource({"false, 400", "true, 1200"})
    void allThatWasReadIsAnsweredBeforeTheEarliestKill(boolean isFollowed, long sentBehindTermMs) throws Exception {
        try (Programs programs = new Programs(folder, new Hanging("s-a"), new Hanging("s-b"))) {
            programs.patient(DEADLINE_MS);
            Programs.Program old = programs.start().awaitHealth();
            try (Socket before = programs.client(); Socket behind = programs.client();
                    BufferedReader beforeIn = Programs.reader(before); BufferedReader behindIn = Programs.reader(behind)) {
                behind.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
                assertNotNull(behindIn.readLine());
                if (isFollowed) {
                    programs.start().awaitHealth();
                }
                write(before, "before");
                TimeUnit.MILLISECONDS.sleep(100);
                old.signal("TERM");
                long termAt = System.nanoTime();
                CompletableFuture<String> answerBefore = answer(beforeIn);
                TimeUnit.MILLISECONDS.sleep(sentBehindTermMs);
                write(behind, "behind");
                CompletableFuture<String> answerBehind = answer(behindIn);
                TimeUnit.NANOSECONDS.sleep(termAt + TimeUnit.MILLISECONDS.toNanos(KILL_MS) - System.nanoTime());
                old.signal("KILL");
                assertNotNull(answerBefore.get(), "open at SIGTERM: " + old.child.log());
                assertNotNull(answerBehind.get(), "sent behind SIGTERM: " + old.child.log());
            }
        }
    }
}
