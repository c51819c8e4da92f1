package eiderscale.meta;

import eiderscale.config.Catalog;
import eiderscale.config.Routes;
import eiderscale.config.Site;
import eiderscale.Api;
import eiderscale.net.Clock;
import eiderscale.net.Request;
import eiderscale.net.Snapshot;
import eiderscale.net.Upload;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** A client's read or write, checked, with what is needed to pass it on in the same words. */
final class MetaCommand implements Request {
    private static final int MOST_KEY = 250;
    private static final int MOST_OPAQUE = 32;
    private static final int HEX_KEY = 16;
    /** Clients give five figures, and as many more as a request has in the settings. */
    private static final int MOST_FIGURES = 32;
    /** What an open command takes beside its value: its words twice, as they are cut in parts, and all that is kept with it. */
    private static final int COMMAND_BYTES = 1536;
    /** Begins the ids that balancers make up. */
    static final char OWN_ID = '~';
    private static final int MOST_FLAG = 11;
    /** A longer guess at the work is cut to this, in microseconds: no client means it. */
    private static final long MOST_WORK = 3_600_000_000L;

    /** A command that cannot be taken; the message is the answer. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String what) {
            super("CLIENT_ERROR " + what, null, false, false);
        }
    }

    final boolean write;
    final String key;
    private final String opaque;
    final byte[] value;
    /** The value where it is too long to be held; null for any other command. */
    final Upload upload;
    /** Of the value. */
    private final int length;
    private final Snapshot snapshot;
    private final int requestClass;
    private final int tenant;
    private final long waitMs;
    private final boolean repeat;
    /** Expected work in nanoseconds, 0 if not told. */
    private final long work;
    /** Flags that go to memcached and back unread, each with a blank before it. */
    final String extra;
    private final String[] figures;
    private final int wordBytes;
    /** Whether the client gave an id and is told it again; hosts get one of our own otherwise. */
    private final boolean named;
    /** The name of the class that a route picked; null where the client's own word counts. */
    private final String className;
    private int waitAt = -1;

    /**
     * {@code snapshot}: the settings in service. {@code own}: makes the id of a command whose client gave none. {@code body}: a value that is not held; or null.
     * {@code waitedMs}: how long it may have waited here already, in milliseconds, which comes off its client's wait.
     */
    MetaCommand(MetaFrame frame, Snapshot snapshot, Supplier<String> own, Upload body, long waitedMs) throws Malformed {
        this.snapshot = snapshot;
        Site site = snapshot.site();
        write = frame.is(0, "ms");
        value = frame.data();
        upload = body;
        length = frame.length();
        if (frame.words().size() < 2 || frame.words().get(1).length() > MOST_KEY) {
            throw new Malformed("bad key");
        }
        key = frame.words().get(1);
        int flags = write ? 3 : 2;
        String id = null;
        String list = null;
        boolean wantsValue = false;
        StringBuilder others = new StringBuilder();
        for (String word : frame.words().subList(flags, frame.words().size())) {
            // Said twice, a flag could be passed on in a form that no client sent: it counts as unknown.
            if (word.charAt(0) == 'O' && id == null) {
                id = word.substring(1);
            } else if (word.charAt(0) == 'P' && list == null) {
                list = word.substring(1);
            } else if (word.equals("v") && !wantsValue) {
                wantsValue = true;
            } else if (site.hostKind == Site.HostKind.MEMCACHED && passes(word, others)) {
                others.append(' ').append(word);
            } else {
                throw new Malformed("unknown flag");
            }
        }
        boolean lenient = site.routes != null;
        if (id == null && !lenient || id != null && (id.isEmpty() || id.length() > MOST_OPAQUE
                || lenient && id.charAt(0) == OWN_ID)) {
            throw new Malformed("bad or missing opaque");
        }
        if (wantsValue == write) {
            throw new Malformed(write ? "ms takes no v" : "mg needs v");
        }
        named = id != null;
        opaque = named ? id : own.get();
        extra = others.toString();
        figures = list == null ? new String[0] : list.split(",", MOST_FIGURES + 1);
        if (figures.length > MOST_FIGURES) {
            throw new Malformed("too many figures");
        }
        wordBytes = 2 * (key.length() + others.length() + (list == null ? 0 : list.length()));
        requestClass = lenient ? route(site.routes) : number(site.requestClass(figure("c")), "class");
        className = lenient ? site.routes.name(requestClass) : null;
        tenant = number(site.tenant(figure("t")), "tenant");
        Api.RequestClass c = site.settings.classes().get(requestClass);
        long longest = c.deadline() / Clock.MILLISECOND;
        // No client of this class waits longer: an hour asked for would hold its place for an hour.
        long wholeWaitMs = Math.min(longest, whole("d", lenient ? longest : -1));
        if (wholeWaitMs < 0) {
            throw new Malformed("missing d");
        }
        waitMs = Math.max(0, wholeWaitMs - waitedMs);
        if (c.effect() == Api.Effect.DEDUP && figure("k") == null) {
            // Without it hosts cannot tell a repeat.
            throw new Malformed("missing k");
        }
        repeat = "1".equals(figure("r"));
        work = Math.min(MOST_WORK, whole("h", 0)) * 1000;
        for (int i = 0; i < figures.length; i++) {
            String name = figures[i].substring(0, figures[i].indexOf('=') + 1);
            boolean bad = name.isEmpty();
            for (int j = 0; j < i && !bad; j++) {
                bad = figures[j].startsWith(name);
            }
            if (bad) {
                throw new Malformed("bad list of figures");
            }
            waitAt = name.equals("d=") ? i : waitAt;
        }
    }

