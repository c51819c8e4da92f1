package eiderscale.datagrams;

import eiderscale.members.Membership;
import eiderscale.members.Message;
import eiderscale.members.Pace;
import eiderscale.members.View;
import eiderscale.members.Word;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** One member on a socket; all of it on one event loop. What is foreign, broken or too much is dropped and counted. */
public final class MemberServer {
    /** Datagrams of one sender that are read in a second; a member sends a dozen at its busiest. */
    static final int MOST_EACH = 200;
    private static final int MOST_SENDERS = 4096;
    private static final long SECOND = 1_000_000_000L;

    private final EventLoop loop;
    private final Codec codec;
    private final LongSupplier clock;
    private final Consumer<View> hears;
    private final Channel channel;
    private final Map<InetSocketAddress, int[]> senders = new HashMap<>();
    private Membership membership;
    private View view;
    private long countedFrom;
    private Future<?> armed;
    private long armedFor = Long.MAX_VALUE;
    private long foreign;
    private long flooded;
    private long sent;
    private boolean over;

    private MemberServer(EventLoop loop, String group, InetSocketAddress listen, LongSupplier clock, Consumer<View> hears)
            throws InterruptedException {
        this.loop = loop;
        this.codec = new Codec(group);
        this.clock = clock;
        this.hears = hears;
        this.channel = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                // One byte more than is allowed shows what is too long.
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Codec.MOST + 1))
                .handler(new Reader()).bind(listen).sync().channel();
    }

    /**
     * Binds and joins. Not to be called on the loop. {@code hears}: told of each change of the view, on the loop. Throws what binding
     * throws.
     */
    public static MemberServer start(EventLoop loop, String group, String name, InetSocketAddress listen, long incarnation,
            List<InetSocketAddress> seeds, long seed, LongSupplier clock, Consumer<View> hears) throws InterruptedException {
        if (name.isEmpty() || name.length() > Codec.MOST_NAME) {
            throw new IllegalArgumentException("a name has 1 to " + Codec.MOST_NAME + " characters");
        }
        MemberServer server = new MemberServer(loop, group, listen, clock, hears);
        loop.submit(() -> server.join(name, incarnation, seeds, seed)).sync();
        return server;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private void join(String name, long incarnation, List<InetSocketAddress> seeds, long seed) {
        membership = new Membership(name, text(address()), incarnation, seeds.stream().map(MemberServer::text).toList(), Pace.USUAL, seed,
                clock.getAsLong(), new Membership.Out() {
                    @Override
                    public void send(String address, Message message) {
                        write(address, message);
                    }

                    @Override
                    public void changed(View fresh) {
                        view = fresh;
                        hears.accept(fresh);
                    }
                });
        view = membership.view();
        arm();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Who is there; on the loop. */
    public View view() {
        return view;
    }

    /** In words, for operators; on the loop. */
    public String text() {
        StringBuilder text = new StringBuilder("epoch " + view.epoch() + " here " + view.members().size() + " known " + view.known()
                + (view.isLargerPart() ? " larger-part" : " not-larger-part") + " slowness " + membership.slowness() + " sent " + sent
                + (membership.namesake().isEmpty() ? "" : " NAMESAKE " + membership.namesake()) + " foreign " + foreign + " flooded " + flooded);
        for (Word word : view.members()) {
            text.append(' ').append(word.name()).append('=').append(word.address()).append('/').append(word.incarnation()).append('/')
                    .append(word.status().name().toLowerCase(java.util.Locale.ROOT));
        }
        return text.toString();
    }

    private void write(String address, Message message) {
        int colon = address.lastIndexOf(':');
        try {
            InetSocketAddress to = new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
                    Integer.parseInt(address.substring(colon + 1)));
            sent++;
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(codec.encode(message)), to));
        } catch (UnknownHostException | IllegalArgumentException e) {
            foreign++;
        }
    }

    private void arm() {
        long at = membership.nextAt();
        if (over || at >= armedFor && armed != null) {
            return;
        }
        if (armed != null) {
            armed.cancel(false);
        }
        armedFor = at;
        armed = loop.schedule(() -> {
            armed = null;
            armedFor = Long.MAX_VALUE;
            if (!over) {
                membership.tick(clock.getAsLong());
                arm();
            }
        }, Math.max(0, at - clock.getAsLong()), TimeUnit.NANOSECONDS);
    }

    private boolean isTooMuch(InetSocketAddress sender) {
        long now = clock.getAsLong();
        if (now - countedFrom > SECOND) {
            countedFrom = now;
            senders.clear();
        }
        if (senders.size() >= MOST_SENDERS && !senders.containsKey(sender)) {
            return true;
        }
        return ++senders.computeIfAbsent(sender, one -> new int[1])[0] > MOST_EACH;
    }

    private final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            if (membership == null || over) {
                return;
            }
            if (isTooMuch(packet.sender())) {
                flooded++;
                return;
            }
            Message message = packet.content().readableBytes() > Codec.MOST ? null : codec.decode(ByteBufUtil.getBytes(packet.content()));
            // A sender is where its datagrams come from: nobody speaks for another, but by news.
            if (message == null || !message.from().address().equals(text(packet.sender()))) {
                foreign++;
                return;
            }
            membership.receive(clock.getAsLong(), message);
            arm();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A port that nobody has answers with an error on some systems: that is silence.
            foreign++;
        }
    }

    /** Tells some that it goes, and closes; on the loop. */
    public void leave() {
        if (!over) {
            membership.leave();
            over = true;
            channel.flush();
            channel.close();
        }
    }
}
