package eiderscale.http;

import eiderscale.Api.Reason;
import eiderscale.http.cache.Fields;
import eiderscale.http.cache.Storing;
import eiderscale.ledger.Budget;
import eiderscale.net.HostProtocol;
import eiderscale.net.Request;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * HTTP/1.1 as it is spoken to cache hosts and origins. Any status but 502, 503 and 504 is an answer and goes to the
 * client; these three are failures of the host, which may have run the request, unless the host says that it never did:
 * by the field {@link #HARMLESS}, or by a status that the file names. They are told with what the host said, which goes to
 * the client where no further attempt is made.
 */
final class HttpHosts implements HostProtocol {
    /** Whether asking again does no harm, as a boolean of RFC 8941. */
    static final String HARMLESS = "retry-harmless";
    private static final int MOST_LINE = 8 * 1024;
    private static final int MOST_HEAD = 32 * 1024;
    private static final int MOST_CHUNK = 64 * 1024;
    private static final int MOST_INTERIM = 16;

    /** Of the body of an answer that may have to go to the client, or not, so much is held, in bytes. */
    static final int HELD = 32 * 1024;
    /** Of all of these together. */
    private static final long ALL_HELD = 2 * 1024 * 1024;

    private final Supplier<Set<Integer>> turnedAway;
    private final Budget held = new Budget(ALL_HELD);

    /** {@code turnedAway}: statuses by which hosts say that a request never ran. */
    HttpHosts(Supplier<Set<Integer>> turnedAway) {
        this.turnedAway = turnedAway;
    }

    @Override
    public Dialog open() {
        return new Talk();
    }

    /** Netty's decoder, told which answers have no body (RFC 9112 section 6.3). */
    private static final class Decoder extends HttpResponseDecoder {
        private boolean toHead;
        private boolean betweenAnswers = true;

        Decoder() {
            super(new HttpDecoderConfig().setStrictLineParsing(true).setUseRfc9112TransferEncoding(true)
                    .setMaxInitialLineLength(MOST_LINE).setMaxHeaderSize(MOST_HEAD).setMaxChunkSize(MOST_CHUNK));
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return toHead || super.isContentAlwaysEmpty(message);
        }

        boolean isClean() {
            return betweenAnswers && actualReadableBytes() == 0;
        }
    }

    private final class Talk implements Dialog {
        private final Decoder decoder = new Decoder();
        private Channel channel;
        private HttpCall call;
        private HttpAnswer answer;
        /** What the answer means; one that is no good is told at its end, or when no more of it is held. */
        private Reason verdict;
        /** An answer that was told before its end: the rest goes to whoever took it. */
        private HttpAnswer trailing;
        private boolean interim;
        private int interims;
        private boolean keeps = true;

        @Override
        public ChannelHandler decoder() {
            return decoder;
        }

        @Override
        public ByteBuf encode(Request request, ByteBufAllocator alloc, long leftMs) {
            call = (HttpCall) request;
            answer = null;
            trailing = null;
            verdict = null;
            interims = 0;
            decoder.toHead = call.method.equals("HEAD");
            decoder.betweenAnswers = false;
            return head(call, alloc);
        }

        @Override
        public boolean runsInPart(Request request) {
            return ((HttpCall) request).hasBody();
        }

        @Override
        public void sent(Request request, Channel host) {
            channel = host;
            if (call.upload != null) {
                call.upload.follow(host);
            }
        }

        @Override
        public void writabilityChanged() {
            if (call != null && call.upload != null) {
                call.upload.drained();
            }
        }

        @Override
        public void lost() {
            if (call != null && call.upload != null) {
                call.upload.giveUp();
            }
            if (answer != null) {
                answer.cut();
            }
            if (trailing != null) {
                trailing.cut();
            }
        }

        @Override
        public boolean trails() {
            return trailing != null && trailing.isWanted();
        }

        @Override
        public boolean trail(Object message) {
            if (trailing == null || trailing.isOver()) {
                return false;
            }
            HttpObject part = (HttpObject) message;
            if (part.decoderResult().isFailure()) {
                trailing.cut();
                return false;
            }
            trailing.part(((HttpContent) part).content().retain());
            if (part instanceof LastHttpContent) {
                decoder.betweenAnswers = true;
                trailing.end();
            }
            return true;
        }

        @Override
        public boolean isClean() {
            return keeps && decoder.isClean() && (call == null || call.upload == null || call.upload.isDone());
        }

        @Override
        public Verdict judge(Request request, Object message) {
            HttpObject part = (HttpObject) message;
            if (part.decoderResult().isFailure()) {
                if (answer != null) {
                    answer.cut();
                }
                return Verdict.broken("malformed answer");
            }
            if (part instanceof HttpResponse head) {
                return begin(head);
            }
            boolean last = part instanceof LastHttpContent;
            if (interim) {
                interim = !last;
                return Verdict.part();
            }
            if (answer != null) {
                ByteBuf bytes = ((HttpContent) part).content();
                if (bytes.isReadable()) {
                    answer.part(bytes.retain());
                }
            }
            return last ? end() : answer != null && answer.isFull() ? early() : Verdict.part();
        }

        /** More than is held: no more is read until somebody wants it. */
        private Verdict early() {
            trailing = answer;
            answer = null;
            trailing.settle();
            trailing.pause();
            return Verdict.of(verdict, trailing);
        }

        private Verdict begin(HttpResponse head) {
            int status = head.status().code();
            if (status < 200) {
                interim = true;
                return status == 101 || status < 100 || ++interims > MOST_INTERIM ? Verdict.broken("status " + status)
                        : Verdict.part();
            }
            Fields.Builder builder = new Fields.Builder();
            for (Map.Entry<String, String> field : head.headers()) {
                builder.add(field.getKey(), field.getValue());
            }
            Fields fields = builder.build();
            if (!isFramed(fields)) {
                return Verdict.broken("a body framed in two ways");
            }
            List<String> connection = fields.members("connection");
            boolean old = head.protocolVersion().minorVersion() == 0;
            boolean untilClose = !decoder.isContentAlwaysEmpty(head) && !fields.has("content-length")
                    && !fields.has("transfer-encoding");
            keeps = !untilClose && !connection.contains("close") && (!old || connection.contains("keep-alive"));
            verdict = meaning(status, fields);
            long length = fields.has("content-length") ? Long.parseLong(fields.first("content-length").trim()) : -1;
            answer = new HttpAnswer(status, fields, length, !untilClose, channel);
            if (verdict == Reason.OK) {
                return Verdict.begun(answer);
            }
            answer.hold(held, HELD);
            return !decoder.isContentAlwaysEmpty(head) && answer.isFull() ? early() : Verdict.part();
        }

        private Verdict end() {
            decoder.betweenAnswers = true;
            HttpAnswer ended = answer;
            answer = null;
            if (ended != null && !ended.end()) {
                return Verdict.broken("an answer that was cut");
            }
            if (ended != null && verdict != Reason.OK) {
                ended.settle();
                return Verdict.of(verdict, ended);
            }
            return Verdict.of(verdict, null);
        }
    }

    private Reason meaning(int status, Fields fields) {
        if (turnedAway.get().contains(status) || status >= 400 && "?1".equals(fields.first(HARMLESS))) {
            return Reason.REJECTED;
        }
        return status == 502 || status == 503 || status == 504 ? Reason.ERROR : Reason.OK;
    }

    /** In one way only, as for requests: what is read otherwise behind this would be another's answer. */
    private static boolean isFramed(Fields fields) {
        List<String> lengths = fields.all("content-length");
        List<String> codings = fields.all("transfer-encoding");
        if (!codings.isEmpty()) {
            return lengths.isEmpty() && codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked");
        }
        return lengths.isEmpty() || lengths.size() == 1 && lengths.get(0).trim().matches("[0-9]{1,18}");
    }

    /** The head of a request and what is held of its body. */
    private static ByteBuf head(HttpCall call, ByteBufAllocator alloc) {
        ByteBuf bytes = alloc.buffer(512 + call.body.length);
        line(bytes, call.method, " ", call.target.path(), " HTTP/1.1\r\nhost: ", call.target.authority(), "\r\n");
        fields(bytes, call.fields);
        if (call.upload != null && call.upload.length() < 0) {
            line(bytes, "transfer-encoding: chunked\r\n");
        } else if (call.hasBody() || call.write()) {
            line(bytes, "content-length: ", String.valueOf(call.upload != null ? call.upload.length() : call.body.length), "\r\n");
        }
        line(bytes, "\r\n");
        bytes.writeBytes(call.body);
        return bytes;
    }

    /** Field lines as they are. */
    static void fields(ByteBuf bytes, Fields fields) {
        for (int i = 0; i < fields.size(); i++) {
            line(bytes, fields.name(i), ": ", fields.value(i), "\r\n");
        }
    }

    /** Texts one behind the other. */
    static void line(ByteBuf bytes, String... parts) {
        for (String part : parts) {
            bytes.writeCharSequence(part, StandardCharsets.ISO_8859_1);
        }
    }

    /** What of a message goes on: not what is about one connection, nor what frames the body (RFC 9110 section 7.6.1). */
    static Fields passedOn(Fields fields) {
        List<String> named = fields.members("connection");
        return fields.without(name -> named.contains(name) || Storing.isOfConnection(name));
    }
}