    /** The read that goes to a host for all that want the same: its id is this balancer's own, as no client is told it. */
    private MetaCommand(MetaCommand cause, String id, long waitMs) {
        write = false;
        key = cause.key;
        opaque = id;
        value = null;
        upload = null;
        length = 0;
        snapshot = cause.snapshot;
        requestClass = cause.requestClass;
        tenant = cause.tenant;
        this.waitMs = waitMs;
        repeat = false;
        work = cause.work;
        extra = cause.extra;
        figures = cause.figures;
        wordBytes = cause.wordBytes;
        named = false;
        className = cause.className;
        waitAt = cause.waitAt;
    }

    /** A read like this one, under another id and with another wait. */
    MetaCommand forAll(String id, long wait) {
        return new MetaCommand(this, id, wait);
    }

    private int route(Routes routes) throws Malformed {
        try {
            return routes.choose(write, key, figure("c"));
        } catch (Routes.Unroutable e) {
            throw new Malformed(e.getMessage());
        }
    }

    /** Whether a flag may go on: each letter once, and none that makes a read change anything. */
    private boolean passes(String word, StringBuilder others) {
        boolean known = write ? "TF".indexOf(word.charAt(0)) >= 0 && word.length() > 1 && word.length() <= MOST_FLAG
                : "fts".indexOf(word.charAt(0)) >= 0 && word.length() == 1;
        return known && others.indexOf(" " + word.charAt(0)) < 0
                && word.chars().skip(1).allMatch(c -> c >= '0' && c <= '9');
    }

    private static int number(Integer number, String what) throws Malformed {
        if (number == null) {
            throw new Malformed("unknown " + what);
        }
        return number;
    }

    /** In plain loops, as all that each request runs through: streams are slow for long after a start. */
    private String figure(String name) {
        for (String figure : figures) {
            if (figure.startsWith(name) && figure.startsWith("=", name.length())) {
                return figure.substring(name.length() + 1);
            }
        }
        return null;
    }

    private long whole(String name, long otherwise) throws Malformed {
        String text = figure(name);
        try {
            long number = text == null ? otherwise : Long.parseLong(text);
            if (text == null || number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new Malformed("bad " + name);
    }

    @Override
    public String label() {
        return (write ? "ms " : "mg ") + key;
    }

    @Override
    public String id() {
        return opaque;
    }

    @Override
    public Snapshot snapshot() {
        return snapshot;
    }

    @Override
    public int requestClass() {
        return requestClass;
    }

    @Override
    public int tenant() {
        return tenant;
    }

    @Override
    public long waitMs() {
        return waitMs;
    }

    @Override
    public long work() {
        return work;
    }

    @Override
    public boolean repeat() {
        return repeat;
    }

    @Override
    public boolean write() {
        return write;
    }

    @Override
    public int heldBytes() {
        return COMMAND_BYTES + wordBytes + (value == null ? 0 : value.length);
    }

    @Override
    public boolean isBulk() {
        return upload != null;
    }

    @Override
    public boolean isCut() {
        return upload != null && upload.isCut();
    }

    @Override
    public boolean maySend() {
        return upload == null || !upload.isTaken();
    }

    /** The key as the module's number: hexadecimal keys as they are, others by a hash all balancers share. */
    @Override
    public long key() {
        try {
            if (key.length() <= HEX_KEY) {
                return Long.parseUnsignedLong(key, 16);
            }
        } catch (NumberFormatException e) {
            // Any other name for a key.
        }
        return Catalog.hash(key);
    }

    /** The beginning of a line for a host: the command, its key and the id that the host knows it by. */
    String head() {
        return (write ? "ms " + key + " " + length : "mg " + key + " v") + " O" + opaque;
    }

    /** The list of figures for a host: as it came, but for how long is left to wait and what a route picked. */
    String figures(long leftMs) {
        String[] list = figures.clone();
        if (waitAt >= 0) {
            list[waitAt] = "d=" + leftMs;
        }
        String line = String.join(",", list);
        if (className == null) {
            return line;
        }
        if (waitAt < 0) {
            line += (line.isEmpty() ? "d=" : ",d=") + leftMs;
        }
        String told = figure("c");
        return told == null ? line + ",c=" + className
                : told.equals(className) ? line : ("," + line).replace(",c=" + told, ",c=" + className).substring(1);
    }

    /** The id as its client is told it, with a blank before it; empty for a client that gave none. */
    String echo() {
        return named ? " O" + opaque : "";
    }

    /** A line and, behind it, a data block if there is one. */
    static ByteBuf line(ByteBufAllocator alloc, String line, byte[] data) {
        ByteBuf bytes = alloc.buffer(line.length() + (data == null ? 0 : data.length + 2));
        bytes.writeCharSequence(line, StandardCharsets.ISO_8859_1);
        if (data != null) {
            bytes.writeBytes(data);
            ByteBufUtil.writeShortBE(bytes, '\r' << 8 | '\n');
        }
        return bytes;
    }
}
