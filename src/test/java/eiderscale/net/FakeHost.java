package eiderscale.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A tiny peer on an ephemeral port: does what the test says with each connection. */
final class FakeHost implements AutoCloseable {
    /** What happens on one connection, from its start to its end. */
    interface Script {
        void run(Peer peer) throws IOException;
    }

    /** What is answered to one command; nothing if null. */
    interface Answer {
        String to(String command);
    }

    final AtomicInteger connections = new AtomicInteger();
    /** First lines of commands, in the order in which they came. */
    final BlockingQueue<String> commands = new LinkedBlockingQueue<>();
    /** Takes an element for every connection that its far end has closed. */
    final BlockingQueue<String> ends = new LinkedBlockingQueue<>();
    private final ServerSocket server;
    private final Thread acceptor;

    FakeHost(Script script) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        acceptor = thread(() -> {
            while (true) {
                Socket socket = server.accept();
                connections.incrementAndGet();
                thread(() -> {
                    try (Peer peer = new Peer(socket)) {
                        script.run(peer);
                    }
                });
            }
        });
    }

    private interface Task {
        void run() throws IOException;
    }

    private static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The test is over, or its script ended the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A host that answers every command. */
    static FakeHost answering(Answer answer) throws IOException {
        FakeHost[] self = new FakeHost[1];
        self[0] = new FakeHost(peer -> {
            String command = self[0].next(peer);
            while (command != null) {
                String text = answer.to(command);
                if (text != null) {
                    peer.write(text);
                }
                command = self[0].next(peer);
            }
            self[0].ends.add("end");
        });
        return self[0];
    }

    /** A host that serves: the value of a read is its key, the receipt of a write its data. */
    static FakeHost serving() throws IOException {
        return answering(FakeHost::served);
    }

    static String served(String command) {
        String[] words = command.split(" ");
        return words[0].equals("mg") ? value(command, words[1]) : "HD " + opaque(command) + " c77\r\n";
    }

    static String value(String command, String value) {
        return "VA " + value.length() + " " + opaque(command) + " h1 Lutil=0.5\r\n" + value + "\r\n";
    }

    static String opaque(String command) {
        for (String word : command.split(" ")) {
            if (word.startsWith("O")) {
                return word;
            }
        }
        return "O";
    }

    /** Reads a command with its data, notes it, and returns its line; null at the end. */
    String next(Peer peer) throws IOException {
        String line = peer.line();
        if (line != null) {
            String[] words = line.split(" ");
            if (words[0].equals("ms")) {
                line += " data=" + peer.data(Integer.parseInt(words[2]));
            }
            commands.add(line);
        }
        return line;
    }

    /** The next command that came, waited for. */
    String command() throws InterruptedException {
        return commands.poll(Peer.LIMIT_MS, TimeUnit.MILLISECONDS);
    }

    String awaitEnd() throws InterruptedException {
        return ends.poll(Peer.LIMIT_MS, TimeUnit.MILLISECONDS);
    }

    String endpoint() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Refuses connections from now on. */
    void stop() throws IOException, InterruptedException {
        server.close();
        // The kernel keeps listening while a thread is still inside its accept.
        acceptor.join(Peer.LIMIT_MS);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
