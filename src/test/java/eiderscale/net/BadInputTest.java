package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What breaks the protocol is answered, and harms no other request. */
class BadInputTest {
    @Test
    void malformedCommandsAreAnsweredAndTheConnectionGoesOn() throws Exception {
        List<String> malformed = List.of("", " ", "mg", "ms", "get a", "mg a", "mg a v", "mg a v O1",
                "mg a v O1 P", "mg a v O1 Pc=read,t=acme", "mg a v Pc=read,t=acme,d=5", "mg a v O Pc=read,t=acme,d=5",
                "mg a O1 Pc=read,t=acme,d=5", "mg a v O1 Pc=none,t=acme,d=5", "mg a v O1 Pc=read,t=none,d=5",
                "mg a v O1 Pt=acme,d=5", "mg a v O1 Pc=read,d=5", "mg a v O1 Pc=read,t=acme,d=-1",
                "mg a v O1 Pc=read,t=acme,d=soon", "mg a v O1 Pc=read,t=acme,d=5,h=x", "mg a v q O1 Pc=read,t=acme,d=5",
                "mg " + "k".repeat(251) + " v O1 Pc=read,t=acme,d=5", "mg a v O" + "1".repeat(33) + " Pc=read,t=acme,d=5",
                "ms a", "ms a x O1 Pc=copy,t=acme,d=5", "ms a -1 O1 Pc=copy,t=acme,d=5", "mg \u0001 v O1 Pc=read,t=acme,d=5",
                "x".repeat(10_000), "mg a v O1 Pc=read,t=acme,d=99999999999999999999",
                "ms a 1 O1 Pc=none,t=acme,d=5\r\nx", "ms a 70000 O1 Pc=copy,t=acme,d=5\r\n" + "x".repeat(70_000));
        try (Rig rig = new Rig(FakeHost.serving()).start(); Peer client = rig.client()) {
            for (String command : malformed) {
                String answer = client.ask(command);
                assertTrue(answer.startsWith("CLIENT_ERROR ") || answer.equals("ERROR"), command + ": " + answer);
                assertEquals("HD O2 c77", client.ask(Rig.COPY), "after " + command);
            }
            assertEquals(malformed.size(), rig.hosts.get(0).commands.size(), "none of them was passed on");
        }
    }

    @Test
    void aValueWithoutItsEndOfLineIsAnsweredOnce() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start(); Peer client = rig.client()) {
            assertEquals("CLIENT_ERROR bad data chunk", client.ask("ms a 3 O1 Pc=copy,t=acme,d=5000\r\ntoo long"));
            assertEquals("HD O2 c77", client.ask(Rig.COPY));
        }
    }

    @Test
    void aBareLineFeedIsNoEndOfLine() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start(); Peer client = rig.client()) {
            assertEquals("CLIENT_ERROR lines end in CRLF", client.write("mn\n").line());
            assertEquals("MN", client.ask("mn"));
        }
    }

    @Test
    void commandsMayComeByteByByte() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start(); Peer client = rig.client()) {
            for (byte b : (Rig.PUT + "\r\n" + Rig.READ + "\r\n").getBytes(StandardCharsets.US_ASCII)) {
                client.write(new byte[] {b});
                Thread.yield();
            }
            assertEquals("HD O3 c77", client.line());
            assertEquals("VA 16 O1", client.line());
        }
    }

    @Test
    void quitClosesBehindTheAnswers() throws Exception {
        try (Rig rig = new Rig(FakeHost.serving()).start(); Peer client = rig.client()) {
            assertEquals("HD O2 c77", client.ask(Rig.COPY + "\r\nquit"));
            assertEquals(null, client.line());
        }
    }

    private static void bad(String json) {
        assertThrows(ConfigException.class, () -> Config.parse(Json.parse(json.getBytes(StandardCharsets.UTF_8))), json);
    }

    @Test
    void badConfigurationIsToldAsSuch() throws Exception {
        String good;
        try (Rig rig = new Rig()) {
            good = rig.config("127.0.0.1:0");
        }
        Config config = Config.parse(Json.parse(good.getBytes(StandardCharsets.UTF_8)));
        assertEquals(3, config.site().settings.classes().size());
        assertEquals(7, config.known().rev());
        assertEquals(1_000_000_000L, config.site().settings.drainGrace());
        bad("");
        bad("[]");
        bad("{}");
        bad(good.replace("127.0.0.1:0", "localhost:0"));
        bad(good.replace("127.0.0.1:0", "127.0.0.1:99999"));
        bad(good.replace("8c1f30d27a5be964", "no seed"));
        bad(good.replace("\"settings\"", "\"settings-x\""));
        bad(good.replace("\"categories\"", "\"categories-x\""));
        bad(good.replace("\"multiplex\":1", "\"multiplex\":0"));
        bad(good.replace("0.2", "\"cold\""));
        assertThrows(ConfigException.class, () -> Config.read(null));
        assertThrows(ConfigException.class, () -> Config.read("/nonexistent/config.json"));
    }
}
