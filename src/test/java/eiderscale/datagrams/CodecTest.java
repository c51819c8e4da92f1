package eiderscale.datagrams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.members.Membership;
import eiderscale.members.Message;
import eiderscale.members.Status;
import eiderscale.members.Word;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class CodecTest {
    private static final Codec CODEC = new Codec("portal");

    private static Word word(int number, long incarnation) {
        return new Word("desk-" + "0123456789".substring(number % 10) + number % 10, "10." + number % 256 + ".3.1:" + (1 + number * 977 % 65535),
                incarnation, Status.values()[number % 4]);
    }

    @Property
    void whatIsWrittenIsReadAndFits(@ForAll @IntRange(min = 0, max = 4) int kind, @ForAll long number, @ForAll @IntRange(min = 0, max = 5) int news,
            @ForAll @LongRange(min = 0, max = 4_000_000_000L) long incarnation, @ForAll @IntRange(min = 0, max = 1000) int from) {
        List<Word> words = new ArrayList<>();
        for (int i = 0; i < news; i++) {
            words.add(word(from + i, incarnation + i));
        }
        Message message = new Message(Message.Kind.values()[kind], word(from, incarnation), number, kind == 2 ? "desk-1" : "", words);
        byte[] bytes = CODEC.encode(message);
        assertTrue(bytes.length <= Codec.MOST, "length " + bytes.length);
        assertEquals(message, CODEC.decode(bytes));
        assertNull(new Codec("counter").decode(bytes), "another group's");
    }

    /** The longest that there can be loses words, and no more than it must. */
    @Test
    void theLongestMessageHasRoomForMostOfItsNews() {
        List<Word> words = new ArrayList<>();
        for (int i = 0; i < Membership.MOST_NEWS; i++) {
            words.add(new Word("sixteen-letters" + i, "255.255.255.255:65535", Long.MAX_VALUE - 1, Status.DEAD));
        }
        byte[] bytes = CODEC.encode(new Message(Message.Kind.ASK, words.get(0), Long.MIN_VALUE, "sixteen-letters7", words));
        assertTrue(bytes.length <= Codec.MOST);
        assertTrue(CODEC.decode(bytes).news().size() >= 4);
    }

    /** Cut, changed, or noise from the start: it is read as something, or dropped. */
    @Test
    void noiseIsDropped() {
        byte[] whole = CODEC.encode(new Message(Message.Kind.NEWS, word(1, 5), 0, "", List.of(word(2, 6), word(3, 7))));
        SplittableRandom luck = new SplittableRandom(3);
        int dropped = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = i % 3 == 0 ? Arrays.copyOf(whole, luck.nextInt(whole.length)) : whole.clone();
            if (i % 3 == 2) {
                luck.nextBytes(bytes);
            }
            for (int j = 0; j < i % 4 && bytes.length > 0; j++) {
                bytes[luck.nextInt(bytes.length)] ^= (byte) (1 << luck.nextInt(8));
            }
            dropped += CODEC.decode(bytes) == null ? 1 : 0;
        }
        assertTrue(dropped > 13_000, "dropped " + dropped);
    }
}
