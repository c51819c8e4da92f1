package eiderscale.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.InetAddress;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a way does with bytes and with the ends of connections while it is whole, cut, and whole again. */
class RelayTest {
    private static final int LIMIT_MS = 20_000;
    private static final int QUIET_MS = 100;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private ServerSocket target;
    private Relay relay;

    @BeforeEach
    void start() throws Exception {
        target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        relay = new Relay(loops.next(), () -> (InetSocketAddress) target.getLocalSocketAddress());
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        target.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Socket client() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.address().getPort());
        socket.setSoTimeout(LIMIT_MS);
        return socket;
    }

    private Socket accepted() throws IOException {
        target.setSoTimeout(LIMIT_MS);
        Socket socket = target.accept();
        socket.setSoTimeout(LIMIT_MS);
        return socket;
    }

    private static String read(Socket socket, int length) throws IOException {
        InputStream in = socket.getInputStream();
        return new String(in.readNBytes(length));
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(LIMIT_MS);
    }

    @Test
    void bytesPassBothWaysInOrderAndTheEndBehindThem() throws Exception {
        try (Socket client = client(); Socket server = accepted()) {
            client.getOutputStream().write("one".getBytes());
            client.getOutputStream().write("two".getBytes());
            assertEquals("onetwo", read(server, 6));
            server.getOutputStream().write("back".getBytes());
            server.shutdownOutput();
            assertEquals("back", read(client, 4));
            assertEquals(-1, client.getInputStream().read());
        }
    }

    @Test
    void aRepeatedAnswerComesAgainWhenTheNextRequestPasses() throws Exception {
        relay.repeat(true);
        try (Socket client = client(); Socket server = accepted()) {
            client.getOutputStream().write("one".getBytes());
            assertEquals("one", read(server, 3));
            server.getOutputStream().write("back".getBytes());
            assertEquals("back", read(client, 4));
            assertSilent(client);
            client.getOutputStream().write("two".getBytes());
            assertEquals("back", read(client, 4));
            assertEquals("two", read(server, 3));
        }
    }

    @Test
    void whatWaitsWhileTheWayIsCutGoesOnInOrderWhenItIsWhole() throws Exception {
        try (Socket client = client(); Socket server = accepted()) {
            relay.cut(true, true);
            client.getOutputStream().write("held".getBytes());
            server.getOutputStream().write("held too".getBytes());
            assertSilent(server);
            assertSilent(client);
            relay.cut(false, false);
            assertEquals("held", read(server, 4));
            assertEquals("held too", read(client, 8));
        }
    }

    @Test
    void oneWayAloneCanBeCut() throws Exception {
        try (Socket client = client(); Socket server = accepted()) {
            relay.cut(false, true);
            client.getOutputStream().write("there".getBytes());
            assertEquals("there", read(server, 5));
            server.getOutputStream().write("back".getBytes());
            assertSilent(client);
        }
    }

    /** The sender gave up meanwhile: nobody sends that again, and the far end never sees it. */
    @Test
    void whatItsSenderHasClosedDuringACutIsGone() throws Exception {
        try (Socket server = connectedAndLeftDuringACut()) {
            relay.cut(false, false);
            assertEquals(-1, server.getInputStream().read());
        }
        relay.cut(true, true);
        try (Socket late = client()) {
            late.getOutputStream().write("never".getBytes());
        }
        awaitNobody(2);
        relay.cut(false, false);
        try (Socket next = client(); Socket server = accepted()) {
            next.getOutputStream().write("next".getBytes());
            assertEquals("next", read(server, 4), "the one that left first never came up");
        }
    }

    private Socket connectedAndLeftDuringACut() throws Exception {
        Socket server;
        try (Socket client = client()) {
            server = accepted();
            relay.cut(true, true);
            client.getOutputStream().write("gone".getBytes());
            assertSilent(server);
        }
        awaitNobody(1);
        return server;
    }

    /** Until so many have come in all, and have gone. */
    private void awaitNobody(int came) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS);
        while (relay.accepted() < came || relay.connections() > 0) {
            assertTrue(System.nanoTime() < end, "it has noticed no close");
            Thread.sleep(2);
        }
        // The count falls a moment before the relay's handlers hear of the close.
        for (int i = 0; i < 3; i++) {
            loops.next().submit(() -> { }).syncUninterruptibly();
        }
    }

    @Test
    void whereNobodyListensTheConnectionEnds() throws Exception {
        target.close();
        try (Socket client = client()) {
            int first;
            try {
                first = client.getInputStream().read();
            } catch (IOException e) {
                first = -1;
            }
            assertEquals(-1, first);
        }
    }
}
