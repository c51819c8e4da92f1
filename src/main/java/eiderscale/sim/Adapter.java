package eiderscale.sim;

import eiderscale.Api;
import eiderscale.Router;
import eiderscale.config.SettingsParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads event batches, hands them to one {@link Router} per instance, and replies. Decides nothing. */
final class Adapter {
    static final int EVENT = 56;
    private static final int ENTRY = 24;
    private static final int LISTS = 16;
    private static final int BODY_HEADER = 12;
    /** A frame longer than this is taken for a damaged length. */
    static final int MOST_BYTES = 1 << 28;
    private static final int ATTR_HINT = 1;
    private static final int ATTR_REPEAT = 2;
    private static final int ATTR_WRITE = 4;
    private static final float[] NO_REPORT = new float[0];

    /** One balancer hosted here, and how many request classes its settings name. */
    private record Instance(Router router, int classes) {
    }

    private final InputStream in;
    private final OutputStream out;
    private final ReplyWriter reply = new ReplyWriter();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<Api.Server>> lists = new ArrayList<>();
    private ByteBuffer frame;
    private int tail;

    Adapter(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
        for (int i = 0; i < LISTS; i++) {
            lists.add(null);
        }
    }

    /** Serves until the end of input. */
    void run() throws IOException {
        while (readFrame()) {
            reply.begin();
            int records = frame.getInt(0);
            long now = frame.getLong(4);
            for (int i = 0; i < records; i++) {
                event(now, BODY_HEADER + i * EVENT);
            }
            reply.finish(out);
        }
    }

    private boolean readFrame() throws IOException {
        byte[] head = in.readNBytes(4);
        if (head.length == 0) {
            return false;
        }
        if (head.length < 4) {
            throw new WireException("end of input inside a frame's length");
        }
        int length = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (length < BODY_HEADER || length > MOST_BYTES) {
            throw new WireException("impossible frame length " + Integer.toUnsignedString(length));
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new WireException("end of input inside a frame: " + body.length + " of " + length + " bytes");
        }
        frame = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        int records = frame.getInt(0);
        long end = BODY_HEADER + (records & 0xffffffffL) * EVENT;
        if (end > length) {
            throw new WireException("a frame of " + length + " bytes cannot hold "
                    + Integer.toUnsignedString(records) + " records");
        }
        tail = (int) end;
        return true;
    }

    private void event(long now, int at) {
        int code = frame.get(at) & 0xff;
        if (code == 0) {
            list(at);
            return;
        }
        int balancer = frame.getInt(at + 1);
        if (code == 7) {
            start(at, balancer);
            return;
        }
        if (code > 10) {
            throw new WireException("unknown event code " + code);
        }
        Instance instance = instances.get(balancer);
        if (instance == null) {
            throw new WireException("event " + code + " for balancer " + balancer + ", which has not started");
        }
        Router router = instance.router();
        switch (code) {
            case 1 -> router.onTimer(now, frame.getInt(at + 5));
            case 2 -> router.onOutcome(now, outcome(at));
            case 3 -> instances.remove(balancer);
            case 6 -> router.onList(now, mode(at), entries(at));
            case 8 -> router.onFirstByte(now, frame.getLong(at + 5), unsignedShort(at + 13));
            case 9 -> router.onClientGone(now, frame.getLong(at + 5));
            case 10 -> router.onRequest(now, request(at, instance.classes()));
            default -> {
                // 4 and 5: messages and probe results, which this module never asks for.
            }
        }
    }

    private void start(int at, int balancer) {
        int[] range = tailRange(at + 13, 1);
        String text = new String(frame.array(), range[0], range[1], StandardCharsets.UTF_8);
        Api.Settings settings = SettingsParser.parse(text);
        if (settings.classes().isEmpty()) {
            throw new WireException("settings of balancer " + balancer + " name no request class");
        }
        Router router = new Router(settings, frame.getLong(at + 5), reply.of(balancer));
        instances.put(balancer, new Instance(router, settings.classes().size()));
    }

