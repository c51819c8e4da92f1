package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What an application's file says of its clients' connections. */
class ManyClientsTest {
    private static final String VIEW = "mg stmt:1 v O%d Pc=view-statement,d=1500";

    @TempDir
    Path folder;

    private static Socket from(String address, InetSocketAddress to) throws Exception {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress(InetAddress.getByName(address), 0));
        socket.connect(to);
        return socket;
    }

    @Test
    void oneSourceCannotTakeThePlacesOfTheOthers() throws Exception {
        List<Talk> greedy = new ArrayList<>();
        try (Fleet fleet = new Fleet(folder)) {
            fleet.write(fleet.base().replace("open-requests", "clients-per-source = 5\nopen-requests")).start();
            InetSocketAddress address = fleet.sidecar.addresses().get(0);
            for (int i = 0; i < 5; i++) {
                greedy.add(new Talk(from("127.0.0.2", address)));
                assertTrue(greedy.get(i).ask(String.format(VIEW, i)).startsWith("VA "));
            }
            for (int i = 0; i < 20; i++) {
                try (Talk more = new Talk(from("127.0.0.2", address))) {
                    assertNull(more.line(), "closed at once");
                }
            }
            try (Talk modest = new Talk(from("127.0.0.3", address))) {
                assertTrue(modest.ask(String.format(VIEW, 90)).startsWith("VA "));
            }
            assertTrue(greedy.get(0).ask(String.format(VIEW, 91)).startsWith("VA "), "what it has, it keeps");
        } finally {
            for (Talk talk : greedy) {
                talk.close();
            }
        }
    }

    /** Unlike on the platform, where clients may open a third of the descriptors, counters keep theirs all day. */
    @Test
    void idleConnectionsStayWhereNothingIsSaidOfEase() throws Exception {
        List<Talk> counters = new ArrayList<>();
        try (Fleet fleet = new Fleet(folder)) {
            fleet.write(fleet.base().replace("descriptors = 1024", "descriptors = 1024\nclients = 600")).start();
            for (int i = 0; i < 590; i++) {
                counters.add(fleet.client());
                assertTrue(counters.get(i).ask(String.format(VIEW, i)).startsWith("VA "));
            }
            Thread.sleep(600);
            for (int i = 0; i < 590; i++) {
                assertTrue(counters.get(i).ask(String.format(VIEW, i)).startsWith("VA "), "counter " + i);
            }
            assertEquals(1180, fleet.sidecar.totals().served());
        } finally {
            for (Talk talk : counters) {
                talk.close();
            }
        }
    }
}
