package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How answers go to a client's socket, on loopback. */
class ClientOutputTest {
    private static final int HEAD_BYTES = 300;
    private static final int BODY_BYTES = 100_003;
    private static final int ANSWERS = 300;
    private static final long BYTES = (long) ANSWERS * (HEAD_BYTES + BODY_BYTES);
    /** What a socket's queue holds at most. */
    private static final int WINDOW_BYTES = 16 * 1024;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Notes the pieces; on the loop. */
    private static final class Pieces implements ClientOutput.Listener {
        final List<Integer> sizes = new ArrayList<>();
        /** Bytes that wait. */
        long waiting;

        @Override
        public void onTaken() {
        }

        @Override
        public void onChange(int bytes) {
            waiting += bytes;
        }

        @Override
        public void onPiece(int bytes) {
            sizes.add(bytes);
        }

        @Override
        public void onStall() {
        }

        @Override
        public long stallTime() {
            return 30 * Clock.SECOND;
        }

        long sum() {
            return sizes.stream().mapToLong(Integer::longValue).sum();
        }
    }

    private interface OnConnection {
        void run(SocketChannel channel, Socket client) throws Exception;
    }

    private void connected(OnConnection task) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            SocketChannel channel = (SocketChannel) new Bootstrap().group(group).channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort())).sync().channel();
            try (Socket client = server.accept()) {
                task.run(channel, client);
            }
            channel.close().sync();
        }
    }

    private static void writeAnswers(ClientOutput output) {
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < ANSWERS; i++) {
            output.write(Unpooled.buffer(HEAD_BYTES).writeZero(HEAD_BYTES));
            output.write(Unpooled.wrappedBuffer(body));
        }
    }

    /**
     * Guards against a loop that stands still: whatever room a piece left was filled by one of its size, and each end of an answer
     * cut one in two, until all pieces had some bytes (silly window syndrome, RFC 1122, 4.2.3.4).
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void manyAnswersGoInPiecesOfAWorthwhileSize(long seed) throws Exception {
        connected((channel, client) -> {
            Pieces pieces = new Pieces();
            group.next().submit(() -> {
                ClientOutput output = new ClientOutput(channel, pieces);
                writeAnswers(output);
                output.flush();
            }).sync();
            SplittableRandom random = new SplittableRandom(seed);
            InputStream in = client.getInputStream();
            for (long read = 0; read < BYTES;) {
                read += in.readNBytes((int) Math.min(BYTES - read, random.nextInt(1, 64 * 1024))).length;
            }
            group.next().submit(() -> {
                assertEquals(BYTES, pieces.sum());
                // Half of a window at a time, and one more piece for each head and each body that ends within one.
                long most = BYTES / (WINDOW_BYTES / 2) + 2L * ANSWERS;
                assertTrue(pieces.sizes.size() <= most, pieces.sizes.size() + " pieces, " + most + " at most");
            }).sync();
        });
    }

    /** Guards against a loop that stands still: a client that reads at full speed had all that waited for it passed on in one turn. */
    @Test
    void oneClientGetsABoundedAmountInOneTurn() throws Exception {
        connected((channel, client) -> {
            Thread reader = new Thread(() -> {
                try {
                    client.getInputStream().readNBytes((int) BYTES);
                } catch (java.io.IOException e) {
                    // The test is over.
                }
            });
            reader.start();
            Pieces pieces = new Pieces();
            CountDownLatch over = new CountDownLatch(1);
            List<Long> turns = new ArrayList<>();
            group.next().submit(() -> {
                ClientOutput output = new ClientOutput(channel, pieces);
                writeAnswers(output);
                output.flush();
                noteTurn(pieces, turns, over);
            }).sync();
            assertTrue(over.await(Peer.LIMIT_MS, TimeUnit.MILLISECONDS));
            reader.join(Peer.LIMIT_MS);
            long most = turns.stream().mapToLong(Long::longValue).max().orElseThrow();
            assertTrue(most <= 512 * 1024, most + " bytes in one turn");
        });
    }

    private void noteTurn(Pieces pieces, List<Long> turns, CountDownLatch over) {
        turns.add(pieces.sum());
        pieces.sizes.clear();
        if (pieces.waiting == 0) {
            over.countDown();
        } else {
            group.next().execute(() -> noteTurn(pieces, turns, over));
        }
    }
}
