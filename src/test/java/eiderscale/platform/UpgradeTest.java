package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.platform.Programs.Program;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** One process takes over from another, as the platform starts it: at the same address, with the same folder. */
class UpgradeTest {
    /** In turn; more are for a distribution, by hand: -Dupgrades=20. */
    private static final int UPGRADES = Integer.getInteger("upgrades", 4);
    /** Both processes together, in megabytes: what the operators' days grant both. */
    private static final long MOST_MEMORY = 208;
    private static final int CLIENTS = 12;
    /** On which a request is sent while listeners close. */
    private static final int MOST_CONNECTIONS = 20;

    @TempDir
    Path folder;

    /** Clients that keep their connections and ask again and again; one that finds its connection ended asks on another. */
    private static final class Load {
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger atTheDoor = new AtomicInteger();
        final AtomicInteger lost = new AtomicInteger();
        private final AtomicBoolean over = new AtomicBoolean();
        private final List<Thread> threads = new ArrayList<>();

        Load(Programs programs) {
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread thread = new Thread(() -> run(programs, number));
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
        }

        private void run(Programs programs, int number) {
            long asked = 0;
            while (!over.get()) {
                try (Socket socket = programs.client()) {
                    BufferedReader in = Programs.reader(socket);
                    while (!over.get()) {
                        String id = "Oc" + number + "x" + ++asked;
                        socket.getOutputStream().write(("mg " + asked + " v " + id + " Pc=read,t=t,d=900\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                        String line = in.readLine();
                        if (line == null) {
                            // An orderly end with not a byte of an answer: it was not read.
                            atTheDoor.incrementAndGet();
                            break;
                        }
                        (line.startsWith("VA ") && line.endsWith(id) && in.readLine() != null ? served : lost).incrementAndGet();
                        Thread.sleep(2 + number);
                        if (ended(socket)) {
                            break;
                        }
                    }
                } catch (IOException e) {
                    atTheDoor.incrementAndGet();
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        /** Whether the far end has closed, as a client sees it that looks before it asks. */
        private static boolean ended(Socket socket) throws IOException {
            if (socket.getInputStream().available() > 0) {
                return false;
            }
            socket.setSoTimeout(1);
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } finally {
                socket.setSoTimeout(Programs.LIMIT_MS);
            }
        }

        void end() throws InterruptedException {
            over.set(true);
            for (Thread thread : threads) {
                thread.join(Programs.LIMIT_MS);
            }
        }
    }

    /** Guards against effects that happen twice: an unsafe id came again at the other process after its client had left. */
    @Test
    void anUnsafeIdRunsAtOneOfTwoProcesses() throws Exception {
        int connections = 24;
        Programs.Host host = new Programs.Host("s-0") {
            @Override
            void answer(String line, String id, java.io.InputStream in, Socket socket) throws IOException {
                if (line.startsWith("ms once ")) {
                    pause(1_500);
                }
                super.answer(line, id, in, socket);
            }
        };
        try (Programs programs = new Programs(folder, host)) {
            programs.patient(4_000);
            Program old = programs.start().awaitHealth();
            byte[] once = "ms once 1 Oonce Pc=copy,t=t,d=4000\r\nx\r\n".getBytes(StandardCharsets.US_ASCII);
            Socket leaves = programs.client();
            leaves.getOutputStream().write(once);
            Program fresh = programs.start().awaitHealth();
            leaves.close();
            // Each of the two processes has some of these.
            for (int i = 0; i < connections; i++) {
                try (Socket again = programs.client()) {
                    again.getOutputStream().write(once);
                    assertTrue(Programs.reader(again).readLine().startsWith("CLIENT_ERROR id "), "not again");
                }
            }
            assertEquals(1, host.commands.stream().filter(line -> line.startsWith("ms once ")).count());
            assertEquals(0, old.stop());
            try (Socket other = programs.client()) {
                other.getOutputStream().write("ms two 1 Otwo Pc=copy,t=t,d=4000\r\nx\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals("HD Otwo c7", Programs.reader(other).readLine());
            }
            assertEquals(0, fresh.stop());
        }
    }

    /**
     * Guards against effects that happen twice: a third process that started while the first one still drained found no place, asked
     * nobody, and served ids that were open at the second.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 300, 500})
    void anUnsafeIdRunsAtOneOfThreeProcesses(int apartMs) throws Exception {
        int requests = 8;
        Programs.Host host = new Programs.Host("s-0") {
            @Override
            void answer(String line, String id, java.io.InputStream in, Socket socket) throws IOException {
                if (line.startsWith("ms held") || line.startsWith("ms once")) {
                    pause(2_500);
                }
                super.answer(line, id, in, socket);
            }
        };
        try (Programs programs = new Programs(folder, host)) {
            programs.patient(4_000);
            Program first = programs.start().awaitHealth();
            // Holds the first process up: it drains for as long as this is open.
            Socket held = programs.client();
            held.getOutputStream().write(command("held"));
            Program second = programs.start().awaitHealth();
            first.signal("TERM");
            first.awaitLine("a successor takes clients");
            List<Socket> leave = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                leave.add(sentToHost(programs, host, "once" + i));
            }
            for (Socket socket : leave) {
                socket.close();
            }
            Thread.sleep(apartMs);
            Program third = programs.start().awaitHealth();
            second.signal("TERM");
            second.awaitLine("stops");
            for (int i = 0; i < requests; i++) {
                String answer = answered(programs, "once" + i);
                assertTrue(answer.startsWith("CLIENT_ERROR id "), () -> answer + " of " + first.child.log() + second.child.log()
                        + third.child.log());
            }
            for (int i = 0; i < requests; i++) {
                String key = "ms once" + i + " ";
                assertEquals(1, host.commands.stream().filter(line -> line.startsWith(key)).count(), key);
            }
            held.close();
            assertEquals(0, first.end());
            assertEquals(0, second.end());
            assertEquals(0, third.stop());
        }
    }

    /** Guards against effects that happen twice: where a claim on an id could not be made, both processes carried it out. */
    @Test
    void unsafeRequestsAreRefusedWhereTheirIdsCanNotBeClaimed() throws Exception {
        try (Programs programs = new Programs(folder, 1)) {
            Program old = programs.start().awaitHealth();
            // No folder can be made there.
            Path claims = Files.writeString(folder.resolve("tmp").resolve("stairshelf-n1.ids"), "");
            Program fresh = programs.start().awaitHealth();
            for (int i = 0; i < CLIENTS; i++) {
                try (Socket client = programs.client()) {
                    client.getOutputStream().write(command("once" + i));
                    String answer = Programs.reader(client).readLine();
                    assertTrue(answer.startsWith("SERVER_ERROR busy"), answer);
                }
            }
            ask(programs, CLIENTS);
            Files.delete(claims);
            assertEquals(0, programs.hosts.get(0).commands.stream().filter(line -> line.startsWith("ms ")).count());
            assertEquals(0, old.stop());
            assertEquals(0, fresh.stop());
        }
    }

    /**
     * A client whose request has come to the host. A connection that reaches a listener in the moment of its close is reset unread;
     * its client asks once more on another one.
     */
    private static Socket sentToHost(Programs programs, Programs.Host host, String key) throws Exception {
        for (int i = 0; i < MOST_CONNECTIONS; i++) {
            Socket client = programs.client();
            client.getOutputStream().write(command(key));
            client.setSoTimeout(5);
            while (host.commands.stream().noneMatch(line -> line.startsWith("ms " + key + " "))) {
                if (hasEnded(client)) {
                    break;
                }
            }
            if (!hasEnded(client)) {
                return client;
            }
            client.close();
        }
        throw new AssertionError("never taken: " + key);
    }

    /** Whether the far end has closed or reset a connection on which nothing is answered. */
    private static boolean hasEnded(Socket client) {
        try {
            assertTrue(client.getInputStream().read() < 0, "nothing is answered yet");
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** The answer to a request, on as many connections as end unread. */
    private static String answered(Programs programs, String key) {
        for (int i = 0; i < MOST_CONNECTIONS; i++) {
            try (Socket client = programs.client()) {
                client.getOutputStream().write(command(key));
                String answer = Programs.reader(client).readLine();
                if (answer != null) {
                    return answer;
                }
            } catch (IOException e) {
                // Reset unread, as the listener closed.
            }
        }
        throw new AssertionError("never answered: " + key);
    }

    private static byte[] command(String key) {
        return ("ms " + key + " 1 O" + key + " Pc=copy,t=t,d=4000\r\nx\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    private static void pause(int ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Test
    void upgradesUnderLoadLoseNothingAndMeetFewClosedDoors() throws Exception {
        try (Programs programs = new Programs(folder, 3)) {
            Program old = programs.start().awaitHealth();
            Load load = new Load(programs);
            List<Integer> doors = new ArrayList<>();
            List<Long> memory = new ArrayList<>();
            for (int i = 0; i < UPGRADES; i++) {
                Program fresh = programs.start().awaitHealth();
                int before = load.atTheDoor.get();
                memory.add(old.child.residentMb() + fresh.child.residentMb());
                assertEquals(0, old.stop(), () -> fresh.child.log().toString());
                old.awaitLine("a successor takes clients");
                doors.add(load.atTheDoor.get() - before);
                old = fresh;
            }
            load.end();
            assertEquals(0, load.lost.get());
            assertTrue(load.served.get() > 0);
            System.out.println("requests at a closed door, by upgrade: " + doors + ", served " + load.served + "; memory of both, MB: "
                    + memory);
            assertTrue(memory.stream().allMatch(both -> both < MOST_MEMORY), memory::toString);
            assertTrue(doors.stream().allMatch(met -> met <= 2), doors::toString);
            assertEquals(0, old.stop());
        }
    }

    private static void ask(Programs programs, int times) throws IOException {
        for (int i = 0; i < times; i++) {
            try (Socket socket = programs.client()) {
                socket.getOutputStream().write(("mg " + i * 7919 + " v Oq" + i + " Pc=read,t=t,d=900\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                assertTrue(Programs.reader(socket).readLine().startsWith("VA "));
            }
        }
    }

    private static boolean gets(Programs programs, int host, int askedTimes) throws IOException {
        int before = programs.hosts.get(host).commands.size();
        ask(programs, askedTimes);
        return programs.hosts.get(host).commands.size() > before;
    }

    /** It may be cold, and gets its first request when its budget has grown to one: that takes time, not requests. */
    private static boolean getsInTheEnd(Programs programs, int host) throws IOException {
        long end = System.nanoTime() + Programs.LIMIT_MS * 1_000_000L;
        boolean got = gets(programs, host, 20);
        while (!got && System.nanoTime() < end) {
            got = gets(programs, host, 20);
        }
        return got;
    }

    @Test
    void aHostThatIsOutStaysOutOverAnUpgradeAndComesBackAfterIt() throws Exception {
        try (Programs programs = new Programs(folder, 3)) {
            Program old = programs.start().awaitHealth();
            assertTrue(gets(programs, 1, 60));
            assertTrue(old.call("OFFLINE s-9").startsWith("400"));
            assertTrue(old.call("OFFLINE s-1").startsWith("200"));
            assertTrue(!gets(programs, 1, 60), "from the yes on");
            // Over a list of hosts that is told anew with other settings, too.
            programs.settings = Programs.settings(",{\"name\":\"list\",\"effect\":\"retryable\",\"group\":\"all\",\"goal-time-ns\":700000000,"
                    + "\"deadline-ns\":800000000}");
            Files.writeString(programs.config, programs.json());
            old.hangUp();
            old.awaitLine("3 classes");
            assertTrue(!gets(programs, 1, 60), "after SIGHUP");
            Program fresh = programs.start().awaitHealth();
            assertTrue(!gets(programs, 1, 60), "two processes");
            // One that is taken out at either while both run is out at the other a moment later.
            assertTrue(fresh.call("OFFLINE s-2").startsWith("200"));
            assertEquals(0, old.stop());
            assertTrue(!gets(programs, 1, 60) && !gets(programs, 2, 60), "the new one alone");
            assertTrue(fresh.call("ONLINE s-1").startsWith("200"));
            assertTrue(getsInTheEnd(programs, 1), "used again");
            assertTrue(!gets(programs, 2, 60));
            assertEquals(0, fresh.stop());
        }
    }

    /** Neither a new process that dies before its yes nor an old one that dies without a word harms the other. */
    @Test
    void aKilledProcessIsNoPartOfAnUpgrade() throws Exception {
        try (Programs programs = new Programs(folder, 2)) {
            Program old = programs.start().awaitHealth();
            assertTrue(old.call("OFFLINE s-1").startsWith("200"));
            Program stillborn = programs.start();
            stillborn.signal("KILL");
            stillborn.end();
            Program next = programs.start().awaitHealth();
            old.signal("KILL");
            old.end();
            assertTrue(!gets(programs, 1, 40));
            // The place of the first is free, and what the next one hands on is told to a third.
            Program third = programs.start().awaitHealth();
            assertEquals(0, next.stop());
            assertTrue(!gets(programs, 1, 40));
            assertEquals(0, third.stop());
        }
    }

    /** A first process that stands still tells nothing; killed in that moment it leaves its place. */
    @Test
    void anOldProcessThatIsKilledInTheMiddleOfAHandOverHoldsNobodyUp() throws Exception {
        try (Programs programs = new Programs(folder, 2)) {
            Program old = programs.start().awaitHealth();
            assertTrue(old.call("OFFLINE s-1").startsWith("200"));
            old.signal("STOP");
            Program next = programs.start();
            // It has asked and waits for an answer.
            long end = System.nanoTime() + Programs.LIMIT_MS * 1_000_000L;
            while (!Files.exists(folder.resolve("tmp").resolve("stairshelf-n1.ask")) && System.nanoTime() < end) {
                Thread.sleep(1);
            }
            old.signal("KILL");
            old.end();
            next.awaitLine("tells nothing");
            next.awaitHealth();
            assertTrue(!gets(programs, 1, 40), "what is out stays out: that was told to both at once");
            assertEquals(0, next.stop());
        }
    }

    @Test
    void operatorsAreAnsweredBesideALoadAndThousandsWhoSayNothing() throws Exception {
        try (Programs programs = new Programs(folder, 3)) {
            Program program = programs.start().awaitHealth();
            Load load = new Load(programs);
            java.util.Deque<Socket> silent = new java.util.ArrayDeque<>();
            List<Long> took = new ArrayList<>();
            for (int i = 0; i < 2_000; i++) {
                Socket one = new Socket(java.net.InetAddress.getLoopbackAddress(), program.control());
                silent.add(one);
                if (i % 2 == 0) {
                    one.getOutputStream().write("OFFL".getBytes(StandardCharsets.US_ASCII));
                }
                if (silent.size() > 400) {
                    silent.remove().close();
                }
                if (i % 10 == 0) {
                    long begun = System.nanoTime();
                    assertTrue(program.call(i % 20 == 0 ? "HEALTH" : "ONLINE s-1").startsWith("200"));
                    took.add(System.nanoTime() - begun);
                }
            }
            load.end();
            for (Socket one : silent) {
                one.close();
            }
            took.sort(null);
            System.out.printf("operators' calls under load: median %.1f ms, p99 %.1f ms%n", took.get(took.size() / 2) / 1e6,
                    took.get(took.size() * 99 / 100) / 1e6);
            assertEquals(0, load.lost.get());
            assertTrue(load.served.get() > 0);
            assertEquals(0, program.stop());
        }
    }

    @Test
    void aTornWordOfTheProcessBeforeIsNotBelieved() throws Exception {
        try (Programs programs = new Programs(folder, 2)) {
            Files.writeString(folder.resolve("tmp").resolve("stairshelf-n1.calls"), "stairshelf-knowledge 1 n6e31 400 0\n{\"calls\":[");
            Program alone = programs.start().awaitHealth();
            alone.awaitLine("are refused: it is not whole");
            assertTrue(gets(programs, 0, 20) | gets(programs, 1, 20));
            assertEquals(0, alone.stop());
        }
    }
}
