import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 as the cases need it: a small server, and a message read from either side. */
final class HttpPeer implements AutoCloseable {
    /** What a server does with a request whose last byte has come; it writes its answer itself. */
    interface Handler {
        /** False if the connection is to end. */
        boolean handle(Message request, Socket connection) throws Exception;
    }

    /** A request or a response. */
    record Message(String start, Map<String, String> fields, String body) {
        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    private final ServerSocket server;

    HttpPeer(Handler handler) throws IOException {
        server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        Kit.daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                Kit.daemon(() -> serve(socket, handler));
            }
        });
    }

    private static void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean more = true;
            while (more) {
                Message request = read(in, false);
                more = request != null && handler.handle(request, socket);
            }
        }
    }

    int port() {
        return server.getLocalPort();
    }

    /** Reads one message; null at the end of the stream. */
    static Message read(InputStream in, boolean bodiless) throws IOException {
        String start = Kit.line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = Kit.line(in); line != null && !line.isEmpty(); line = Kit.line(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (!bodiless && fields.containsKey("content-length")) {
            body.write(in.readNBytes(Integer.parseInt(fields.get("content-length"))));
        } else if (!bodiless && "chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            for (int size = size(in); size > 0; size = size(in)) {
                body.write(in.readNBytes(size));
                Kit.line(in);
            }
            Kit.line(in);
        }
        return new Message(start, fields, body.toString(StandardCharsets.ISO_8859_1));
    }

    private static int size(InputStream in) throws IOException {
        String line = Kit.line(in);
        return line == null ? 0 : Integer.parseInt(line.trim(), 16);
    }

    /** Writes a response with a body. */
    static void answer(Socket connection, int status, String fields, String body) throws IOException {
        connection.getOutputStream().write(Kit.bytes("HTTP/1.1 " + status + " X\r\ncontent-length: " + body.length() + "\r\n"
                + fields + "\r\n" + body));
    }

    /** Sends a request on a connection and reads its response. */
    static Message ask(Socket connection, String method, String target, String fields, String body) throws IOException {
        connection.getOutputStream().write(Kit.bytes(method + " " + target + " HTTP/1.1\r\nhost: portal\r\n" + fields
                + (body == null ? "" : "content-length: " + body.length() + "\r\n") + "\r\n" + (body == null ? "" : body)));
        return read(connection.getInputStream(), method.equals("HEAD"));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
