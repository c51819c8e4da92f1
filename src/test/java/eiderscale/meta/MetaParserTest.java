package eiderscale.meta;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.ledger.Budget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Frames are the same however the bytes come, and what they hold is counted. */
class MetaParserTest {
    private static final String[] PIECES = {"mg a v O1\r\n", "ms key 5 O2 T0\r\nhello\r\n", "ms k 0 O3\r\n\r\n", "mn\r\n", "\r\n",
        "ms k 4 O4\r\n\r\n\r\n\r\n", "mg   b    v\r\n", "ms k 4 O5\r\nfiveX\r\n", "set a 0 0 1\r\nx\r\n", "ms k x\r\n",
        "mg \u0001\r\n", "mn\n", "ms k 99999999\r\n"};

    private static List<String> frames(byte[] bytes, SplittableRandom cuts, Budget budget) {
        MetaParser parser = MetaParser.ofCommands(budget);
        List<String> frames = new ArrayList<>();
        ByteBuf held = Unpooled.buffer();
        int at = 0;
        while (at < bytes.length) {
            int some = cuts == null ? bytes.length : Math.min(bytes.length - at, 1 + cuts.nextInt(9));
            held.writeBytes(bytes, at, some);
            at += some;
            for (MetaFrame frame = parser.next(held); frame != null; frame = parser.next(held)) {
                frames.add(frame.words() + " " + (frame.data() == null ? null : new String(frame.data(),
                        StandardCharsets.ISO_8859_1)) + " " + frame.fault() + " " + frame.last());
            }
        }
        parser.close();
        return frames;
    }

    @Property(tries = 500, seed = "20261202", edgeCases = EdgeCasesMode.NONE)
    void howBytesAreCutMakesNoDifference(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(12); i >= 0; i--) {
            // Mostly good ones, as nothing behind a broken frame is read.
            text.append(PIECES[random.nextInt(random.nextInt(6) > 0 ? 7 : PIECES.length)]);
        }
        byte[] bytes = text.substring(0, text.length() - random.nextInt(4)).getBytes(StandardCharsets.ISO_8859_1);
        Budget budget = new Budget(1_000);
        assertEquals(frames(bytes, null, budget), frames(bytes, random, budget), text.toString());
        assertEquals(0, budget.held(), "given back at the end");
    }

    private static MetaFrame next(MetaParser parser, String text) {
        return parser.next(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** What is announced costs nothing: many such lines once filled the heap without a byte of data. */
    @Test
    void memoryIsTakenForWhatArrivesAndNoMore() {
        Budget budget = new Budget(70_000);
        MetaParser one = MetaParser.ofCommands(budget);
        assertNull(next(one, "ms 1 65536 O1\r\n"));
        assertEquals(0, budget.held());
        assertNull(next(one, "x".repeat(3_000)));
        assertEquals(3_000, budget.held());
        MetaParser other = MetaParser.ofCommands(budget);
        assertNull(next(other, "ms 1 65536 O1\r\n" + "y".repeat(40_000)));
        assertFalse(other.isBetweenFrames());
        // Where it ends is known all the same: nothing that follows is lost with it.
        MetaFrame frame = next(one, "x".repeat(62_536) + "\r\n");
        assertTrue(frame.unheld());
        assertNull(frame.data());
        assertEquals(List.of("ms", "1", "65536", "O1"), frame.words());
        assertTrue(one.isBetweenFrames());
        assertEquals(40_000, budget.held(), "given back at once");
        assertEquals(List.of("mn"), next(one, "mn\r\n").words());
        frame = next(other, "y".repeat(25_536) + "\r\n");
        assertEquals(65_536, frame.data().length);
        assertTrue(other.isBetweenFrames());
        assertEquals(0, budget.held());
    }

    @Test
    void nothingBehindABrokenFrameIsRead() {
        MetaParser parser = MetaParser.ofCommands(new Budget(1_000));
        assertTrue(next(parser, "ms k x\r\n").last());
        assertNull(next(parser, "mg a v O1\r\n"));
        assertFalse(parser.isBetweenFrames(), "never again");
        List<String> tail = frames("ms k x\r\nmg a v O1\r\n".getBytes(StandardCharsets.US_ASCII), null, new Budget(9));
        assertEquals(List.of("[] null CLIENT_ERROR bad data chunk true"), tail, Arrays.toString(tail.toArray()));
    }
}
