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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A cache host on loopback that reads through to a {@link StandInOrigin}: it serves the platform's meta commands,
 * keeps what it fetched, drops repeats of keyed writes, and counts how often each command ran. What it does with each
 * command is the word of a script, so that failures can be caused.
 */
public final class StandInHost extends StandInServer {
    /** An injury and how long the host takes before it shows. */
    public record Turn(Injury injury, long delayMs, long moreNanos) {
        /** Answers at once. */
        public static final Turn SERVE = new Turn(Injury.NONE, 0);

        /** By the millisecond. */
        public Turn(Injury injury, long delayMs) {
            this(injury, delayMs, 0);
        }

        long delayNanos() {
            return TimeUnit.MILLISECONDS.toNanos(delayMs) + moreNanos;
        }
    }

    private static final int MOST_LINE = 4096;
    private static final int MOST_KEPT = 10_000;
    private static final int MOST_COUNTED = 200_000;
    private static final double BUSY_NS = 300e6;

    private final StandInOrigin origin;
    private final Map<String, String> kept = new LinkedHashMap<>();
    private final Map<String, String> receipts = new LinkedHashMap<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicLong commands = new AtomicLong();
    private volatile Function<HostCommand, Turn> script = command -> Turn.SERVE;
    private volatile Consumer<HostCommand> runner = command -> { };
    private long lastReceipt;
    /** When each slot is free; empty for any number. */
    private long[] slots = {};
    private int most;
    private int inside;
    /** The part of its slots that is taken, as it was lately, and when that was. */
    private double busy;
    private long busyAt;
    private String field;

    /** Starts on a free port of loopback. */
    public StandInHost(EventLoop loop, StandInOrigin origin) throws InterruptedException {
        this(loop, origin, anywhere());
    }

    /** Starts there. */
    public StandInHost(EventLoop loop, StandInOrigin origin, InetSocketAddress at) throws InterruptedException {
        super(loop, at);
        this.origin = origin;
        start();
    }

    @Override
    void open(Channel fresh) {
        fresh.pipeline().addLast(new Conversation());
    }

    @Override
    void died() {
        kept.clear();
    }

    /** From now on so many commands are in work at one time, and so many wait; any more are turned away. */
    public void slots(int inWork, int waiting) {
        loop.submit(() -> {
            slots = new long[inWork];
            most = inWork + waiting;
        }).syncUninterruptibly();
    }

    /** A command takes the slot that is free first, and answers when that has done it; in a turn of its own. */
    private Turn queued(Turn turn) {
        if (inside >= most) {
            return new Turn(Injury.TURN_AWAY, 0);
        }
        int first = 0;
        for (int i = 1; i < slots.length; i++) {
            first = slots[i] < slots[first] ? i : first;
        }
        long now = System.nanoTime();
        slots[first] = Math.max(now, slots[first]) + turn.delayNanos();
        lookAtSlots();
        inside++;
        loop.schedule(() -> {
            lookAtSlots();
            inside--;
        }, slots[first] - now, TimeUnit.NANOSECONDS);
        return new Turn(turn.injury(), 0, slots[first] - now);
    }

    /** From now on answers tell in this field of a load report how busy its slots have been lately; they are to be set. */
    public void reports(String name) {
        loop.submit(() -> field = name).syncUninterruptibly();
    }

    /** A mean over time in which what is older counts less. */
    private void lookAtSlots() {
        long now = System.nanoTime();
        double kept = Math.exp(-(now - busyAt) / BUSY_NS);
        busy = busy * kept + (1 - kept) * Math.min(1.0, inside / (double) slots.length);
        busyAt = now;
    }

    private String report() {
        return field == null ? "" : String.format(java.util.Locale.ROOT, " L%s=%.2f", field, busy);
    }

    /** From now on commands are treated so; called on the host's loop. */
    public void script(Function<HostCommand, Turn> treatment) {
        script = treatment;
    }

    /** From now on this one hears of each command that runs, and not of those that are turned away; on the host's loop. */
    public void onRun(Consumer<HostCommand> hears) {
        runner = hears;
    }

    /** A part of what it keeps goes void, from 0 to 1. */
    public void flush(double part) {
        loop.submit(() -> {
            int[] seen = new int[1];
            // Evenly over all, old ones and new.
            kept.keySet().removeIf(key -> (int) (++seen[0] * part) != (int) ((seen[0] - 1) * part));
        }).syncUninterruptibly();
    }

    /** How often the command with this id ran here. */
    public int runs(String id) {
        return runs.getOrDefault(id, 0);
    }

    /** Ids of all commands that ran here, with how often. */
    public Map<String, Integer> runs() {
        return Map.copyOf(runs);
    }

