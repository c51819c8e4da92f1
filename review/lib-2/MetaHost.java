import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A cache host of the platform's protocol: it reads commands in order and leaves each to a handler. */
final class MetaHost implements AutoCloseable {
    /** What it does with a command whose last byte has come; it writes its answer itself. */
    interface Handler {
        void handle(Command command, Socket connection) throws Exception;
    }

    /** A command in its words. */
    record Command(String line, String[] words) {
        boolean isWrite() {
            return words[0].equals("ms");
        }

        String key() {
            return words[1];
        }

        /** The flag with the client's id. */
        String id() {
            for (String word : words) {
                if (word.startsWith("O")) {
                    return word;
                }
            }
            return "O0";
        }
    }

    final String name;
    private final ServerSocket server;

    MetaHost(String name, Handler handler) throws IOException {
        this.name = name;
        server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
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
            for (String line = Kit.line(in); line != null; line = Kit.line(in)) {
                String[] words = line.split(" ");
                if (words[0].equals("ms")) {
                    in.skipNBytes(Integer.parseInt(words[2]) + 2L);
                }
                if (words[0].equals("mn")) {
                    socket.getOutputStream().write(Kit.bytes("MN\r\n"));
                } else {
                    handler.handle(new Command(line, words), socket);
                }
            }
        }
    }

    /** Answers as a host does that has carried the command out. */
    static void serve(Command command, Socket connection, String value) throws IOException {
        connection.getOutputStream().write(Kit.bytes(command.isWrite() ? "HD " + command.id() + " c1\r\n"
                : "VA " + value.length() + " " + command.id() + " h1\r\n" + value + "\r\n"));
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
