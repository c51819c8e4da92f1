package eiderscale.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.Api;
import eiderscale.config.ConfigException;
import eiderscale.config.SettingsParser;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

class AdapterTest {
    private static final String SETTINGS = """
            categories.count=1
            categories.0.deadline-ns=2500000000
            categories.0.effect=retryable
            categories.0.goal-time-ns=1200000000
            ceilings.max-attempts=3
            ceilings.may-duplicate=true
            some.unknown-key=7
            n-instances=1
            """;
    private static final long NOW = 5_000_000_000L;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int serve(byte[] input) {
        return Main.serve(new ByteArrayInputStream(input), out, new PrintStream(err, true,
                StandardCharsets.UTF_8));
    }

    private static ByteBuffer frame(int records, int tail) {
        int length = 12 + records * Adapter.EVENT + tail;
        ByteBuffer frame = ByteBuffer.allocate(4 + length).order(ByteOrder.LITTLE_ENDIAN);
        return frame.putInt(0, length).putInt(4, records).putLong(8, NOW);
    }

    /** One batch: a start, a list of one server, and a request. */
    private static byte[] session() {
        byte[] settings = SETTINGS.getBytes(StandardCharsets.UTF_8);
        ByteBuffer frame = frame(4, settings.length + 24);
        int tail = 16 + 4 * Adapter.EVENT;
        frame.position(tail);
        frame.put(settings);
        frame.put(new byte[] {10, 11, 12, 13}).putShort((short) 5003).putShort((short) 0);
        int at = 16;
        frame.put(at, (byte) 7).putInt(at + 1, 3).putLong(at + 5, 99).putInt(at + 13, 0)
                .putInt(at + 17, settings.length);
        at += Adapter.EVENT;
        frame.put(at, (byte) 0).put(at + 1, (byte) 4).putInt(at + 2, settings.length).putInt(at + 6, 1);
        at += Adapter.EVENT;
        frame.put(at, (byte) 6).putInt(at + 1, 3).put(at + 5, (byte) 2).put(at + 14, (byte) 4);
        at += Adapter.EVENT;
        frame.put(at, (byte) 10).putInt(at + 1, 3).putLong(at + 5, 4242).putLong(at + 19, 77)
                .putLong(at + 27, NOW + 2_000_000_000L);
        return frame.array();
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() {
        assertEquals(0, serve(frame(0, 0).array()));
        assertArrayEquals(new byte[] {4, 0, 0, 0, 0, 0, 0, 0}, out.toByteArray());
    }

    @Test
    void aRequestIsForwardedToTheListedServer() {
        assertEquals(0, serve(session()));
        ByteBuffer reply = ByteBuffer.wrap(out.toByteArray()).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(out.size() - 4, reply.getInt(0));
        assertEquals(2, reply.getInt(4), "the send and a timer");
        assertEquals(67, reply.get(8));
        assertEquals(3, reply.getInt(9));
        assertEquals(4242, reply.getLong(13));
        assertEquals(NOW + 1_200_000_000L, reply.getLong(21));
        assertArrayEquals(new byte[] {10, 11, 12, 13}, Arrays.copyOfRange(out.toByteArray(), 29, 33));
        assertEquals(5003, reply.getShort(33));
    }

    @Test
    void outcomesAndTimersOfUnknownRequestsArePassedOver() {
        ByteBuffer frame = frame(2, 0);
        frame.put(16, (byte) 2).putInt(17, 3).putLong(21, 999).putShort(37, (short) 200);
        frame.put(16 + Adapter.EVENT, (byte) 1).putInt(17 + Adapter.EVENT, 3);
        byte[] start = session();
        byte[] both = Arrays.copyOf(start, start.length + frame.capacity());
        System.arraycopy(frame.array(), 0, both, start.length, frame.capacity());
        assertEquals(0, serve(both));
        assertEquals("", err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void cleanEndOfInputExitsZero() {
        assertEquals(0, serve(new byte[0]));
        assertEquals(0, out.size());
    }

    @Test
    void endOfInputInsideAFrameIsAnError() {
        byte[] whole = session();
        assertMalformed(Arrays.copyOf(whole, whole.length - 1), "end of input");
        assertMalformed(Arrays.copyOf(whole, 3), "end of input");
    }

    @Test
    void impossibleLengthsCodesAndOffsetsAreErrors() {
        assertMalformed(frame(0, 0).putInt(0, -1).array(), "length");
        assertMalformed(frame(0, 0).putInt(0, 5).array(), "length");
        assertMalformed(frame(1, 0).putInt(4, 1_000_000).array(), "cannot hold");
        assertMalformed(frame(1, 0).put(16, (byte) 99).array(), "event code 99");
        assertMalformed(frame(1, 0).put(16, (byte) 1).putInt(17, 8).array(), "has not started");
        assertMalformed(frame(1, 0).put(16, (byte) 0).putInt(18, 8).putInt(22, 50_000_000).array(), "past the end");
        assertMalformed(frame(1, 0).put(16, (byte) 0).put(17, (byte) 200).array(), "list number");
        assertMalformed(ByteBuffer.wrap(session()).order(ByteOrder.LITTLE_ENDIAN)
                .put(16 + 2 * Adapter.EVENT + 5, (byte) 9).array(), "list mode");
        assertMalformed(ByteBuffer.wrap(session()).order(ByteOrder.LITTLE_ENDIAN)
                .putShort(16 + 3 * Adapter.EVENT + 13, (short) 40).array(), "request class");
    }

    private void assertMalformed(byte[] input, String word) {
        err.reset();
        assertEquals(1, serve(input));
        String message = err.toString(StandardCharsets.UTF_8);
        assertTrue(message.contains("malformed") && message.contains(word), message);
    }

    /** Damaged bytes end in a clean exit or a clear error, never in a hang or another exception. */
    @Test
    void randomDamageNeverEscapes() {
        assertTimeoutPreemptively(Duration.ofSeconds(30), () -> {
            Random random = new Random(5);
            for (int i = 0; i < 5000; i++) {
                byte[] bytes = session();
                for (int n = 1 + random.nextInt(6); n > 0; n--) {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
                }
                err.reset();
                int status = serve(bytes);
                assertEquals(status != 0, err.size() > 0);
                out.reset();
            }
        });
    }

    @Test
    void missingSettingsGetSafeDefaults() {
        Api.Settings settings = SettingsParser.parse("categories.count=1\n");
        assertEquals(Api.Effect.FRAGILE, settings.classes().get(0).effect());
        assertEquals(1, settings.maxAttempts());
        assertTrue(!settings.mayDuplicate() && !settings.mayCancel() && !settings.aside());
    }

    @Test
    void settingsThatAreNoNumbersAreErrors() {
        for (String line : new String[] {"categories.count=x", "rank=NaN", "guarantees.tip-multiple=Infinity",
            "categories.count=-1", "guarantees.resend-span-ns=soon"}) {
            assertThrows(ConfigException.class, () -> SettingsParser.parse("n-instances=1\n" + line + "\n"), line);
        }
    }

    @Test
    void anEmptyBudgetAllowsNothingAndAnAbsentOneIsNone() {
        assertEquals(null, SettingsParser.parse("categories.count=1\n").budget());
        Api.Budget empty = SettingsParser.parse("categories.count=1\nguarantees.repeat-ratio=\n").budget();
        assertEquals(0, empty.free() + empty.share());
        assertTrue(SettingsParser.parse("guarantees.key-quiet-ns=\n").keyQuiet() > 0, "a key rests");
    }

    @Test
    void unknownConditionsAndOutcomesAreErrors() {
        byte[] start = session();
        start[16 + 4 * Adapter.EVENT + SETTINGS.length() + 11] = 9;
        assertMalformed(start, "condition 9");
        ByteBuffer frame = frame(1, 0);
        frame.put(16, (byte) 2).putInt(17, 3).putLong(21, 4242).putShort(37, (short) 299);
        byte[] first = session();
        byte[] both = Arrays.copyOf(first, first.length + frame.capacity());
        System.arraycopy(frame.array(), 0, both, first.length, frame.capacity());
        assertMalformed(both, "outcome 299");
    }
}
