package eiderscale.sidecar;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection, blocking and with a generous limit on every wait. */
final class Talk implements AutoCloseable {
    static final int LIMIT_MS = 30_000;
    private final Socket socket;
    private final InputStream in;

    Talk(InetSocketAddress address) throws IOException {
        this(new Socket(address.getAddress(), address.getPort()));
    }

    Talk(Socket connected) throws IOException {
        socket = connected;
        socket.setSoTimeout(LIMIT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    Talk send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Ends the sending; answers may still come. */
    Talk endSending() throws IOException {
        socket.shutdownOutput();
        return this;
    }

    /** The next line without its CRLF; null at the end of the stream. */
    String line() throws IOException {
        return line(in);
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.substring(0, line.length() - 1);
            }
            line.append((char) c);
        }
        return null;
    }

    /** The first line of the answer; a value behind it is read and kept. */
    String ask(String text) throws IOException {
        send(text + "\r\n");
        return answer();
    }

    String value;

    String answer() throws IOException {
        String line = line();
        value = null;
        if (line != null && line.startsWith("VA ")) {
            value = new String(in.readNBytes(Integer.parseInt(line.split(" ")[1])), StandardCharsets.ISO_8859_1);
            line();
        }
        return line;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
