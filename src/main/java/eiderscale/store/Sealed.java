package eiderscale.store;

import java.util.Arrays;
import java.util.zip.CRC32C;

/** A value with its checksum behind it (CRC-32C, RFC 3720, B.4): the engine's own covers less. */
final class Sealed {
    private static final int SUM = 4;

    private Sealed() {
    }

    static byte[] seal(byte[] value) {
        byte[] sealed = Arrays.copyOf(value, value.length + SUM);
        int sum = sum(value, value.length);
        for (int i = 0; i < SUM; i++) {
            sealed[value.length + i] = (byte) (sum >>> 8 * i);
        }
        return sealed;
    }

    /** Without its checksum; null for null, and if that does not fit. */
    static byte[] open(byte[] sealed) {
        if (sealed == null || sealed.length < SUM) {
            return null;
        }
        int length = sealed.length - SUM;
        int sum = 0;
        for (int i = 0; i < SUM; i++) {
            sum |= (sealed[length + i] & 0xff) << 8 * i;
        }
        return sum == sum(sealed, length) ? Arrays.copyOf(sealed, length) : null;
    }

    private static int sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }
}
