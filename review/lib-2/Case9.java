import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send some hundred GETs of one stored response in one go, and read what they are sent, beside others that ask for
 * something short now and then. Without the disruption the same GETs are sent one behind the answer to the other.
 */
final class Case9 {
    private static final int CROWD = 3;
    private static final int GETS = 900;
    private static final int VALUE_BYTES = 1_000_000;
    private static final int OTHERS = 5;
    private static final long PAUSE_MS = 100;
    /** The deadline of the class, half a second in which an answer is only late, and 50 ms. */
    private static final int LOST_MS = 500 + 500 + 50;
    private static final long MOST_MS = 30_000;

    private static final String REQUEST = "GET /statements/hot HTTP/1.1\r\nhost: portal\r\n\r\n";

    private Case9() {
    }

    private static int run(Kit kit) throws Exception {
        String value = "v".repeat(VALUE_BYTES);
        HttpPeer host = new HttpPeer((request, connection) -> {
            boolean isHot = request.target().endsWith("/hot");
            HttpPeer.answer(connection, 200, isHot ? "cache-control: max-age=300\r\n" : "cache-control: no-store\r\n", isHot ? value : "short");
            return true;
        });
        int port = Kit.freePort();
        Path file = kit.folder.resolve("portal.toml");
        Files.writeString(file, """
                application = "portal"

                [http]
                listen = ["127.0.0.1:%d"]

                [[http-pools]]
                name = "statements"
                hosts = ["127.0.0.1:%d"]

                [[http-routes]]
                path = "/"
                methods = ["GET", "HEAD"]
                class = "view-statement"

                [[classes]]
                name = "view-statement"
                operation = "read"
                effect = "safe"
                aim = "300ms"
                deadline = "500ms"
                # end
                """.formatted(port, host.port()));
        kit.sidecar("sidecar", file).awaitLine("serves HTTP");
        try (Socket first = Kit.connect(port)) {
            Kit.require(HttpPeer.ask(first, "GET", "/statements/hot", "", null).body().length() == VALUE_BYTES, "the first read");
            HttpPeer.Message again = HttpPeer.ask(first, "GET", "/statements/hot", "", null);
            Kit.require(String.valueOf(again.fields().get("cache-status")).contains("hit"), "it is not stored");
        }
        Others others = new Others(kit, port);
        Kit.pause(2_000);
        kit.note("others before: " + others);
        Kit.require(others.lost.get() == 0, "others lost requests before");
        List<Thread> crowd = new ArrayList<>();
        AtomicInteger answered = new AtomicInteger();
        for (int i = 0; i < CROWD; i++) {
            crowd.add(Kit.daemon(() -> read(kit, port, answered)));
        }
        long end = kit.ms() + MOST_MS;
        for (long next = kit.ms(); kit.ms() < end && crowd.stream().anyMatch(Thread::isAlive); Kit.pause(10)) {
            if (kit.ms() >= next) {
                kit.note(answered.get() + " of " + CROWD * GETS + " large reads answered; others: " + others);
                next += 4_000;
            }
        }
        others.stopped.set(true);
        kit.note(answered.get() + " of " + CROWD * GETS + " large reads answered; others in all: " + others);
        return others.lost.get() > 0 ? Kit.BROKEN : Kit.HELD;
    }

    private static void read(Kit kit, int port, AtomicInteger answered) throws IOException {
        try (Socket client = Kit.connect(port)) {
            client.setSoTimeout((int) MOST_MS);
            InputStream in = new BufferedInputStream(client.getInputStream(), 64 * 1024);
            if (kit.trouble) {
                kit.note("a client sends " + GETS + " GETs of a stored response of " + VALUE_BYTES + " bytes at once, " + REQUEST.length() * GETS + " bytes in all");
                client.getOutputStream().write(Kit.bytes(REQUEST.repeat(GETS)));
            }
            for (int i = 0; i < GETS; i++) {
                if (!kit.trouble) {
                    client.getOutputStream().write(Kit.bytes(REQUEST));
                }
                if (HttpPeer.read(in, false) == null) {
                    kit.note("a client's connection ends behind " + i + " answers");
                    return;
                }
                answered.incrementAndGet();
            }
        }
    }

    /** Clients that read something short, each on a connection of its own. */
    private static final class Others {
        private final AtomicInteger answered = new AtomicInteger();
        private final AtomicInteger lost = new AtomicInteger();
        private final AtomicLong worst = new AtomicLong();
        private final AtomicBoolean stopped = new AtomicBoolean();

        Others(Kit kit, int port) {
            for (int i = 0; i < OTHERS; i++) {
                String name = "other " + i;
                Kit.daemon(() -> {
                    for (int number = 0; !stopped.get();) {
                        try (Socket client = Kit.connect(port)) {
                            client.setSoTimeout(LOST_MS);
                            for (; !stopped.get(); number++) {
                                ask(kit, client, name, number);
                            }
                        } catch (IOException e) {
                            number++;
                        }
                    }
                });
            }
        }

        private void ask(Kit kit, Socket client, String name, int number) throws Exception {
            String target = "/statements/" + name.replace(' ', '-') + "-" + number;
            long sent = kit.ms();
            HttpPeer.Message answer;
            try {
                answer = HttpPeer.ask(client, "GET", target, "", null);
            } catch (IOException e) {
                answer = null;
            }
            if (stopped.get()) {
                return;
            }
            worst.accumulateAndGet(kit.ms() - sent, Math::max);
            if (answer == null && kit.ms() - sent < LOST_MS) {
                // The balancer may close a connection between requests: it is asked again on a new one.
                kit.note(name + "'s connection ends before GET " + target + " is overdue");
                throw new IOException("closed");
            }
            if (answer == null) {
                lost.incrementAndGet();
                kit.note(name + " has no answer to GET " + target + " after " + (kit.ms() - sent) + " ms");
                throw new IOException("no answer");
            }
            answered.incrementAndGet();
            Kit.pause(PAUSE_MS);
        }

        @Override
        public String toString() {
            return answered + " answered, " + lost + " without an answer, the slowest after " + worst + " ms";
        }
    }

    public static void main(String[] args) throws IOException {
        Kit.main(args, Case9::run);
    }
}
