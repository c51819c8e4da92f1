package eiderscale.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a byte stream into {@link MetaFrame}s, strictly and within bounds: an overlong line or value is
 * passed over as it comes in, never gathered, and the stream goes on behind it.
 */
final class MetaDecoder extends ByteToMessageDecoder {
    /** Far above the longest honest line: a key of 250 bytes, an id and a list of figures. */
    static final int MOST_LINE = 2048;
    private static final int MOST_DIGITS = 9;
    private static final int CRLF = 2;
    private static final String BAD_CHUNK = "CLIENT_ERROR bad data chunk";

    private final String dataWord;
    private final int lengthAt;
    private List<String> words;
    private byte[] data;
    private int filled;
    /** Bytes of an overlong value still to be passed over, and whether the rest of a line is. */
    private long skip;
    private boolean skipLine;

    private MetaDecoder(String dataWord, int lengthAt) {
        this.dataWord = dataWord;
        this.lengthAt = lengthAt;
    }

    /** Reads what clients send: {@code ms} brings data. */
    static MetaDecoder ofCommands() {
        return new MetaDecoder("ms", 2);
    }

    /** Reads what cache hosts answer: {@code VA} brings data. */
    static MetaDecoder ofAnswers() {
        return new MetaDecoder("VA", 1);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (skip > 0) {
            int passed = (int) Math.min(skip, in.readableBytes());
            in.skipBytes(passed);
            skip -= passed;
        } else if (data != null) {
            readData(in, out);
        } else {
            readLine(in, out);
        }
    }

    private void readLine(ByteBuf in, List<Object> out) {
        int length = in.bytesBefore((byte) '\n');
        if (skipLine || length > MOST_LINE || length < 0 && in.readableBytes() > MOST_LINE) {
            if (!skipLine) {
                out.add(MetaFrame.fault("CLIENT_ERROR line too long"));
            }
            skipLine = length < 0;
            in.skipBytes(length < 0 ? in.readableBytes() : length + 1);
            return;
        }
        if (length < 0) {
            return;
        }
        String line = in.readCharSequence(length, StandardCharsets.ISO_8859_1).toString();
        in.skipBytes(1);
        if (!line.endsWith("\r")) {
            out.add(MetaFrame.fault("CLIENT_ERROR lines end in CRLF"));
        } else {
            take(line.substring(0, length - 1), out);
        }
    }

    private void take(String line, List<Object> out) {
        if (line.chars().anyMatch(c -> c < ' ' || c == 0x7f)) {
            out.add(MetaFrame.fault("CLIENT_ERROR control character in line"));
            return;
        }
        List<String> tokens = new ArrayList<>();
        for (String token : line.split(" ")) {
            if (!token.isEmpty()) {
                tokens.add(token);
            }
        }
        if (tokens.isEmpty()) {
            out.add(MetaFrame.fault("ERROR"));
        } else if (!tokens.get(0).equals(dataWord)) {
            out.add(new MetaFrame(tokens, null, null));
        } else {
            startData(tokens, out);
        }
    }

    private void startData(List<String> tokens, List<Object> out) {
        String text = tokens.size() > lengthAt ? tokens.get(lengthAt) : "";
        if (text.isEmpty() || text.length() > MOST_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            out.add(MetaFrame.fault(BAD_CHUNK));
            return;
        }
        int length = Integer.parseInt(text);
        if (length > MetaFrame.MOST_VALUE) {
            skip = (long) length + CRLF;
            out.add(MetaFrame.fault("CLIENT_ERROR value too large"));
            return;
        }
        words = tokens;
        data = new byte[length];
        filled = 0;
    }

    private void readData(ByteBuf in, List<Object> out) {
        int some = Math.min(data.length - filled, in.readableBytes());
        in.readBytes(data, filled, some);
        filled += some;
        if (filled < data.length || in.readableBytes() < CRLF) {
            return;
        }
        byte[] whole = data;
        data = null;
        if (in.getByte(in.readerIndex()) == '\r' && in.getByte(in.readerIndex() + 1) == '\n') {
            in.skipBytes(CRLF);
            out.add(new MetaFrame(words, whole, null));
        } else {
            out.add(MetaFrame.fault(BAD_CHUNK));
            skipLine = true;
        }
    }
}
