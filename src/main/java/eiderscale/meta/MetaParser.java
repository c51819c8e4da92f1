package eiderscale.meta;

import eiderscale.ledger.Budget;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * Cuts a byte stream into {@link MetaFrame}s, strictly and within bounds. A fault in the framing itself (an
 * overlong line, a length that cannot be, a data block without its end) is the last frame of a stream: parsing
 * on would take somebody's data for commands or answers. A value for which there is no memory is passed over, and what
 * follows it is read. Between two frames it remembers nothing.
 */
final class MetaParser {
    /** Far above the longest honest line: a key of 250 bytes, an id and a list of figures. */
    static final int MOST_LINE = 2048;
    /** Words of a line; a client's commands have ten at most. */
    private static final int MOST_WORDS = 64;
    private static final int MOST_DIGITS = 9;
    private static final int CRLF = 2;
    /** A value's buffer begins this small and grows with what arrives. */
    private static final int FIRST_BYTES = 1024;
    private static final String BAD_CHUNK = "CLIENT_ERROR bad data chunk";
    /** Commands of the classic protocol that bring data: they are not served, and their data are no commands. */
    private static final Set<String> CLASSIC_DATA = Set.of("set", "add", "replace", "append", "prepend", "cas");

    private final String dataWord;
    private final int lengthAt;
    private final Budget budget;
    /** The line whose data block is coming in, null between frames. */
    private List<String> words;
    private byte[] data;
    private int length;
    private int filled;
    /** There was no memory for the value that is coming in: it is passed over. */
    private boolean unheld;
    /** What is still to come of a value that is not held, its end not counted; negative if there is none. */
    private int bulk = -1;
    private boolean broken;

    private MetaParser(String dataWord, int lengthAt, Budget budget) {
        this.dataWord = dataWord;
        this.lengthAt = lengthAt;
        this.budget = budget;
    }

    /** Reads what clients send: {@code ms} brings data. */
    static MetaParser ofCommands(Budget budget) {
        return new MetaParser("ms", 2, budget);
    }

    /** Reads what cache hosts answer: {@code VA} brings data. */
    static MetaParser ofAnswers(Budget budget) {
        return new MetaParser("VA", 1, budget);
    }

    /** Whether the last frame is whole and nothing of a next one has been taken; never again behind a last one. */
    boolean isBetweenFrames() {
        return !broken && words == null && bulk < 0;
    }

    /** Whether a value is coming that is not held: {@link #part} is to be called until it has ended. */
    boolean isInBulk() {
        return bulk >= 0;
    }

    /** Bytes that are still to come of a value that is not held, its end included. */
    int bulkLeft() {
        return bulk + CRLF;
    }

    /** Some of a value that is not held, to be released; null if nothing of it is there, or if it has ended. */
    ByteBuf part(ByteBuf in) {
        int some = Math.min(bulk, in.readableBytes());
        if (some <= 0) {
            return null;
        }
        bulk -= some;
        return in.readRetainedSlice(some);
    }

    /** The end of such a value: null while it is not there, a fault if it is another, else a frame without words. */
    MetaFrame end(ByteBuf in) {
        if (bulk != 0 || in.readableBytes() < CRLF) {
            return null;
        }
        bulk = -1;
        return in.readByte() == '\r' && in.readByte() == '\n' ? MetaFrame.of(List.of(), null) : breakOff(BAD_CHUNK, in);
    }

    /** Takes the next frame's bytes out of {@code in}; null if they are not all there. */
    MetaFrame next(ByteBuf in) {
        if (broken) {
            in.skipBytes(in.readableBytes());
            return null;
        }
        MetaFrame frame = words == null ? readLine(in) : null;
        return frame == null && words != null ? readData(in) : frame;
    }

    /** Nothing more comes: gives back what half a value holds. */
    void close() {
        dropData();
    }

    private MetaFrame breakOff(String answer, ByteBuf in) {
        broken = true;
        in.skipBytes(in.readableBytes());
        dropData();
        return MetaFrame.fault(answer, true);
    }

    private MetaFrame readLine(ByteBuf in) {
        int end = in.bytesBefore((byte) '\n');
        if (end > MOST_LINE || end < 0 && in.readableBytes() > MOST_LINE) {
            return breakOff("CLIENT_ERROR line too long", in);
        }
        if (end < 0) {
            return null;
        }
        String line = in.readCharSequence(end, StandardCharsets.ISO_8859_1).toString();
        in.skipBytes(1);
        return line.endsWith("\r") ? take(line.substring(0, end - 1), in)
                : breakOff("CLIENT_ERROR lines end in CRLF", in);
    }

    /** Null if a data block belongs to the line. */
    private MetaFrame take(String line, ByteBuf in) {
        List<String> tokens = new ArrayList<>();
        int begun = 0;
        for (int i = 0; i <= line.length(); i++) {
            char c = i < line.length() ? line.charAt(i) : ' ';
            if (c < ' ' || c == 0x7f) {
                return breakOff("CLIENT_ERROR control character in line", in);
            }
            if (c == ' ') {
                if (i > begun) {
                    if (tokens.size() == MOST_WORDS) {
                        return breakOff("CLIENT_ERROR too many words", in);
                    }
                    tokens.add(line.substring(begun, i));
                }
                begun = i + 1;
            }
        }
        if (tokens.isEmpty()) {
            return MetaFrame.fault("ERROR", false);
        }
        if (CLASSIC_DATA.contains(tokens.get(0))) {
            return breakOff("ERROR", in);
        }
        return tokens.get(0).equals(dataWord) ? startData(tokens, in) : MetaFrame.of(tokens, null);
    }

    private MetaFrame startData(List<String> tokens, ByteBuf in) {
        String text = tokens.size() > lengthAt ? tokens.get(lengthAt) : "";
        if (text.isEmpty() || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return breakOff(BAD_CHUNK, in);
        }
        if (text.length() > MOST_DIGITS || Integer.parseInt(text) > MetaFrame.MOST_VALUE) {
            return breakOff("CLIENT_ERROR value too large", in);
        }
        length = Integer.parseInt(text);
        if (length > MetaFrame.MOST_HELD) {
            bulk = length;
            return MetaFrame.before(tokens, length);
        }
        words = tokens;
        data = new byte[0];
        filled = 0;
        unheld = false;
        return null;
    }

    private MetaFrame readData(ByteBuf in) {
        int some = Math.min(length - filled, in.readableBytes());
        if (!unheld && filled + some > data.length && !grow(filled + some)) {
            unheld = true;
            budget.giveBack(data.length);
            data = new byte[0];
        }
        if (unheld) {
            in.skipBytes(some);
        } else {
            in.readBytes(data, filled, some);
        }
        filled += some;
        if (filled < length || in.readableBytes() < CRLF) {
            return null;
        }
        if (in.readByte() != '\r' || in.readByte() != '\n') {
            return breakOff(BAD_CHUNK, in);
        }
        MetaFrame frame = unheld ? MetaFrame.unheld(words)
                : MetaFrame.of(words, data.length == length ? data : Arrays.copyOf(data, length));
        dropData();
        return frame;
    }

    private boolean grow(int least) {
        int size = Math.min(length, Math.max(least, Math.max(FIRST_BYTES, 2 * data.length)));
        if (!budget.take(size - data.length)) {
            return false;
        }
        data = Arrays.copyOf(data, size);
        return true;
    }

    private void dropData() {
        if (words != null) {
            budget.giveBack(data.length);
            words = null;
            data = null;
        }
    }
}
