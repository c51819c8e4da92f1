import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/** What the platform is to one balancer: its configuration, and discovery, which tells one list that never changes. */
final class Platform implements AutoCloseable {
    private final HttpServer discovery;
    private final List<MetaHost> hosts;
    /** Where clients connect. */
    final int port = Kit.freePort();

    Platform(List<MetaHost> hosts) throws IOException {
        this.hosts = hosts;
        discovery = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        discovery.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        discovery.createContext("/catalog/members", exchange -> {
            String query = exchange.getRequestURI().getQuery();
            if (query != null) {
                try {
                    Thread.sleep(Math.min(60_000, Long.parseLong(query.replaceAll(".*timeout_ms=", ""))));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            byte[] text = Kit.bytes(query == null ? list() : "{\"rev\":1,\"all\":false,\"targets\":[]}");
            exchange.sendResponseHeaders(200, text.length);
            exchange.getResponseBody().write(text);
            exchange.close();
        });
        discovery.start();
    }

    private String list() {
        List<String> targets = new ArrayList<>();
        for (MetaHost host : hosts) {
            targets.add("{\"uid\":\"" + host.name + "\",\"endpoint\":\"127.0.0.1:" + host.port() + "\",\"az\":\"hall\",\"model\":\"m2\","
                    + "\"pod_group\":1,\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return "{\"rev\":1,\"all\":true,\"targets\":[" + String.join(",", targets) + "]}";
    }

    /** A class as the settings name it; times in milliseconds. */
    static String category(String name, String effect, long aimMs, long deadlineMs, long windowMs) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"all\",\"goal-time-ns\":" + aimMs
                + "000000,\"deadline-ns\":" + deadlineMs + "000000,\"window-ns\":" + windowMs
                + "000000,\"worth\":1.0,\"late-worth\":0.5,\"stream\":false}";
    }

    /** Writes a configuration in place of the one that is there, in one step. */
    void write(Path file, int control, long drainGraceMs, String... categories) throws IOException {
        String settings = "{\"categories\":[" + String.join(",", categories) + "],"
                + "\"tenants\":[{\"name\":\"portal\",\"allowance-per-s\":1000.0,\"fraction\":1.0}],"
                + "\"zones\":[\"hall\"],\"kinds\":[\"m2\"],\"my-zone\":0,\"rank\":0,\"n-instances\":1,\"discovery\":\"subscribe\","
                + "\"load-report\":{\"source\":\"none\",\"fields\":[]},\"family-info\":{\"mode\":\"through\",\"origin-kind\":-1},"
                + "\"guarantees\":{\"ask-within-ns\":10000000000,\"stop-sending-within-ns\":" + drainGraceMs + "000000,"
                + "\"warm-within-ns\":23000000000,\"cold-from\":0.17,\"tip-multiple\":4.0,\"fall-ns\":1000000000,"
                + "\"answer-slack-ns\":20000000},"
                + "\"ceilings\":{\"max-attempts\":4,\"may-duplicate\":true,\"cancelling\":true,\"retry-after\":true,"
                + "\"max-retry-after-ns\":2000000000,\"connect-timeout-ns\":250000000,\"conn-idle-ns\":30000000000,"
                + "\"max-open\":20000,\"multiplex\":1,\"probing\":false,\"peer-messages\":false}}";
        String text = "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"control\":\"127.0.0.1:" + control
                + "\",\"discovery\":\"127.0.0.1:" + discovery.getAddress().getPort() + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + list() + ",\"settings\":" + settings + "}";
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(fresh, text);
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void close() {
        discovery.stop(0);
    }
}
