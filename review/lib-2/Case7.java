import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A POST of an unsafe class whose body is still coming when SIGHUP brings a file with one more class. Its host carries it out
 * and resets the connection.
 */
final class Case7 {
    private static final String CLASS = """

            [[classes]]
            name = "%s"
            operation = "%s"
            effect = "%s"
            aim = "2s"
            deadline = "5s"
            """;
    private static final String ROUTE = """

            [[http-routes]]
            path = "%s"
            methods = [%s]
            class = "%s"
            """;

    private Case7() {
    }

    private static String file(int port, List<HttpPeer> hosts, boolean isExtended) {
        List<String> addresses = new ArrayList<>();
        hosts.forEach(host -> addresses.add("\"127.0.0.1:" + host.port() + "\""));
        return "application = \"portal\"\n\n[http]\nlisten = [\"127.0.0.1:" + port + "\"]\n\n[[http-pools]]\nname = \"statements\"\nhosts = ["
                + String.join(", ", addresses) + "]\n"
                + ROUTE.formatted("/statements/", "\"GET\", \"HEAD\"", "view-statement")
                + ROUTE.formatted("/copies/", "\"POST\"", "request-copy")
                + (isExtended ? ROUTE.formatted("/balances/", "\"GET\"", "view-balance") : "")
                + CLASS.formatted("view-statement", "read", "safe")
                + (isExtended ? CLASS.formatted("view-balance", "read", "safe") : "")
                + CLASS.formatted("request-copy", "write", "unsafe") + "# end\n";
    }

    private static int run(Kit kit) throws Exception {
        List<String> ran = new CopyOnWriteArrayList<>();
        List<HttpPeer> hosts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String name = "host " + i;
            hosts.add(new HttpPeer((request, connection) -> {
                if (!request.method().equals("POST")) {
                    HttpPeer.answer(connection, 200, "", "ok");
                    return true;
                }
                ran.add(name);
                kit.note(name + " carries out " + request.start() + " with " + request.body().length()
                        + " bytes, and resets the connection in place of an answer");
                connection.setSoLinger(true, 0);
                return false;
            }));
        }
        int port = Kit.freePort();
        Path file = kit.folder.resolve("portal.toml");
        Files.writeString(file, file(port, hosts, false));
        Kit.Program sidecar = kit.sidecar("sidecar", file);
        awaitServing(port);

        String body = "copy of statement 2026-11, please ".repeat(20);
        HttpPeer.Message answer;
        try (Socket client = Kit.connect(port)) {
            client.getOutputStream().write(Kit.bytes("POST /copies/7 HTTP/1.1\r\nhost: portal\r\ncontent-length: " + body.length()
                    + "\r\n\r\n" + body.substring(0, 100)));
            kit.note("client sends POST /copies/7 (class request-copy, unsafe): its head and 100 of " + body.length() + " bytes");
            Kit.pause(500);
            if (kit.trouble) {
                Files.writeString(file, file(port, hosts, true));
                sidecar.signal("HUP");
                sidecar.awaitLine("reloaded");
            }
            Kit.pause(500);
            kit.note("client sends the rest");
            client.getOutputStream().write(Kit.bytes(body.substring(100)));
            answer = HttpPeer.read(client.getInputStream(), false);
        }
        kit.note("client is answered: " + (answer == null ? "nothing" : answer.start() + ", Retry-Harmless: "
                + answer.fields().get("retry-harmless")));
        Kit.pause(500);
        kit.note("one POST was sent, and carried out " + ran.size() + " times, at " + ran);
        Kit.require(!ran.isEmpty(), "the request never reached a host");
        boolean isRefused = answer != null && "?1".equals(answer.fields().get("retry-harmless"));
        return ran.size() > 1 || isRefused ? Kit.BROKEN : Kit.HELD;
    }

    private static void awaitServing(int port) throws InterruptedException {
        Kit.await("the sidecar to serve", 30_000, () -> {
            try (Socket probe = Kit.connect(port)) {
                return HttpPeer.ask(probe, "GET", "/statements/0", "", null).status() == 200;
            } catch (IOException e) {
                return false;
            }
        });
    }

    public static void main(String[] args) throws IOException {
        Kit.main(args, Case7::run);
    }
}
