package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.config.Config;
import eiderscale.config.ConfigException;
import eiderscale.platform.Programs.Program;
import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** SIGHUP with other settings: a good file is taken whole, of a broken one nothing. */
class RetuneTest {
    private static final String LIST = ",{\"name\":\"list\",\"effect\":\"retryable\",\"group\":\"all\",\"goal-time-ns\":700000000,\"deadline-ns\":800000000}";

    @TempDir
    Path folder;

    private static String ask(Socket socket, String command) throws IOException {
        socket.getOutputStream().write((command + "\r\n").getBytes(StandardCharsets.US_ASCII));
        BufferedReader in = Programs.reader(socket);
        String line = in.readLine();
        if (line != null && line.startsWith("VA ")) {
            in.readLine();
        }
        return line;
    }

    @Test
    void classesComeAndGoUnderTheSameConnectionsAndABrokenFileChangesNothing() throws Exception {
        try (Programs programs = new Programs(folder, 2)) {
            Program program = programs.start().awaitHealth();
            String first = Files.readString(programs.config);
            try (Socket client = programs.client()) {
                assertTrue(ask(client, "mg 1 v O1 Pc=read,t=t,d=500").startsWith("VA "));
                assertEquals("CLIENT_ERROR unknown class", ask(client, "mg 1 v O2 Pc=list,t=t,d=500"));
                programs.settings = Programs.settings(LIST);
                Files.writeString(programs.config, programs.json());
                program.hangUp();
                program.awaitLine("3 classes");
                assertTrue(ask(client, "mg 1 v O3 Pc=list,t=t,d=500").startsWith("VA "));
                for (String broken : new String[] {"", "{", first.substring(0, first.length() / 2), "{}", "[]"}) {
                    Files.writeString(programs.config, broken);
                    program.hangUp();
                    program.awaitLine("the old configuration stays");
                    assertTrue(ask(client, "mg 1 v O4 Pc=list,t=t,d=500").startsWith("VA "));
                }
                Files.writeString(programs.config, first);
                program.hangUp();
                program.hangUp();
                program.awaitLine("2 classes");
                assertEquals("CLIENT_ERROR unknown class", ask(client, "mg 1 v O5 Pc=list,t=t,d=500"));
                assertTrue(ask(client, "mg 1 v O6 Pc=read,t=t,d=500").startsWith("VA "));
            }
            assertEquals(0, program.stop());
        }
    }

    /** Answers after a while, those whose key says so later. */
    private static final class Slow extends Programs.Host {
        private final AtomicInteger reads;

        Slow(String name, AtomicInteger reads) throws IOException {
            super(name);
            this.reads = reads;
        }

        @Override
        void answer(String line, String id, InputStream in, Socket socket) throws IOException {
            reads.incrementAndGet();
            try {
                TimeUnit.MILLISECONDS.sleep(line.startsWith("mg slow") ? 1_800 : 900);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            super.answer(line, id, in, socket);
        }
    }

    private static String listClass(String name) {
        return LIST.replace("\"list\"", "\"" + name + "\"").replace("700000000", "2300000000").replace("800000000", "2400000000");
    }

    /**
     * Guards against lost requests: an answer without room asked the settings in service for the class of a request that came under
     * earlier ones; where they had no such class neither it nor anything behind it on its connection was answered.
     */
    @Test
    void answersWithoutRoomGoByTheirOwnClass() throws Exception {
        int clients = 4;
        int reads = 60;
        AtomicInteger came = new AtomicInteger();
        try (Programs programs = new Programs(folder, new Slow("s-a", came), new Slow("s-b", came))) {
            programs.settings = Programs.settings(listClass("dropped") + listClass("list"));
            Program program = programs.start().awaitHealth();
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                StringBuilder all = new StringBuilder("mg slow" + i + " v O" + i + "x0 Pc=list,t=t,d=2400\r\n");
                for (int j = 1; j < reads; j++) {
                    all.append("mg bulk61440x").append(i * reads + j).append(" v O").append(i).append('x').append(j).append(" Pc=list,t=t,d=2400\r\n");
                }
                sockets.add(programs.client());
                sockets.get(i).getOutputStream().write(all.toString().getBytes(StandardCharsets.US_ASCII));
            }
            TimeUnit.MILLISECONDS.sleep(400);
            assertTrue(came.get() > clients * reads / 2, came + " reads are at hosts");
            programs.settings = Programs.settings(listClass("list"));
            Files.writeString(programs.config, programs.json());
            program.hangUp();
            program.awaitLine("3 classes");
            int busy = 0;
            for (Socket socket : sockets) {
                // Half a second past their time they are lost, and the first look is 0.4 s behind the command.
                socket.setSoTimeout(2_400 + 550);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (int j = 0; j < reads; j++) {
                    String line = Programs.line(in);
                    assertNotNull(line, "answer " + j + ": " + program.child.log());
                    if (line.startsWith("VA ")) {
                        in.skipNBytes(Integer.parseInt(line.split(" ")[1]) + 2L);
                    } else {
                        assertTrue(line.startsWith("SERVER_ERROR busy"), line);
                        busy++;
                    }
                }
                socket.close();
            }
            assertTrue(busy > 0, "some found no room");
            assertEquals(0, program.stop());
        }
    }

