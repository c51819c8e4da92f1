package eiderscale.datagrams;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import eiderscale.members.Membership;
import eiderscale.members.Message;
import eiderscale.members.Status;
import eiderscale.members.Word;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages of members as CBOR (RFC 8949), one flat array: form, group, kind, number, about, then four items for each word, the sender
 * first. A datagram is 256 bytes at the most, as PROTOCOL allows; words that have no room are left for the next one.
 */
final class Codec {
    /** Bytes of a datagram. */
    static final int MOST = 256;
    /** Characters of a name: with these all words that a message may hold fit. */
    static final int MOST_NAME = 16;
    private static final int FORM = 1;
    private static final int ADDRESS = 6;
    private static final CBORFactory CBOR = new CBORFactory();

    private final int group;

    /** {@code group}: of others nothing is taken, so that two groups on one net do not mix. */
    Codec(String group) {
        // FNV-1a: the same for a name everywhere.
        int hash = 0x811c9dc5;
        for (char c : group.toCharArray()) {
            hash = (hash ^ c) * 0x01000193;
        }
        this.group = hash;
    }

    /** Without the last of its news where there is no room for them. */
    byte[] encode(Message message) {
        byte[] bytes = encode(message, message.news());
        for (int kept = message.news().size() - 1; bytes.length > MOST && kept >= 0; kept--) {
            bytes = encode(message, message.news().subList(0, kept));
        }
        return bytes;
    }

    private byte[] encode(Message message, List<Word> news) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(MOST);
        try (CBORGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray(null, 5 + 4 * (1 + news.size()));
            out.writeNumber(FORM);
            out.writeNumber(group);
            out.writeNumber(message.kind().ordinal());
            out.writeNumber(message.number());
            out.writeString(message.about());
            write(out, message.from());
            for (Word word : news) {
                write(out, word);
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(CBORGenerator out, Word word) throws IOException {
        out.writeString(word.name());
        int colon = word.address().lastIndexOf(':');
        int port = Integer.parseInt(word.address().substring(colon + 1));
        // A literal address: nothing is looked up.
        byte[] ip = InetAddress.getByName(word.address().substring(0, colon)).getAddress();
        out.writeBinary(ByteBuffer.allocate(ADDRESS).put(ip).putShort((short) port).array());
        out.writeNumber(word.incarnation());
        out.writeNumber(word.status().ordinal());
    }

    /** Null for what is not whole, of another form, or of another group. */
    Message decode(byte[] bytes) {
        try (JsonParser in = CBOR.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_ARRAY || number(in) != FORM || number(in) != group) {
                return null;
            }
            int kind = (int) number(in);
            long number = number(in);
            String about = text(in);
            List<Word> words = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                words.add(word(in));
                if (words.size() > Membership.MOST_NEWS + 1) {
                    return null;
                }
            }
            if (words.isEmpty() || in.nextToken() != null) {
                return null;
            }
            return new Message(Message.Kind.values()[kind], words.get(0), number, about, words.subList(1, words.size()));
        } catch (IOException | IllegalArgumentException | IndexOutOfBoundsException e) {
            return null;
        }
    }

    private static Word word(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING || in.getTextLength() == 0 || in.getTextLength() > MOST_NAME) {
            throw new IllegalArgumentException("a name");
        }
        String name = in.getText();
        if (in.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IllegalArgumentException("an address");
        }
        byte[] address = in.getBinaryValue();
        if (address.length != ADDRESS) {
            throw new IllegalArgumentException("an address");
        }
        int port = (address[4] & 0xff) << 8 | address[5] & 0xff;
        String text = (address[0] & 0xff) + "." + (address[1] & 0xff) + "." + (address[2] & 0xff) + "." + (address[3] & 0xff) + ":" + port;
        long incarnation = number(in);
        if (incarnation < 0 || incarnation == Long.MAX_VALUE) {
            // Nobody could object to it.
            throw new IllegalArgumentException("an incarnation");
        }
        return new Word(name, text, incarnation, Status.values()[(int) number(in)]);
    }

    private static long number(JsonParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IllegalArgumentException("a number");
        }
        return in.getLongValue();
    }

    private static String text(JsonParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_STRING || in.getTextLength() > MOST_NAME) {
            throw new IllegalArgumentException("a text");
        }
        return in.getText();
    }
}
