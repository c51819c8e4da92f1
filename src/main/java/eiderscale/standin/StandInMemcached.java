package eiderscale.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A memcached on loopback as far as a balancer meets one: {@code mg}, {@code ms}, {@code md}, {@code mn} and a little of
 * {@code stats}, by the section "Meta Commands" of doc/protocol.txt of memcached 1.6. It keeps what it was given, within
 * a bound on bytes (the least recently used goes first), forgets what has expired, and answers on each connection in
 * order. Flags that change nothing a balancer passes on are refused as memcached refuses unknown ones.
 */
public final class StandInMemcached extends StandInServer {
    private static final int MOST_LINE = 2048;
    private static final int MOST_KEY = 250;
    /** Beyond this a block is not even passed over. */
    private static final int MOST_BLOCK = 64 * 1024 * 1024;
    /** What an item costs beside its key and value, as in memcached's own accounting. */
    private static final int ITEM = 56;

    private final int largestValue;
    private final long memory;
    private final Map<String, Item> items = new LinkedHashMap<>(16, 0.75f, true);
    private final AtomicLong commands = new AtomicLong();
    private volatile long delayMs;
    private volatile String fault;
    private volatile int count;
    private long bytes;
    private long lastCas;

    private record Item(byte[] value, String flags, long expires, long cas) {
        boolean isOver(long now) {
            return expires != Long.MAX_VALUE && now >= expires;
        }
    }

    /** Starts on a free port of loopback, with room enough and values of up to 1 MiB, as memcached has by default. */
    public StandInMemcached(EventLoop loop) throws InterruptedException {
        this(loop, anywhere(), 64L << 20, 1 << 20);
    }

    /** Starts there; {@code memory} and {@code largestValue} in bytes. */
    public StandInMemcached(EventLoop loop, InetSocketAddress at, long memory, int largestValue) throws InterruptedException {
        super(loop, at);
        this.memory = memory;
        this.largestValue = largestValue;
        start();
    }

    /** From now on each answer waits so long, in milliseconds; those behind it on its connection wait with it. */
    public void delay(long ms) {
        delayMs = ms;
    }

    /** From now on each {@code mg} and {@code ms} is answered {@code SERVER_ERROR} and this, and does nothing; null ends that. */
    public void fault(String what) {
        fault = what;
    }

    /** How many items it holds. */
    public int items() {
        return count;
    }

    /** Commands that came. */
    public long commands() {
        return commands.get();
    }

    @Override
    void open(Channel fresh) {
        fresh.pipeline().addLast(new Conversation());
    }

    @Override
    void died() {
        items.clear();
        bytes = 0;
        count = 0;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000_000L;
    }

    private Item find(String key) {
        Item item = items.get(key);
        if (item != null && item.isOver(now())) {
            remove(key);
            return null;
        }
        return item;
    }

    private void remove(String key) {
        Item old = items.remove(key);
        if (old != null) {
            bytes -= ITEM + key.length() + old.value.length;
        }
        count = items.size();
    }

    private void put(String key, Item item) {
        remove(key);
        items.put(key, item);
        bytes += ITEM + key.length() + item.value.length;
        while (bytes > memory) {
            remove(items.keySet().iterator().next());
        }
        count = items.size();
    }

    private final class Conversation extends ByteToMessageDecoder {
        private String line;
        private int length;
        private boolean pausing;

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (pausing) {
                return;
            }
            if (line == null) {
                int end = in.bytesBefore((byte) '\n');
                if (end < 0 && in.readableBytes() > MOST_LINE || end > MOST_LINE) {
                    in.skipBytes(in.readableBytes());
                    answer(ctx, "CLIENT_ERROR line too long", true);
                }
                if (end < 0 || in.readableBytes() == 0) {
                    return;
                }
                line = in.readCharSequence(end, StandardCharsets.ISO_8859_1).toString().replace("\r", "");
                in.skipBytes(1);
                length = line.startsWith("ms ") ? length(line) : -1;
                if (length == Integer.MIN_VALUE) {
                    line = null;
                    in.skipBytes(in.readableBytes());
                    answer(ctx, "CLIENT_ERROR bad data chunk", true);
                    return;
                }
            }
            if (length >= 0 && in.readableBytes() < length + 2) {
                return;
            }
            byte[] data = new byte[Math.max(0, length)];
            boolean whole = true;
            if (length >= 0) {
                in.readBytes(data);
                whole = in.readByte() == '\r' & in.readByte() == '\n';
            }
            String[] words = line.trim().split(" +");
            line = null;
            if (whole) {
                run(ctx, words, data);
            } else {
                answer(ctx, "CLIENT_ERROR bad data chunk", true);
            }
        }

        private static int length(String line) {
            String[] words = line.split(" +");
            return words.length > 2 && words[2].matches("[0-9]{1,8}") && Integer.parseInt(words[2]) <= MOST_BLOCK
                    ? Integer.parseInt(words[2]) : Integer.MIN_VALUE;
        }