    private String good() throws IOException {
        try (Programs programs = new Programs(folder, 1)) {
            programs.settings = Programs.settings(LIST);
            return programs.json();
        }
    }

    /** What is said instead of what, and the word of the refusal that finds it. */
    private static final String[][] BROKEN = {
        {"\"deadline-ns\":800000000", "\"deadline-ns\":0", "deadline-ns"},
        {"\"deadline-ns\":800000000", "\"deadline-ns\":-1", "deadline-ns"},
        {"\"deadline-ns\":800000000", "\"deadline-ns\":\"long\"", "deadline-ns"},
        {"\"deadline-ns\":800000000", "\"deadline-ns\":\"800000000\"", "deadline-ns"},
        {"\"deadline-ns\":800000000", "\"deadline-ns\":null", "deadline-ns"},
        {"\"deadline-ns\":800000000", "\"deadline\":800000000", "deadline-ns"},
        {"\"goal-time-ns\":700000000", "\"goal-time-ns\":0", "goal-time-ns"},
        {"\"name\":\"list\"", "\"name\":\"read\"", "name"},
        {"\"name\":\"list\"", "\"name\":\"\"", "name"},
        {"\"name\":\"list\",\"effect\":\"retryable\"", "\"name\":\"list\",\"effect\":\"often\"", "effect"},
        {"\"name\":\"list\",\"effect\":\"retryable\",", "\"name\":\"list\",", "effect"},
        {"\"name\":\"list\",\"effect\":\"retryable\",\"group\":\"all\"", "\"name\":\"list\",\"effect\":\"dedup\"", "group"},
        {"\"max-attempts\":4,", "", "max-attempts"},
        {"\"max-attempts\":4", "\"max-attempts\":0", "max-attempts"},
        {"\"max-attempts\":4", "\"max-attempts\":-4", "max-attempts"},
        {"\"max-attempts\":4", "\"max-attempts\":\"four\"", "max-attempts"},
        {"\"max-attempts\":4", "\"max-attempts\":1.5", "max-attempts"},
        {"\"stop-sending-within-ns\":1000000000,", "", "stop-sending-within-ns"},
        {"\"guarantees\"", "\"guaranties\"", "guarantees"},
        {"\"zones\":[\"a\"]", "\"zones\":[\"b\"]", "zones"},
        {"\"zones\":[\"a\"]", "\"zones\":[]", "zones"},
        {"\"settings\"", "\"set\"", "settings"},
        {"\"discovery\":\"127.0.0.1:1\",", "", "discovery"},
        {"\"discovery\":\"127.0.0.1:1\"", "\"discovery\":7", "discovery"},
        {"\"discovery\":\"127.0.0.1:1\"", "\"discovery\":\"nowhere\"", "nowhere"},
        {"\"tenants\":[{\"name\":\"t\",", "\"tenants\":[{", "name"},
        {"\"may-duplicate\":true", "\"may-duplicate\":1", "may-duplicate"},
    };

    @Test
    void everyBrokenFileIsRefusedByItsKeyAndTheOneInServiceStays() throws IOException {
        String good = good();
        Path path = Files.writeString(folder.resolve("taken.json"), good);
        ConfigFile file = new ConfigFile(path.toString());
        Config before = file.config();
        for (String[] row : BROKEN) {
            assertTrue(good.contains(row[0]), row[0]);
            Files.writeString(path, good.replace(row[0], row[1]));
            String why = assertThrows(ConfigException.class, file::read, row[1]).getMessage();
            assertTrue(why.contains(row[2]), () -> row[1] + ": " + why);
            assertTrue(file.config() == before);
        }
        Files.writeString(path, good.replace(LIST, ""));
        assertEquals(2, file.read().site().settings.classes().size(), "a class may be dropped");
        Files.writeString(path, good);
        assertEquals(3, file.read().site().settings.classes().size(), "and come back");
    }

    /** A file that is being written is a file that is cut off. */
    @Property(tries = 200)
    void aFileCutAnywhereIsRefused(@ForAll @IntRange(max = 100_000) int at) throws IOException {
        Path own = Files.createTempDirectory("retune");
        try {
            folder = own;
            String good = good();
            Path path = Files.writeString(own.resolve("taken.json"), good);
            ConfigFile file = new ConfigFile(path.toString());
            Files.writeString(path, good.substring(0, at % good.length()));
            assertThrows(ConfigException.class, file::read);
        } finally {
            Files.deleteIfExists(own.resolve("taken.json"));
            Files.deleteIfExists(own.resolve("tmp"));
            Files.deleteIfExists(own);
        }
    }
}
