package eiderscale.sim;

import eiderscale.Api;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/** Collects the actions of one batch as a reply frame. */
final class ReplyWriter {
    static final int HEADER = 8;
    static final int ACTION = 32;
    private static final byte SUBSCRIBE = 64;
    private static final byte FAIL = 65;
    private static final byte SEND = 67;
    private static final byte WAKE = 68;
    private static final byte CLOSE_IDLE = 72;
    private static final byte CANCEL = 74;
    private static final byte REFUSE = 75;

    private byte[] bytes = new byte[1 << 16];
    private ByteBuffer buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    private int records;

    void begin() {
        records = 0;
    }

    /** Completes the frame and writes it out. */
    void finish(OutputStream out) throws IOException {
        int length = HEADER + records * ACTION;
        buffer.putInt(0, length - 4);
        buffer.putInt(4, records);
        out.write(bytes, 0, length);
        out.flush();
    }

    private int record(byte code, int balancer) {
        int at = HEADER + records++ * ACTION;
        if (at + ACTION > bytes.length) {
            bytes = Arrays.copyOf(bytes, bytes.length * 2);
            buffer = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        }
        Arrays.fill(bytes, at, at + ACTION, (byte) 0);
        bytes[at] = code;
        buffer.putInt(at + 1, balancer);
        return at;
    }

    /** The actions of one instance. */
    Api.Actions of(int balancer) {
        return new Api.Actions() {
            @Override
            public void send(long request, long server, long cutAt) {
                int at = record(SEND, balancer);
                buffer.putLong(at + 5, request);
                buffer.putLong(at + 13, cutAt);
                buffer.putInt(at + 21, (int) server);
                buffer.putShort(at + 25, (short) (server >>> 32));
            }

            @Override
            public void cancel(long request, int attempt) {
                int at = record(CANCEL, balancer);
                buffer.putLong(at + 5, request);
                buffer.putShort(at + 13, (short) attempt);
            }

            @Override
            public void refuse(long request, long retryAfter) {
                int at = record(REFUSE, balancer);
                buffer.putLong(at + 5, request);
                buffer.putLong(at + 13, retryAfter);
            }

            @Override
            public void fail(long request) {
                int at = record(FAIL, balancer);
                buffer.putLong(at + 5, request);
            }

            @Override
            public void wakeAt(long moment, int token) {
                int at = record(WAKE, balancer);
                buffer.putLong(at + 5, moment);
                buffer.putInt(at + 13, token);
            }

            @Override
            public void closeIdle(long server) {
                int at = record(CLOSE_IDLE, balancer);
                buffer.putInt(at + 5, (int) server);
                buffer.putShort(at + 9, (short) (server >>> 32));
            }

            @Override
            public void subscribe() {
                int at = record(SUBSCRIBE, balancer);
                bytes[at + 5] = 1;
            }
        };
    }
}
