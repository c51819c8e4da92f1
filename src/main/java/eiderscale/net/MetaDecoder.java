package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/**
 * Cuts a byte stream into {@link MetaFrame}s, strictly and within bounds. A fault in the framing itself (an
 * overlong line, a length that cannot be, a data block without its end) is the last frame of a stream: parsing
 * on would take somebody's data for commands or answers.
 */
final class MetaDecoder extends ByteToMessageDecoder {
    /** Far above the longest honest line: a key of 250 bytes, an id and a list of figures. */
    static final int MOST_LINE = 2048;
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
    private boolean broken;

    private MetaDecoder(String dataWord, int lengthAt, Budget budget) {
        this.dataWord = dataWord;
        this.lengthAt = lengthAt;
        this.budget = budget;
    }

    /** Reads what clients send: {@code ms} brings data. */
    static MetaDecoder ofCommands(Budget budget) {
        return new MetaDecoder("ms", 2, budget);
    }

    /** Reads what cache hosts answer: {@code VA} brings data. */
    static MetaDecoder ofAnswers(Budget budget) {
        return new MetaDecoder("VA", 1, budget);
    }

    /** Whether the stream stands right between two frames, with not a byte of the next one here. */
    boolean isClean() {
        return !broken && words == null && actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (broken) {
            in.skipBytes(in.readableBytes());
        } else if (words != null) {
            readData(in, out);
        } else {
            readLine(in, out);
        }
    }

    private void breakOff(String answer, ByteBuf in, List<Object> out) {
        broken = true;
        in.skipBytes(in.readableBytes());
        dropData();
        out.add(MetaFrame.fault(answer, true));
    }

    private void readLine(ByteBuf in, List<Object> out) {
        int end = in.bytesBefore((byte) '\n');
        if (end > MOST_LINE || end < 0 && in.readableBytes() > MOST_LINE) {
            breakOff("CLIENT_ERROR line too long", in, out);
            return;
        }
        if (end < 0) {
            return;
        }
        String line = in.readCharSequence(end, StandardCharsets.ISO_8859_1).toString();
        in.skipBytes(1);
        if (!line.endsWith("\r")) {
            breakOff("CLIENT_ERROR lines end in CRLF", in, out);
        } else {
            take(line.substring(0, end - 1), in, out);
        }
    }

    private void take(String line, ByteBuf in, List<Object> out) {
        List<String> tokens = new ArrayList<>();
        int begun = 0;
        for (int i = 0; i <= line.length(); i++) {
            char c = i < line.length() ? line.charAt(i) : ' ';
            if (c < ' ' || c == 0x7f) {
                breakOff("CLIENT_ERROR control character in line", in, out);
                return;
            }
            if (c == ' ') {
                if (i > begun) {
                    tokens.add(line.substring(begun, i));
                }
                begun = i + 1;
            }
        }
        if (tokens.isEmpty()) {
            out.add(MetaFrame.fault("ERROR", false));
        } else if (CLASSIC_DATA.contains(tokens.get(0))) {
            breakOff("ERROR", in, out);
        } else if (!tokens.get(0).equals(dataWord)) {
            out.add(MetaFrame.of(tokens, null));
        } else {
            startData(tokens, in, out);
        }
    }

    private void startData(List<String> tokens, ByteBuf in, List<Object> out) {
        String text = tokens.size() > lengthAt ? tokens.get(lengthAt) : "";
        if (text.isEmpty() || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            breakOff(BAD_CHUNK, in, out);
        } else if (text.length() > MOST_DIGITS || Integer.parseInt(text) > MetaFrame.MOST_VALUE) {
            breakOff("CLIENT_ERROR value too large", in, out);
        } else {
            words = tokens;
            length = Integer.parseInt(text);
            data = new byte[0];
            filled = 0;
        }
    }

    private void readData(ByteBuf in, List<Object> out) {
        int some = Math.min(length - filled, in.readableBytes());
        if (filled + some > data.length && !grow(filled + some)) {
            breakOff("SERVER_ERROR out of memory", in, out);
            return;
        }
        in.readBytes(data, filled, some);
        filled += some;
        if (filled < length || in.readableBytes() < CRLF) {
            return;
        }
        if (in.readByte() != '\r' || in.readByte() != '\n') {
            breakOff(BAD_CHUNK, in, out);
            return;
        }
        out.add(MetaFrame.of(words, data.length == length ? data : Arrays.copyOf(data, length)));
        dropData();
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

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        dropData();
    }
}
