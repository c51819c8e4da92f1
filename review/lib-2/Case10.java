import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** A read whose answer comes late, and a DELETE of the same target that is answered meanwhile. */
final class Case10 {
    private static final String TARGET = "/statements/7";
    private static final long LATE_MS = 600;

    private Case10() {
    }

    private static int run(Kit kit) throws Exception {
        Map<String, String> statements = new ConcurrentHashMap<>(Map.of(TARGET, "balance 1200"));
        AtomicBoolean isSlow = new AtomicBoolean();
        // One host, so that what it holds is what there is.
        HttpPeer host = new HttpPeer((request, connection) -> {
            String held = request.method().equals("DELETE") ? statements.remove(request.target()) : statements.get(request.target());
            kit.note("host carries out " + request.start() + ": it holds " + held);
            if (request.method().equals("GET") && isSlow.get()) {
                Kit.pause(LATE_MS);
            }
            if (request.method().equals("DELETE")) {
                HttpPeer.answer(connection, 200, "", "gone");
            } else if (held == null) {
                HttpPeer.answer(connection, 404, "cache-control: no-store\r\n", "none");
            } else {
                HttpPeer.answer(connection, 200, "cache-control: max-age=60\r\n", held);
            }
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

                [[http-routes]]
                path = "/"
                methods = ["DELETE"]
                class = "withdraw-statement"

                [[classes]]
                name = "view-statement"
                operation = "read"
                effect = "safe"
                aim = "750ms"
                deadline = "1500ms"

                [[classes]]
                name = "withdraw-statement"
                operation = "write"
                effect = "unsafe"
                aim = "750ms"
                deadline = "2500ms"
                # end
                """.formatted(port, host.port()));
        kit.sidecar("sidecar", file).awaitLine("serves HTTP");
        try (Socket reader = Kit.connect(port); Socket writer = Kit.connect(port)) {
            Kit.require(HttpPeer.ask(reader, "GET", "/statements/0", "", null).status() == 404, "the first read");
            isSlow.set(kit.trouble);
            Thread slow = Kit.daemon(() -> {
                HttpPeer.Message read = HttpPeer.ask(reader, "GET", TARGET, "", null);
                kit.note("first reader is answered " + read.start() + ": " + read.body());
            });
            Kit.pause(200);
            kit.note("writer sends DELETE " + TARGET);
            HttpPeer.Message deleted = HttpPeer.ask(writer, "DELETE", TARGET, "", null);
            kit.note("writer is answered " + deleted.start());
            Kit.require(deleted.status() == 200 && !statements.containsKey(TARGET), "the DELETE");
            isSlow.set(false);
            slow.join(5_000);
            Kit.pause(200);
            HttpPeer.Message after = HttpPeer.ask(writer, "GET", TARGET, "", null);
            kit.note("writer reads " + TARGET + " and is answered " + after.start() + ": " + after.body() + ", Age "
                    + after.fields().get("age") + ", Cache-Status " + after.fields().get("cache-status"));
            return after.status() == 200 ? Kit.BROKEN : Kit.HELD;
        }
    }

    public static void main(String[] args) throws IOException {
        Kit.main(args, Case10::run);
    }
}
