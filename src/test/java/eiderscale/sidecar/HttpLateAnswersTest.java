package eiderscale.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderscale.standin.Relay;
import eiderscale.standin.StandInHttpHost;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** HTTP hosts whose answers come a second time, late, while the next request of the connection is out. */
class HttpLateAnswersTest {
    private static final int ROUNDS = 10;
    private static final long WRITE_MS = 50;

    @TempDir
    Path folder;

    /** Guards against duplicates: the late second "Retry-Harmless" of a read must not count as that of the unsafe request behind it. */
    @Test
    void lateSecondRefusalDoesNotSendAnUnsafeRequestAgain() throws Exception {
        try (HttpFleet fleet = new HttpFleet(folder); Relay toFirst = new Relay(fleet.world.next(), fleet.first::address);
             Relay toSecond = new Relay(fleet.world.next(), fleet.second::address)) {
            toFirst.repeat(true);
            toSecond.repeat(true);
            fleet.script(request -> request.method().equals("GET") ? StandInHttpHost.Reply.of(503, "Retry-Harmless: ?1\r\n", "")
                    : StandInHttpHost.Reply.of(200, "", "done").after(WRITE_MS));
            fleet.start(HttpFleet.base(toFirst.endpoint(), toSecond.endpoint()));
            try (HttpFleet.Web client = fleet.client()) {
                for (int round = 0; round < ROUNDS; round++) {
                    client.get("/page" + round);
                    client.post("POST", "/copy" + round, "x");
                    String target = "/copy" + round;
                    long came = Stream.concat(fleet.first.came().stream(), fleet.second.came().stream())
                            .filter(request -> request.method().equals("POST") && request.target().equals(target)).count();
                    assertEquals(1, came, "attempts of an unsafe request in round " + round);
                }
            }
        }
    }
}
