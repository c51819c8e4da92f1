package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** What a balancer that is late itself, on a cold start or a small share of a core, must not take for load. */
class OwnLatenessTest {
    private static void assertServed(Peer client, int from, int to) throws IOException {
        for (int i = from; i < to; i++) {
            assertEquals("VA 1 O" + i, client.ask("mg " + i + " v O" + i + " Pc=read,t=acme,d=9000"));
            client.data(1);
        }
    }

    /** A host turns away a request whose client has gone meanwhile, and reports no load with that. */
    @Test
    void rejectionsWithoutTheReportThatOtherAnswersBringShedNothing() throws Exception {
        FakeHost host = FakeHost.answering(c -> c.startsWith("mg over") ? "SERVER_ERROR busy\r\n"
                : FakeHost.value(c, "x"));
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            assertServed(client, 0, 1);
            for (int i = 0; i < 60; i++) {
                assertEquals("SERVER_ERROR busy", client.ask("mg over" + i + " v Oover Pc=read,t=acme,d=9000"));
            }
            assertServed(client, 1, 40);
        }
    }
}
