package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection to a balancer, with one request at a time unless its user writes more. */
public final class Client implements AutoCloseable {
    private static final AtomicLong LAST_ID = new AtomicLong();
    /** The connection. */
    public final Socket socket = new Socket();
    private final InputStream in;
    private final Record record;

    /** Connects. */
    public Client(int port, Record record) throws IOException {
        this.record = record;
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
    }

    /** An id that no other request has. */
    public static String id() {
        return String.format("%016x", 0x9b1f000000000000L + LAST_ID.incrementAndGet());
    }

    /** The command of a read. */
    public static String read(String key, String id, String requestClass, long waitMs) {
        return "mg " + key + " v O" + id + " Pc=" + requestClass + ",t=teachers,d=" + waitMs + "\r\n";
    }

    /** The command of a write; {@code idempotencyKey}: null for none. */
    public static String write(String key, String id, String requestClass, long waitMs, String idempotencyKey, String value) {
        return "ms " + key + " " + value.length() + " O" + id + " Pc=" + requestClass + ",t=teachers,d=" + waitMs
                + (idempotencyKey == null ? "" : ",k=" + idempotencyKey) + "\r\n" + value + "\r\n";
    }

    /** Writes bytes as they are. */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads one answer, whose value is passed over; null at the end of the connection. */
    public String answer() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            text.append((char) c);
        }
        String line = text.toString().trim();
        if (line.startsWith("VA ")) {
            in.skipNBytes(Long.parseLong(line.split(" ")[1]) + 2);
        }
        return line;
    }

    /** Sends one command and waits for its answer, both on record. */
    public String ask(String command, int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        record.note("client sends " + command.trim().replace("\r\n", " | "));
        send(command);
        String answer = answer();
        record.note("client is answered " + answer);
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
