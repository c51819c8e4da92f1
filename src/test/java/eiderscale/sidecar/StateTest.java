package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.config.Cases;
import eiderscale.fleet.Child;
import eiderscale.fleet.Keeper;
import eiderscale.standin.Injury;
import eiderscale.standin.StandInDiscovery;
import eiderscale.standin.StandInHost;
import eiderscale.standin.StandInOrigin;
import eiderscale.store.StateStore;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A sidecar's process is killed, and its folder is there, older, copied, another's, spoilt or gone when it comes back. */
class StateTest {
    @TempDir
    Path folder;

    private final NioEventLoopGroup world = new NioEventLoopGroup(1);
    private Keeper keeper;
    private StandInHost first;
    private StandInHost second;
    private Child child;

    @BeforeEach
    void begin() throws Exception {
        keeper = new Keeper();
        StandInOrigin origin = new StandInOrigin(0);
        first = new StandInHost(world.next(), origin);
        second = new StandInHost(world.next(), origin);
    }

    @AfterEach
    void end() throws Exception {
        keeper.close();
        first.close();
        second.close();
        world.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private String base() {
        return Cases.base(first.endpoint(), second.endpoint()).replace("[limits]", "[operators]\ncontrol = \"127.0.0.1:0\"\n\n"
                + "[state]\nfolder = \"state\"\nevery = \"100ms\"\n\n[limits]");
    }

    private Path state() {
        return folder.resolve("state");
    }

    private Child start(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("app.toml"), text);
        child = new Child(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
                "-Xshare:auto", "-XX:+UseSerialGC", "-Xmx96m", "-cp", System.getProperty("java.class.path"), "eiderscale.cli.Stairshelf",
                "sidecar", file.toString()), Map.of(), Path.of("").toAbsolutePath(), keeper);
        return child;
    }

    private InetSocketAddress at(String word) throws InterruptedException {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), child.port(word, Talk.LIMIT_MS));
    }

    private Talk client() throws Exception {
        return new Talk(at(" serves on 127.0.0.1:"));
    }

    private String call(String line) throws Exception {
        InetSocketAddress control = at("operators call");
        try (Socket socket = new Socket(control.getAddress(), control.getPort())) {
            socket.setSoTimeout(Talk.LIMIT_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)).readLine();
        }
    }

    private int tool(String... words) {
        return eiderscale.cli.Tools.run(words).code();
    }

    private String said(String... words) {
        return eiderscale.cli.Tools.run(words).text();
    }

    /** Until what is kept is on disk under its name: a kill may come before that. */
    private void awaitSigned() throws Exception {
        Fleet.await(() -> tool("state", "verify", state().toString()) == 0, "the state is signed");
    }

    private void read(int times) throws Exception {
        try (Talk talk = client()) {
            for (int i = 0; i < times; i++) {
                talk.ask("mg stmt:" + i + " v Oq" + System.nanoTime());
            }
        }
    }

    /** A host that an operator took out stays out over a crash, and over a copy of the folder; with another balancer's folder as well. */
    @Test
    void aHostThatIsOutStaysOutWhateverIsFound() throws Exception {
        start(base());
        assertTrue(call("OFFLINE second").startsWith("200"));
        Fleet.await(() -> said("state", "show", state().toString()).contains(" out, "), "the call is kept");
        child.kill();
        for (String how : List.of("as it was", "copied", "another's")) {
            if (how.equals("copied")) {
                Path copy = Files.copy(state().resolve(StateStore.FILE), folder.resolve("copy"));
                Files.move(copy, state().resolve(StateStore.FILE), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
            start(how.equals("another's") ? base().replace("application = \"portal\"", "application = \"desk\"") : base());
            String word = how.equals("as it was") ? "by this balancer" : how.equals("copied") ? "a copy" : "written by 'portal'";
            child.await(line -> line.contains("state: ") && line.contains(word), Talk.LIMIT_MS);
            long before = second.commands();
            read(40);
            assertEquals(before, second.commands(), how);
            child.kill();
        }
        assertEquals(0, tool("state", "verify", state().toString()));
        start(base().replace("application = \"portal\"", "application = \"desk\""));
        assertTrue(call("ONLINE second").startsWith("200"));
        Fleet.await(() -> {
            read(10);
            return second.commands() > 0;
        }, "it is used again");
    }

    /** Two processes on one folder: the second serves and keeps nothing, until the first is gone. */
    @Test
    void theSecondOnAFolderKeepsNothingUntilTheFirstIsGone() throws Exception {
        start(base());
        at(" serves on 127.0.0.1:");
        awaitSigned();
        Child one = child;
        start(base());
        child.await(line -> line.contains("another process has"), Talk.LIMIT_MS);
        read(5);
        one.kill();
        child.await(line -> line.contains("state: written") && line.contains("by this balancer"), Talk.LIMIT_MS);
        assertEquals(0, child.stop(Talk.LIMIT_MS));
    }

    /** Killed in the middle of durable writes, again and again: whatever ran and was not answered is named. */
    @Test
    void whatRanUnansweredIsNamedAfterACrash() throws Exception {
        String durable = base().replaceFirst("effect = \"unsafe\"\naim", "effect = \"unsafe\"\ndurable = true\naim");
        // The last ones of each round run and are never answered.
        first.script(command -> new StandInHost.Turn(command.id().startsWith("k") ? Injury.DROP : Injury.NONE, 3));
        second.script(command -> new StandInHost.Turn(command.id().startsWith("k") ? Injury.DROP : Injury.NONE, 3));
        Set<String> answered = new HashSet<>();
        Set<String> asked = new HashSet<>();
        Set<String> refused = new HashSet<>();
        int unanswered = 0;
        for (int round = 0; round < Integer.getInteger("state.kills", 4); round++) {
            start(durable);
            at(" serves on 127.0.0.1:");
            long end = System.nanoTime() + 100_000_000L + round * 37_000_000L % 150_000_000L;
            List<Talk> talks = new java.util.ArrayList<>();
            List<String> ids = new java.util.ArrayList<>();
            for (int i = 0; i < 8; i++) {
                talks.add(client());
            }
            boolean last = false;
            for (int i = 0; !last; i++) {
                last = System.nanoTime() >= end;
                ids.clear();
                for (int j = 0; j < talks.size(); j++) {
                    String id = (last ? "k" : "r") + round + "x" + i + "x" + j;
                    ids.add(id);
                    asked.add(id);
                    talks.get(j).send("ms copy:" + id + " 1 O" + id + " Pc=request-copy\r\nx\r\n");
                }
                if (!last) {
                    for (int j = 0; j < talks.size(); j++) {
                        String answer = talks.get(j).answer();
                        assertTrue(answer != null && (answer.startsWith("HD ") || answer.startsWith("SERVER_ERROR ")), answer);
                        // On a busy machine one may be refused, or fail by its time.
                        (answer.startsWith("SERVER_ERROR busy") ? refused : answered).add(ids.get(j));
                    }
                }
            }
            // Of the last ones so many have come to run, and some are on their way.
            int most = 1 + round % 5;
            Fleet.await(() -> ids.stream().mapToInt(id -> first.runs(id) + second.runs(id)).sum() >= most, "some run");
            child.kill();
            for (Talk talk : talks) {
                talk.close();
            }
        }
        String named = said("state", "may-have-run", state().toString());
        for (String id : asked) {
            boolean ran = first.runs(id) + second.runs(id) > 0;
            assertTrue(!ran || !refused.contains(id), id + " was refused and ran");
            if (ran && !answered.contains(id)) {
                unanswered++;
                assertTrue(named.contains(" id " + id + " "), id + " ran and is not named:\n" + named);
            }
        }
        assertTrue(unanswered >= 4, "ran unanswered: " + unanswered);
        System.out.println(unanswered + " ran unanswered, " + named.lines().count() + " are named");
        start(durable);
        child.await(line -> named.isEmpty() || line.contains("may have run unanswered before"), Talk.LIMIT_MS);
        at(" serves on 127.0.0.1:");
        at("operators call");
        assertEquals(0, child.stop(Talk.LIMIT_MS));
        assertEquals(0, tool("state", "may-have-run", "--forget", state().toString()));
        assertEquals("", said("state", "may-have-run", state().toString()));
    }

    private String withPeers(List<InetSocketAddress> peers) {
        return base().replace("[limits]", "[peers]\ncontrol = [" + peers.stream().map(peer -> "\"127.0.0.1:" + peer.getPort() + "\"")
                .collect(java.util.stream.Collectors.joining(", ")) + "]\n\n[limits]");
    }

    /** The folder is lost, and another instance knows that a host is out: the first request of all keeps to that. */
    @Test
    void whatAnotherInstanceKnowsOutlivesTheFolder() throws Exception {
        InetSocketAddress nobody = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        start(withPeers(List.of(nobody)).replace("folder = \"state\"", "folder = \"another\""));
        assertTrue(call("OFFLINE second").startsWith("200"));
        InetSocketAddress peer = at("operators call");
        start(withPeers(List.of(peer)));
        child.await(line -> line.contains("peers: told by"), Talk.LIMIT_MS);
        long before = second.commands();
        read(40);
        assertEquals(before, second.commands());
        awaitSigned();
        child.kill();
        start(withPeers(List.of(peer)));
        at(" serves on 127.0.0.1:");
        read(20);
        assertEquals(before, second.commands(), "by its own folder");
        assertTrue(child.log().stream().noneMatch(line -> line.contains("told by")), "and nobody was asked");
    }

    /** Peers that are dead, silent, noisy, endless, another application's, or put it off for ever: it starts, and hears the one that is good. */
    @Test
    void badPeersCostNothingButTheirWord() throws Exception {
        start(withPeers(List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 1))).replace("folder = \"state\"", "folder = \"another\""));
        assertTrue(call("OFFLINE second").startsWith("200"));
        InetSocketAddress good = at("operators call");
        start(withPeers(List.of(good)).replace("folder = \"state\"", "folder = \"third\"").replace("application = \"portal\"",
                "application = \"desk\""));
        InetSocketAddress other = at("operators call");
        List<java.net.ServerSocket> liars = new java.util.ArrayList<>();
        try {
            for (String answer : List.of("", "noise\n", "200 !!!\n", "200 aGVsbG8=\n", "400 later 99999999\n", "400 later -3\n", "400 later x\n")) {
                liars.add(liar(answer));
            }
            List<InetSocketAddress> peers = new java.util.ArrayList<>(List.of(good, other, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1)));
            liars.forEach(liar -> peers.add((InetSocketAddress) liar.getLocalSocketAddress()));
            start(withPeers(peers));
            at(" serves on 127.0.0.1:");
            read(5);
            child.await(line -> line.contains("peers: told by /127.0.0.1:" + good.getPort()), Talk.LIMIT_MS);
            Fleet.await(() -> {
                long before = second.commands();
                read(20);
                return second.commands() == before;
            }, "it keeps to what the good one says");
            assertEquals(0, child.stop(Talk.LIMIT_MS));
        } finally {
            for (java.net.ServerSocket liar : liars) {
                liar.close();
            }
        }
    }

    /** Answers everybody the same, and nobody where that is empty. */
    private static java.net.ServerSocket liar(String answer) throws IOException {
        java.net.ServerSocket server = new java.net.ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> {
            List<Socket> held = new java.util.ArrayList<>();
            try {
                while (true) {
                    Socket socket = server.accept();
                    held.add(socket);
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    /** With a list from before, nothing goes to a host that drained while the process was away, though discovery takes its time. */
    @Test
    void aListFromBeforeIsAskedAnewBeforeAnythingBegins() throws Exception {
        try (StandInDiscovery discovery = new StandInDiscovery(world.next())) {
            discovery.put("first", first.endpoint(), "Ready", 0);
            discovery.put("second", second.endpoint(), "Ready", 0);
            String text = base().replaceAll("source = \"static\"\nhosts = .*\n", "source = \"discovery\"\ndiscovery = \""
                    + discovery.endpoint() + "\"\n");
            start(text);
            try (Talk talk = client()) {
                Fleet.await(() -> talk.ask("mg stmt:1 v Oa" + System.nanoTime()).startsWith("VA "), "it serves");
            }
            Fleet.await(() -> said("state", "show", state().toString()).contains("list: from"), "the list is kept");
            child.kill();
            discovery.put("second", second.endpoint(), "Terminating", 0);
            discovery.takes(100_000_000L);
            long before = second.commands();
            start(text);
            try (Talk talk = client()) {
                String answer = talk.ask("mg stmt:1 v Ofirst");
                assertTrue(answer.startsWith("VA "), answer + child.log() + "the first request of all is served, no sooner than the list is told");
                for (int i = 0; i < 40; i++) {
                    assertTrue(talk.ask("mg stmt:" + i + " v Or" + i).startsWith("VA "));
                }
            }
            assertEquals(before, second.commands());
        }
    }

    /** Whatever lies in the folder, it starts and serves. */
    @Test
    void aSpoiltOrUnwritableFolderKeepsNobodyFromServing() throws Exception {
        Files.createDirectory(state());
        Files.write(state().resolve(StateStore.FILE), new byte[12_345]);
        start(base());
        child.await(line -> line.contains("lies beside a new one"), Talk.LIMIT_MS);
        read(5);
        child.kill();
        assertFalse(Files.size(state().resolve(StateStore.FILE + ".broken")) == 0);
        Files.delete(state().resolve(StateStore.FILE));
        Files.createDirectory(state().resolve(StateStore.FILE));
        start(base());
        child.await(line -> line.contains("cannot be used: nothing is kept"), Talk.LIMIT_MS);
        read(5);
        assertEquals(0, child.stop(Talk.LIMIT_MS));
    }
}