    /** Commands that came, whatever became of them. */
    public long commands() {
        return commands.get();
    }

    /** One connection: commands are answered in order. */
    private final class Conversation extends ByteToMessageDecoder {
        private String line;
        private int length;
        /** When the answer before the next one is due, lest a quick one overtakes a slow one. */
        private long free;

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (line == null) {
                int end = in.bytesBefore((byte) '\n');
                if (end < 1) {
                    if (in.readableBytes() > MOST_LINE) {
                        ctx.close();
                    }
                    return;
                }
                line = in.readCharSequence(end, StandardCharsets.ISO_8859_1).toString().replace("\r", "");
                in.skipBytes(1);
                length = line.startsWith("ms ") ? length(line) : -1;
            }
            if (length >= 0 && in.readableBytes() < length + 2) {
                return;
            }
            String data = "";
            if (length >= 0) {
                data = in.readCharSequence(length, StandardCharsets.ISO_8859_1).toString();
                in.skipBytes(2);
            }
            String whole = line;
            line = null;
            take(ctx, whole, data);
        }

        private static int length(String line) {
            String[] words = line.split(" ");
            return words.length > 2 ? Integer.parseInt(words[2]) : 0;
        }

        private void take(ChannelHandlerContext ctx, String whole, String data) {
            HostCommand command = HostCommand.of(whole, data);
            if (command == null) {
                write(ctx, whole.equals("mn") ? "MN\r\n" : "ERROR\r\n");
                return;
            }
            commands.incrementAndGet();
            Turn wanted = script.apply(command);
            Turn turn = wanted.injury().runs && slots.length > 0 ? queued(wanted) : wanted;
            if (turn.injury().runs) {
                runner.accept(command);
                if (runs.size() < MOST_COUNTED) {
                    runs.merge(command.id(), 1, Integer::sum);
                }
            }
            boolean far = turn.injury().runs && (command.write() || !kept.containsKey(command.key()));
            long now = System.nanoTime();
            long ready = (far ? origin.done(now) : now) + turn.delayNanos();
            String answer = turn.injury().runs ? run(command, ready - now) : "SERVER_ERROR busy" + report() + "\r\n";
            long due = Math.max(free, ready);
            free = due;
            if (due <= now) {
                show(ctx, turn.injury(), command, answer);
            } else {
                loop.schedule(() -> show(ctx, turn.injury(), command, answer), due - now, TimeUnit.NANOSECONDS);
            }
        }

        private void show(ChannelHandlerContext ctx, Injury injury, HostCommand command, String answer) {
            switch (injury) {
                case NONE, TURN_AWAY -> write(ctx, answer);
                case FAIL -> write(ctx, "SERVER_ERROR failed\r\n");
                case DROP -> { }
                case RESET -> reset(ctx.channel());
                case SPOIL -> write(ctx, "VA 5 O" + command.id() + "x\u0001\r\n");
                case CUT -> ctx.writeAndFlush(bytes(answer.substring(0, answer.length() / 2)))
                        .addListener(ChannelFutureListener.CLOSE);
                default -> throw new AssertionError(injury);
            }
        }

        private void write(ChannelHandlerContext ctx, String answer) {
            ctx.writeAndFlush(bytes(answer));
        }

        private static ByteBuf bytes(String text) {
            return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Carries a command out and words its answer, which is kept once it has come from the origin, in so many nanoseconds. */
    private String run(HostCommand command, long afterNanos) {
        if (!command.write()) {
            String value = kept.get(command.key());
            boolean hit = value != null;
            if (!hit) {
                String fetched = origin.fetch(command.key());
                value = fetched;
                if (afterNanos <= 0) {
                    keep(kept, command.key(), fetched);
                } else {
                    loop.schedule(() -> {
                        // A write that came meanwhile has voided it.
                        if (origin.isCurrent(command.key(), fetched)) {
                            keep(kept, command.key(), fetched);
                        }
                    }, afterNanos, TimeUnit.NANOSECONDS);
                }
            }
            return "VA " + value.length() + " O" + command.id() + (hit ? " h1" : " h0") + report() + "\r\n" + value + "\r\n";
        }
        String key = command.figures().get("k");
        String receipt = key == null ? null : receipts.get(key);
        if (receipt == null) {
            origin.write(command.key());
            kept.remove(command.key());
            receipt = Long.toString(++lastReceipt);
            if (key != null) {
                keep(receipts, key, receipt);
            }
        }
        return "HD O" + command.id() + " c" + receipt + report() + "\r\n";
    }

    private static void keep(Map<String, String> map, String key, String value) {
        if (map.size() >= MOST_KEPT) {
            map.remove(map.keySet().iterator().next());
        }
        map.put(key, value);
    }
}
