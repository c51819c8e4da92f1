import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Two pools of HTTP hosts, each route naming its own, and SIGHUP with a file that names the same two in the other order. */
final class Case6 {
    private static final String FILE = """
            application = "portal"

            [http]
            listen = ["127.0.0.1:%d"]
            %s
            [[http-routes]]
            path = "/statements/"
            methods = ["GET"]
            class = "view-statement"
            pool = "statements"

            [[http-routes]]
            path = "/copies/"
            methods = ["POST"]
            class = "request-copy"
            pool = "statements"

            [[http-routes]]
            path = "/photos/"
            methods = ["GET"]
            class = "view-statement"
            pool = "photos"

            [[classes]]
            name = "view-statement"
            operation = "read"
            effect = "safe"
            aim = "750ms"
            deadline = "1500ms"

            [[classes]]
            name = "request-copy"
            operation = "write"
            effect = "unsafe"
            aim = "750ms"
            deadline = "2500ms"
            # end
            """;
    private static final String POOL = """

            [[http-pools]]
            name = "%s"
            hosts = ["127.0.0.1:%d", "127.0.0.1:%d"]
            """;

    private Case6() {
    }

    private static int run(Kit kit) throws Exception {
        List<String> foreign = new CopyOnWriteArrayList<>();
        String statements = pool(kit, foreign, "statements", List.of("/statements/", "/copies/"));
        String photos = pool(kit, foreign, "photos", List.of("/photos/"));
        int port = Kit.freePort();
        Path file = kit.folder.resolve("portal.toml");
        Files.writeString(file, FILE.formatted(port, statements + photos));
        Kit.Program sidecar = kit.sidecar("sidecar", file);
        sidecar.awaitLine("serves HTTP");
        boolean isRight = ask(kit, port, 1);
        Kit.require(isRight && foreign.isEmpty(), "the requests before the reload");
        if (kit.trouble) {
            Path later = kit.folder.resolve("later.toml");
            Files.writeString(later, FILE.formatted(port, photos + statements));
            kit.tool("config", "diff", file.toString(), later.toString());
            Files.move(later, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            sidecar.signal("HUP");
            sidecar.awaitLine("reloaded");
        }
        // Past the window of drains, lest any of that has a part in it.
        Kit.pause(1_500);
        isRight = ask(kit, port, 2);
        kit.note("requests that came to a host of the other pool: " + foreign);
        return isRight && foreign.isEmpty() ? Kit.HELD : Kit.BROKEN;
    }

    /** Starts two hosts that know what is asked of their pool alone; gives the part of the file that names them. */
    private static String pool(Kit kit, List<String> foreign, String name, List<String> known) throws IOException {
        List<HttpPeer> hosts = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            String host = name + " host " + i;
            hosts.add(new HttpPeer((request, connection) -> {
                kit.note(host + " carries out " + request.start());
                if (known.stream().noneMatch(path -> request.target().startsWith(path))) {
                    foreign.add(request.start() + " at " + host);
                }
                HttpPeer.answer(connection, 200, "cache-control: no-store\r\n", "from the " + name + " hosts");
                return true;
            }));
        }
        return POOL.formatted(name, hosts.get(0).port(), hosts.get(1).port());
    }

    /** Whether a client gets what it asks for of the hosts that its route names. */
    private static boolean ask(Kit kit, int port, int number) throws IOException {
        boolean isRight = true;
        try (Socket client = Kit.connect(port)) {
            isRight &= ask(kit, client, "GET", "/statements/" + number, null, "statements");
            isRight &= ask(kit, client, "POST", "/copies/" + number, "a copy, please", "statements");
            isRight &= ask(kit, client, "GET", "/photos/" + number, null, "photos");
        }
        return isRight;
    }

    private static boolean ask(Kit kit, Socket client, String method, String target, String body, String pool) throws IOException {
        HttpPeer.Message answer = HttpPeer.ask(client, method, target, "", body);
        kit.note("client sends " + method + " " + target + " (pool " + pool + ") and is answered " + answer.start() + ": " + answer.body());
        // An error is an answer too; what must not come is what another pool's hosts have made.
        return answer.status() != 200 || answer.body().equals("from the " + pool + " hosts");
    }

    public static void main(String[] args) throws IOException {
        Kit.main(args, Case6::run);
    }
}
