package eiderscale.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The far end of one connection, blocking and with a generous limit on every wait. */
final class Peer implements AutoCloseable {
    static final int LIMIT_MS = 20_000;
    static final String RESET = "(reset)";
    private final Socket socket;
    private final InputStream in;

    Peer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(LIMIT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    Peer write(String text) throws IOException {
        return write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    Peer write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    /** The next line without its CRLF; null at the end of the stream, also after a reset. */
    String line() throws IOException {
        String line = lineOrReset();
        return RESET.equals(line) ? null : line;
    }

    /** The next line; null at an orderly end, {@link #RESET} after a reset. */
    String lineOrReset() throws IOException {
        StringBuilder line = new StringBuilder();
        try {
            for (int c = in.read(); c >= 0; c = in.read()) {
                if (c == '\n') {
                    return line.substring(0, line.length() - 1);
                }
                line.append((char) c);
            }
            return null;
        } catch (java.net.SocketException e) {
            return RESET;
        }
    }

    String data(int length) throws IOException {
        String data = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        line();
        return data;
    }

    /** Asks and reads one line of answer. */
    String ask(String command) throws IOException {
        return write(command + "\r\n").line();
    }

    /** Waits for the far end to close; what it still says is passed over. */
    void awaitEnd() throws IOException {
        String line = line();
        while (line != null) {
            line = line();
        }
    }

    /** Ends the connection with a reset instead of an orderly close. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Closes in the middle of a test. */
    void leave() throws IOException {
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