    private void list(int at) {
        int[] range = tailRange(at + 2, ENTRY);
        List<Api.Server> servers = new ArrayList<>(range[1]);
        for (int i = 0; i < range[1]; i++) {
            int entry = range[0] + i * ENTRY;
            int state = frame.get(entry + 11);
            if (state < 0 || state > 2) {
                throw new WireException("unknown server condition " + state);
            }
            servers.add(new Api.Server(address(entry), unsignedShort(entry + 6), frame.get(entry + 8) & 0xff,
                    unsignedShort(entry + 9), Api.State.values()[state], frame.getFloat(entry + 12),
                    frame.getLong(entry + 16)));
        }
        lists.set(listNumber(at + 1), List.copyOf(servers));
    }

    private int listNumber(int at) {
        int number = frame.get(at) & 0xff;
        if (number >= LISTS) {
            throw new WireException("impossible list number " + number);
        }
        return number;
    }

    private Api.ListMode mode(int at) {
        int mode = frame.get(at + 5) & 0xff;
        if (mode >= Api.ListMode.values().length) {
            throw new WireException("unknown list mode " + mode);
        }
        return Api.ListMode.values()[mode];
    }

    private List<Api.Server> entries(int at) {
        if (mode(at) == Api.ListMode.FAILED) {
            return List.of();
        }
        int number = listNumber(at + 14);
        if (lists.get(number) == null) {
            throw new WireException("list " + number + " was never sent");
        }
        return lists.get(number);
    }

    private Api.Request request(int at, int classCount) {
        int attrs = frame.get(at + 47);
        int requestClass = unsignedShort(at + 13);
        if (requestClass >= classCount) {
            throw new WireException("unknown request class " + requestClass);
        }
        return new Api.Request(frame.getLong(at + 5), requestClass, frame.getInt(at + 15) & Integer.MAX_VALUE,
                frame.getLong(at + 19), frame.getLong(at + 27),
                (attrs & ATTR_HINT) != 0 ? frame.getLong(at + 35) : 0, (attrs & ATTR_REPEAT) != 0,
                (attrs & ATTR_WRITE) != 0);
    }

    private Api.Outcome outcome(int at) {
        int code = unsignedShort(at + 21);
        Api.Reason reason = switch (code) {
            case 200 -> Api.Reason.OK;
            case 204 -> Api.Reason.MISS;
            case 408 -> Api.Reason.TIMEOUT;
            case 409 -> Api.Reason.MOOT;
            case 429 -> Api.Reason.REJECTED;
            case 444 -> Api.Reason.CANCELLED;
            case 502 -> Api.Reason.ERROR;
            case 520 -> Api.Reason.RESET;
            case 521 -> Api.Reason.CONNECT_FAILED;
            default -> throw new WireException("unknown outcome " + code);
        };
        int n = Math.min(4, frame.get(at + 36) & 0xff);
        float[] report = n == 0 ? NO_REPORT : new float[n];
        for (int i = 0; i < n; i++) {
            report[i] = frame.getFloat(at + 37 + 4 * i);
        }
        return new Api.Outcome(frame.getLong(at + 5), unsignedShort(at + 13), reason, frame.getLong(at + 23),
                frame.get(at + 31) != 0, report, lookup(frame.getInt(at + 32)));
    }

    private static Api.Lookup lookup(int remark) {
        return remark == 1 ? Api.Lookup.HIT : remark == 2 || remark == 3 ? Api.Lookup.MISS : Api.Lookup.UNTOLD;
    }

    /** Start and count of a piece of the tail, checked against the frame's end. */
    private int[] tailRange(int at, int size) {
        long offset = frame.getInt(at) & 0xffffffffL;
        long count = frame.getInt(at + 4) & 0xffffffffL;
        if (tail + offset + count * size > frame.capacity()) {
            throw new WireException("a record points past the end of its frame: offset " + offset + ", length "
                    + count);
        }
        return new int[] {(int) (tail + offset), (int) count};
    }

    private long address(int at) {
        return frame.getInt(at) & 0xffffffffL | (long) unsignedShort(at + 4) << 32;
    }

    private int unsignedShort(int at) {
        return frame.getShort(at) & 0xffff;
    }
}
