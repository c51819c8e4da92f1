package eiderscale.sidecar;

import eiderscale.knowledge.Answering;
import eiderscale.knowledge.Asking;
import eiderscale.knowledge.Knowledge;
import eiderscale.knowledge.Origin;
import eiderscale.knowledge.Recalled;
import eiderscale.knowledge.Refused;
import eiderscale.net.Clock;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Other instances of the same balancer: asked what they know where this one has lost it, and told what is known here. */
final class Peers {
    /** A whole answer takes no longer, connecting included. */
    private static final int PATIENCE_MS = 1_000;
    /** What a start waits for at the most: a peer's word that a host is out is wanted before the first request. */
    private static final long START_MS = 400;
    /** A record in one line; an answer that is longer is nobody's of ours. */
    private static final int MOST_ANSWER = 6 * 1024 * 1024;
    /** A record that is told is made anew no more often. */
    private static final long FRESH = Clock.SECOND;
    private static final String LATER = "400 later ";

    private final String balancer;
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final Asking asking;
    private final Consumer<String> log;
    private final Answering answering = new Answering();
    private String told;
    private long toldAt;

    /** {@code self}: where this one is called. */
    Peers(String balancer, InetSocketAddress self, List<InetSocketAddress> peers, long seed, Consumer<String> log) {
        this.balancer = balancer;
        this.log = log;
        peers.forEach(peer -> addresses.put(peer.toString(), peer));
        this.asking = new Asking(self.toString(), List.copyOf(addresses.keySet()), seed, Clock.now());
    }

    /** The answer to one that asks; on the loop. {@code known}: makes the record. */
    String answer(long now, Supplier<Knowledge> known) {
        long wait = answering.admit(now);
        if (wait > 0) {
            return LATER + (wait + Clock.MILLISECOND - 1) / Clock.MILLISECOND;
        }
        if (told == null || now - toldAt > FRESH) {
            told = "200 " + Base64.getEncoder().encodeToString(known.get().encode());
            toldAt = now;
        }
        return told;
    }

    /** Asks for as long as a start may wait; what is believed, or null for nothing yet. Blocks. */
    Recalled first() throws InterruptedException {
        long end = Clock.now() + START_MS * Clock.MILLISECOND;
        Recalled heard = null;
        for (Asking.Question next = asking.next(Clock.now()); next != null && next.at() < end && heard == null;
                next = asking.next(Clock.now())) {
            Thread.sleep(Math.max(0, (next.at() - Clock.now()) / Clock.MILLISECOND));
            heard = ask(next.peer(), Math.max(1, (int) ((end - Clock.now()) / Clock.MILLISECOND)));
        }
        return heard;
    }

    /** Goes on asking on a thread that may block, until somebody has told or none is left. */
    void goOn(ScheduledExecutorService blocking, Consumer<Recalled> hears) {
        Asking.Question next = asking.next(Clock.now());
        if (next != null) {
            blocking.schedule(() -> {
                Recalled heard = ask(next.peer(), PATIENCE_MS);
                if (heard != null) {
                    hears.accept(heard);
                } else {
                    goOn(blocking, hears);
                }
            }, Math.max(0, next.at() - Clock.now()), TimeUnit.NANOSECONDS);
        }
    }

    private Recalled ask(String peer, int patienceMs) {
        try {
            String answer = call(addresses.get(peer), patienceMs);
            if (answer.startsWith(LATER)) {
                asking.later(Clock.now(), peer, Long.parseLong(answer.substring(LATER.length())) * Clock.MILLISECOND);
                return null;
            }
            if (!answer.startsWith("200 ")) {
                throw new IOException("it tells nothing");
            }
            Knowledge known = Knowledge.decode(balancer, Base64.getDecoder().decode(answer.substring(4)));
            asking.told();
            log.accept("peers: told by " + peer);
            return Recalled.of(known, new Origin(balancer, 0, "", Clock.now()), Origin.Standing.MOVED, Clock.now(), 0);
        } catch (IOException | Refused | IllegalArgumentException e) {
            log.accept("peers: " + peer + ": " + e.getMessage());
            asking.failed(Clock.now(), peer);
            return null;
        }
    }

    private static String call(InetSocketAddress peer, int patienceMs) throws IOException {
        long end = System.nanoTime() + patienceMs * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(peer, patienceMs);
            socket.getOutputStream().write("KNOWN\n".getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            byte[] line = new byte[4096];
            int length = 0;
            while (true) {
                // Of one that drips its answer the whole counts.
                socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
                int read = in.read(line, length, line.length - length);
                for (int i = length; i < length + read; i++) {
                    if (line[i] == '\n') {
                        return new String(line, 0, i, StandardCharsets.ISO_8859_1).strip();
                    }
                }
                length += Math.max(0, read);
                if (read < 0 || length > MOST_ANSWER || System.nanoTime() > end) {
                    throw new IOException(read < 0 ? "it ended halfway" : length > MOST_ANSWER ? "its answer has no end" : "it takes too long");
                }
                if (length == line.length) {
                    line = Arrays.copyOf(line, 2 * length);
                }
            }
        }
    }
}