        private void run(ChannelHandlerContext ctx, String[] words, byte[] data) {
            commands.incrementAndGet();
            switch (words[0]) {
                case "mn" -> answer(ctx, "MN", false);
                case "mg", "ms", "md" -> meta(ctx, words, data);
                case "stats" -> {
                    items.keySet().stream().toList().forEach(StandInMemcached.this::find);
                    answer(ctx, "STAT curr_items " + count + "\r\nSTAT bytes " + bytes + "\r\nEND", false);
                }
                case "quit" -> ctx.close();
                default -> answer(ctx, "ERROR", false);
            }
        }

        private void meta(ChannelHandlerContext ctx, String[] words, byte[] data) {
            boolean store = words[0].equals("ms");
            if (words.length < 2 || words[1].length() > MOST_KEY) {
                answer(ctx, "CLIENT_ERROR bad command line format", false);
                return;
            }
            List<String> flags = Arrays.asList(words).subList(store ? 3 : 2, words.length);
            String known = store ? "OkqcsTFbI" : words[0].equals("mg") ? "Okqcfstv" : "Okq";
            if (flags.stream().anyMatch(flag -> known.indexOf(flag.charAt(0)) < 0)
                    || flags.stream().map(flag -> flag.charAt(0)).distinct().count() < flags.size()
                    || !numeric(flags, 'T') || !numeric(flags, 'F')) {
                answer(ctx, "CLIENT_ERROR invalid or duplicate flag", false);
            } else if (fault != null) {
                answer(ctx, "SERVER_ERROR " + fault, false);
            } else if (store) {
                answer(ctx, store(words[1], flags, data), false);
            } else if (words[0].equals("md")) {
                boolean was = find(words[1]) != null;
                remove(words[1]);
                answer(ctx, (was ? "HD" : "NF") + echo(words[1], flags), false);
            } else {
                read(ctx, words[1], flags);
            }
        }

        private static boolean numeric(List<String> flags, char letter) {
            return flags.stream().filter(flag -> flag.charAt(0) == letter).allMatch(flag -> flag.matches(".-?[0-9]{1,10}"));
        }

        private static String flag(List<String> flags, char letter, String otherwise) {
            return flags.stream().filter(flag -> flag.charAt(0) == letter).map(flag -> flag.substring(1)).findFirst()
                    .orElse(otherwise);
        }

        /** What is only said again: opaque and key, in the order in which they were asked for. */
        private static String echo(String key, List<String> flags) {
            StringBuilder line = new StringBuilder();
            for (String flag : flags) {
                if (flag.charAt(0) == 'O') {
                    line.append(' ').append(flag);
                } else if (flag.equals("k")) {
                    line.append(" k").append(key);
                }
            }
            return line.toString();
        }

        private String store(String key, List<String> flags, byte[] data) {
            if (data.length > largestValue) {
                // As memcached does it: an old value under the key must not outlive the attempt to replace it.
                remove(key);
                return "SERVER_ERROR object too large for cache";
            }
            long ttl = Long.parseLong(flag(flags, 'T', "0"));
            if (ttl < 0) {
                remove(key);
            } else {
                put(key, new Item(data, flag(flags, 'F', "0"), ttl == 0 ? Long.MAX_VALUE : now() + ttl, ++lastCas));
            }
            StringBuilder line = new StringBuilder("HD");
            for (String flag : flags) {
                switch (flag.charAt(0)) {
                    case 'O' -> line.append(' ').append(flag);
                    case 'k' -> line.append(" k").append(key);
                    case 'c' -> line.append(" c").append(lastCas);
                    case 's' -> line.append(" s").append(data.length);
                    default -> { }
                }
            }
            return line.toString();
        }

        private void read(ChannelHandlerContext ctx, String key, List<String> flags) {
            Item item = find(key);
            if (item == null) {
                answer(ctx, "EN", false);
                return;
            }
            boolean value = flags.contains("v");
            StringBuilder line = new StringBuilder(value ? "VA " + item.value.length : "HD");
            for (String flag : flags) {
                switch (flag.charAt(0)) {
                    case 'O' -> line.append(' ').append(flag);
                    case 'k' -> line.append(" k").append(key);
                    case 'c' -> line.append(" c").append(item.cas);
                    case 'f' -> line.append(" f").append(item.flags);
                    case 's' -> line.append(" s").append(item.value.length);
                    case 't' -> line.append(" t").append(item.expires == Long.MAX_VALUE ? -1 : item.expires - now());
                    default -> { }
                }
            }
            write(ctx, value ? Unpooled.wrappedBuffer(text(line + "\r\n"), Unpooled.wrappedBuffer(item.value), text("\r\n"))
                    : text(line + "\r\n"), false);
        }

        private void answer(ChannelHandlerContext ctx, String line, boolean last) {
            write(ctx, text(line + "\r\n"), last);
        }

        private static ByteBuf text(String text) {
            return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        }

        private void write(ChannelHandlerContext ctx, ByteBuf answer, boolean last) {
            long ms = delayMs;
            if (ms == 0) {
                show(ctx, answer, last);
                return;
            }
            pausing = true;
            loop.schedule(() -> {
                pausing = false;
                show(ctx, answer, last);
                // What came meanwhile is read now, in its order.
                ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
            }, ms, TimeUnit.MILLISECONDS);
        }

        private void show(ChannelHandlerContext ctx, ByteBuf answer, boolean last) {
            if (last) {
                ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
            } else {
                ctx.writeAndFlush(answer);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
