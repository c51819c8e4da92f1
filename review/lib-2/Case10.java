import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reads of the last class of the settings are open on one connection, the first of them at a slow host, when SIGHUP brings
 * settings without another class. More answers come than there is memory for.
 */
final class Case10 {
    private static final int READS = 60;
    private static final int VALUE_BYTES = 60 * 1024;
    private static final int WAIT_MS = 2_400;
    private static final int CLIENTS = 4;

    private Case10() {
    }

    private static int run(Kit kit) throws Exception {
        String value = "v".repeat(VALUE_BYTES);
        List<MetaHost> hosts = new ArrayList<>();
        AtomicInteger came = new AtomicInteger();
        for (int i = 0; i < 8; i++) {
            String name = "s-" + i;
            hosts.add(new MetaHost(name, (command, connection) -> {
                came.incrementAndGet();
                boolean isFirst = command.key().endsWith("ff");
                Kit.pause(isFirst ? 1_800 : 900);
                MetaHost.serve(command, connection, isFirst ? "first" : value);
            }));
        }
        try (Platform platform = new Platform(hosts)) {
            return run(kit, platform, came);
        }
    }

    private static final String[] BEFORE = {
        Platform.category("view-statement", "retryable", 750, 1_500, 5_000),
        Platform.category("request-copy", "fragile", 750, 2_500, 5_000),
        Platform.category("update-nominee", "dedup", 750, 2_500, 5_000),
        Platform.category("view-archive", "retryable", 750, 2_500, 5_000),
    };
    private static final String[] AFTER = {BEFORE[0], BEFORE[1], BEFORE[3]};

    private static int run(Kit kit, Platform platform, AtomicInteger came) throws Exception {
        Path shared = Files.createDirectory(kit.folder.resolve("tmp"));
        Path file = kit.folder.resolve("config.json");
        int control = Kit.freePort();
        platform.write(file, control, 1_000, BEFORE);
        Kit.Program balancer = kit.platform("balancer", file, shared);
        Kit.await("a yes to HEALTH", 20_000, () -> {
            String answer = Kit.operator(control, "HEALTH");
            return answer != null && answer.startsWith("200");
        });
        Kit.pause(1_100);
        int[] answered = new int[CLIENTS];
        int[] served = new int[CLIENTS];
        List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int number = c;
            clients.add(Kit.daemon(() -> {
                try (Socket client = Kit.connect(platform.port)) {
                    StringBuilder commands = new StringBuilder();
                    for (int i = 0; i < READS; i++) {
                        commands.append("mg ").append(i == 0 ? number + "ff" : Integer.toHexString(0x1000 * (number + 1) + i * 16))
                                .append(" v O").append(String.format("%08x%08x", number + 1, i)).append(" Pc=view-archive,t=portal,d=")
                                .append(WAIT_MS).append("\r\n");
                    }
                    client.getOutputStream().write(Kit.bytes(commands.toString()));
                    kit.note("client " + number + " sends " + READS + " reads of class view-archive, d=" + WAIT_MS);
                    // Half a second past their time they are overdue; as much again is waited.
                    client.setSoTimeout(WAIT_MS + 1_500);
                    InputStream in = new BufferedInputStream(client.getInputStream());
                    for (; answered[number] < READS; answered[number]++) {
                        String line = Kit.line(in);
                        if (line == null) {
                            return;
                        }
                        if (line.startsWith("VA ")) {
                            served[number]++;
                            in.skipNBytes(Integer.parseInt(line.split(" ")[1]) + 2L);
                        }
                    }
                } catch (SocketTimeoutException e) {
                    kit.note("client " + number + " has waited " + (WAIT_MS + 1_500) + " ms for the next answer");
                }
            }));
        }
        Kit.pause(400);
        kit.note("hosts have " + came.get() + " commands");
        if (kit.trouble) {
            platform.write(file, control, 1_000, AFTER);
            balancer.signal("HUP");
            balancer.awaitLine("the new configuration is in service: 3 classes");
        }
        boolean isBroken = false;
        for (int c = 0; c < CLIENTS; c++) {
            clients.get(c).join(20_000);
            kit.note("client " + c + ": " + READS + " reads sent, " + answered[c] + " answered, of these " + served[c] + " served");
            isBroken |= answered[c] < READS;
        }
        return isBroken ? Kit.BROKEN : Kit.HELD;
    }

    public static void main(String[] args) throws IOException {
        Kit.main(args, Case10::run);
    }
}
