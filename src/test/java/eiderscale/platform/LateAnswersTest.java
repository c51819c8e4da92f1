package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.standin.Relay;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The platform's process before hosts whose answers come a second time, late, while the next request of the connection is out. */
class LateAnswersTest {
    private static final int ROUNDS = 20;
    private static final long WRITE_MS = 50;

    private static final String REFUSAL = "SERVER_ERROR busy Lutil=0.9\r\n";

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A host that takes a moment for each write. */
    private static class Slow extends Programs.Host {
        Slow(String name) throws IOException {
            super(name);
        }

        @Override
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            if (line.startsWith("ms ")) {
                try {
                    Thread.sleep(WRITE_MS);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            super.answer(line, id, in, socket);
        }
    }

    /** It turns reads away, and each of its answers comes a second time. */
    private static final class Repeating extends Slow {
        private final Relay relay;

        Repeating(String name, EventLoop loop) throws IOException, InterruptedException {
            super(name);
            relay = new Relay(loop, () -> new InetSocketAddress(InetAddress.getLoopbackAddress(), Repeating.super.port()));
            relay.repeat(true);
        }

        @Override
        int port() {
            return relay.address().getPort();
        }

        @Override
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            if (line.startsWith("mg ")) {
                write(socket, REFUSAL);
            } else {
                super.answer(line, id, in, socket);
            }
        }

        @Override
        public void close() throws IOException {
            relay.close();
            super.close();
        }
    }

    /** It serves reads, and a refusal that belongs to no request comes before its answer to a write, but for a connection's first. */
    private static final class Refusing extends Slow {
        private final Set<Socket> used = ConcurrentHashMap.newKeySet();

        Refusing(String name) throws IOException {
            super(name);
        }

        @Override
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            if (!used.add(socket) && line.startsWith("ms ")) {
                write(socket, REFUSAL);
            }
            super.answer(line, id, in, socket);
        }
    }

    @TempDir
    Path folder;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private Programs programs;

    @AfterEach
    void stop() throws Exception {
        programs.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Programs.Program start(Programs.Host first, Programs.Host second) throws Exception {
        programs = new Programs(folder, first, second);
        programs.patient(Programs.LIMIT_MS);
        return programs.start().awaitHealth();
    }

    private static String ask(Socket client, BufferedReader answers, String command) throws IOException {
        write(client, command + "\r\n");
        String answer = answers.readLine();
        if (answer.startsWith("VA ")) {
            answers.readLine();
        }
        return answer;
    }

    private long sent(String id) {
        return programs.hosts.stream().flatMap(host -> host.commands.stream()).filter(line -> line.contains(" O" + id + " ")).count();
    }

    /** Reads and writes in turn, on connections that stay; the answers to the writes. */
    private List<String> writesBehindReads(Programs.Program program) throws IOException {
        List<String> written = new ArrayList<>();
        try (Socket client = programs.client(); BufferedReader answers = Programs.reader(client)) {
            for (int round = 0; round < ROUNDS; round++) {
                ask(client, answers, "mg key" + round + " v Oread" + round + " Pc=read,t=t,d=" + Programs.LIMIT_MS);
                written.add(ask(client, answers, "ms key" + round + " 1 Ocopy" + round + " Pc=copy,t=t,d=" + Programs.LIMIT_MS
                        + "\r\nx"));
                assertEquals(1, sent("copy" + round), "attempts of an unsafe request, by " + program.child.log());
            }
        }
        return written;
    }

    /** Guards against duplicates: the late second refusal of a read must not count as that of the unsafe request behind it. */
    @Test
    void lateSecondRefusalDoesNotSendAnUnsafeRequestAgain() throws Exception {
        List<String> written = writesBehindReads(start(new Repeating("s-a", loops.next()), new Repeating("s-b", loops.next())));
        assertTrue(written.stream().noneMatch(answer -> answer.startsWith("SERVER_ERROR busy")), "refused, though they ran: " + written);
    }

    /** Guards against duplicates: a refusal that may be an earlier request's, on a used connection, proves nothing of an unsafe one. */
    @Test
    void refusalOnAUsedConnectionDoesNotSendAnUnsafeRequestAgain() throws Exception {
        List<String> written = writesBehindReads(start(new Refusing("s-a"), new Refusing("s-b")));
        assertTrue(written.stream().noneMatch(answer -> answer.startsWith("SERVER_ERROR busy")), "refused, though they ran: " + written);
        assertTrue(written.contains("SERVER_ERROR failed"), "none met such a refusal: " + written);
    }
}
