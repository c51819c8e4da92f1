package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A sound cache host that reads through: answers each command on its connection after some work, in their order. */
public class Host implements AutoCloseable {
    /** A command as it came; {@code firstNs}, {@code lastNs}: when its first and its last byte were read. */
    public record Command(String host, String line, String id, String key, boolean write, long firstNs, long lastNs) {
        /** A figure of the list P, or null. */
        public String figure(String name) {
            int at = line.indexOf(" P");
            String list = at < 0 ? "" : line.substring(at + 2).split(" ")[0];
            for (String figure : list.split(",")) {
                if (figure.startsWith(name + "=")) {
                    return figure.substring(name.length() + 1);
                }
            }
            return null;
        }
    }

    /** Its uid in lists. */
    public final String uid;
    /** All that came, in the order of their last bytes. */
    public final List<Command> commands = new ArrayList<>();
    private final ServerSocket server;
    private final Record record;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final long workMs;
    private final long spreadMs;

    /** Listens on a free port; each answer takes {@code workMs} and up to {@code spreadMs} more. */
    public Host(String uid, Record record, long workMs, long spreadMs) throws IOException {
        this.uid = uid;
        this.record = record;
        this.workMs = workMs;
        this.spreadMs = spreadMs;
        server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
        daemon("accepts of " + uid, () -> {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                daemon(uid, () -> serve(socket));
            }
        });
    }

    /** Work that may fail at the end of a connection. */
    public interface Task {
        /** Does it. */
        void run() throws IOException, InterruptedException;
    }

    /** Runs a task on a thread that keeps nobody from ending. */
    public static Thread daemon(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The far end has gone, or the test is over.
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Where balancers reach it. */
    public String endpoint() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Its entry in a list. */
    public String entry(String state, long bootMs) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint() + "\",\"az\":\"kochi-hall\",\"model\":\"fast-single\","
                + "\"pod_group\":1,\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
    }

    /** A copy of what has come so far. */
    public List<Command> commands() {
        synchronized (commands) {
            return List.copyOf(commands);
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
            OutputStream out = socket.getOutputStream();
            for (Command command = read(in); command != null; command = read(in)) {
                synchronized (commands) {
                    commands.add(command);
                }
                record.note(command.lastNs, uid + " got " + command.line);
                answer(command, socket, out);
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** Answers one command. */
    protected void answer(Command command, Socket socket, OutputStream out) throws IOException, InterruptedException {
        long ms = workMs + (spreadMs > 0 ? ThreadLocalRandom.current().nextLong(spreadMs + 1) : 0);
        Thread.sleep(ms);
        String value = "value-of-" + command.key;
        out.write((command.write ? "HD O" + command.id + " c1 Lutil=0.30\r\n"
                : "VA " + value.length() + " O" + command.id + " h1 Lutil=0.30\r\n" + value + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        record.note(uid + " answered " + command.id);
    }

    private Command read(InputStream in) throws IOException {
        int c = in.read();
        if (c < 0) {
            return null;
        }
        long firstNs = System.nanoTime();
        StringBuilder text = new StringBuilder();
        for (; c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            text.append((char) c);
        }
        String line = text.toString().trim();
        String[] words = line.split(" ");
        if (words[0].equals("ms")) {
            in.skipNBytes(Long.parseLong(words[2]) + 2);
        }
        String id = "";
        for (String word : words) {
            if (id.isEmpty() && word.startsWith("O")) {
                id = word.substring(1);
            }
        }
        return new Command(uid, line, id, words.length > 1 ? words[1] : "", words[0].equals("ms"), firstNs, System.nanoTime());
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
