package eiderscale.knowledge;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The frame of a record: one line that names the form, its version, whose it is, the body's length and its checksum
 * (CRC-32C, RFC 3720 section B.4), and behind it the body. What is not whole, of another balancer or of a version that
 * is not known is refused.
 */
final class Envelope {
    /** A body may hold so many bytes: a list of 4,096 hosts with all that is known of them takes a third of that. */
    static final int MOST = 4 * 1024 * 1024;
    private static final String FORM = "stairshelf-knowledge";
    private static final int VERSION = 1;
    private static final int MOST_HEAD = 512;
    private static final int WORDS = 5;

    private Envelope() {
    }

    static byte[] wrap(String balancer, byte[] body) {
        byte[] head = (FORM + " " + VERSION + " " + hex(balancer) + " " + body.length + " " + checksum(body) + "\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] whole = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return whole;
    }

    static byte[] unwrap(String balancer, byte[] whole) throws Refused {
        int end = 0;
        while (end < Math.min(whole.length, MOST_HEAD) && whole[end] != '\n') {
            end++;
        }
        if (end >= Math.min(whole.length, MOST_HEAD)) {
            throw new Refused("it has no first line");
        }
        String[] words = new String(whole, 0, end, StandardCharsets.ISO_8859_1).split(" ", -1);
        if (!words[0].equals(FORM)) {
            throw new Refused("it is of another form");
        }
        if (words.length < 2 || !words[1].equals(String.valueOf(VERSION))) {
            throw new Refused("its version is not known");
        }
        byte[] body = Arrays.copyOfRange(whole, end + 1, whole.length);
        if (words.length != WORDS || !words[3].equals(String.valueOf(body.length)) || body.length > MOST) {
            throw new Refused("it is not whole");
        }
        if (!words[4].equals(checksum(body))) {
            throw new Refused("its checksum does not fit");
        }
        if (!words[2].equals(hex(balancer))) {
            throw new Refused("it is another balancer's");
        }
        return body;
    }

    private static String checksum(byte[] body) {
        CRC32C sum = new CRC32C();
        sum.update(body);
        return Long.toHexString(sum.getValue());
    }

    /** A name as one word, cut where it is long. */
    private static String hex(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        StringBuilder word = new StringBuilder("n");
        for (int i = 0; i < Math.min(bytes.length, MOST_HEAD / 8); i++) {
            word.append(Character.forDigit(bytes[i] >> 4 & 0xf, 16)).append(Character.forDigit(bytes[i] & 0xf, 16));
        }
        return word.toString();
    }
}
