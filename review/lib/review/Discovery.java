package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Discovery as the protocol page has it: whole lists and watches. It can be down: watches end, calls are answered 503. */
public final class Discovery implements AutoCloseable {
    private record Entry(String json, long rev) {
    }

    private final ServerSocket server;
    private final Record record;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private long rev = 1;
    private boolean down;
    private int calls;

    /** Listens on a free port. */
    public Discovery(Record record) throws IOException {
        this.record = record;
        server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
        Host.daemon("discovery", () -> {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                Host.daemon("call to discovery", () -> serve(socket));
            }
        });
    }

    /** Where balancers ask. */
    public String endpoint() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** How many calls have come. */
    public synchronized int calls() {
        return calls;
    }

    /** Lists a host, or lists it anew; returns when, as {@link System#nanoTime}. */
    public synchronized long put(String uid, String json) {
        rev++;
        entries.put(uid, new Entry(json, rev));
        record.note("discovery has version " + rev + ": " + json);
        notifyAll();
        return System.nanoTime();
    }

    /** Is down from now on: watches are reset and calls fail. */
    public synchronized void down() {
        down = true;
        record.show("discovery goes down");
        notifyAll();
    }

    /** Is back; returns when. */
    public synchronized long up() {
        down = false;
        record.show("discovery is back");
        return System.nanoTime();
    }

    /** The whole list in discovery's form. */
    public synchronized String list() {
        return list(-1);
    }

    private String list(long since) {
        List<String> targets = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.rev > since && !(since < 0 && entry.json.contains("\"Gone\""))) {
                targets.add(entry.json);
            }
        }
        return "{\"rev\":" + rev + ",\"all\":" + (since < 0) + ",\"targets\":[" + String.join(",", targets) + "]}";
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String request = line;
                while (line != null && !line.isEmpty()) {
                    line = in.readLine();
                }
                if (!answer(socket, request)) {
                    return;
                }
            }
        } finally {
            sockets.remove(socket);
        }
    }

    private static long number(String request, String name, long otherwise) {
        int at = request.indexOf(name + "=");
        return at < 0 ? otherwise : Long.parseLong(request.substring(at + name.length() + 1).split("[& ]")[0]);
    }

    private boolean answer(Socket socket, String request) throws IOException, InterruptedException {
        long since = number(request, "since", -1);
        long end = System.nanoTime() + Math.min(60_000, number(request, "timeout_ms", 0)) * 1_000_000;
        String json;
        synchronized (this) {
            calls++;
            int call = calls;
            record.note("discovery is called (" + call + "): " + request + (down ? " -> 503" : ""));
            if (down) {
                write(socket, "503 Service Unavailable", "{}");
                return true;
            }
            while (since >= rev && !down && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            if (down) {
                record.note("discovery resets the watch of call " + call);
                socket.setSoLinger(true, 0);
                return false;
            }
            json = list(since);
            record.note("discovery answers call " + call + ": " + json);
        }
        write(socket, "200 OK", json);
        return true;
    }

    private static void write(Socket socket, String status, String json) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
                + json.length() + "\r\n\r\n" + json).getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
