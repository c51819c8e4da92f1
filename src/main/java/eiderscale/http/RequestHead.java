package eiderscale.http;

import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.Fields;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A request's head, checked (RFC 9112 sections 3 and 6, RFC 9110 section 7). {@code target}: its URI. {@code length}: of
 * the body, 0 for none, {@link #CHUNKED} if it comes in chunks. {@code keepAlive}: whether another request may follow.
 * {@code isOld}: HTTP/1.0, which knows no chunks.
 */
record RequestHead(String method, CacheKey target, Fields fields, long length, boolean keepAlive, boolean expectsContinue,
                   boolean isOld) {
    static final long CHUNKED = -1;
    private static final int MOST_METHOD = 32;
    private static final String SCHEME = "http";

    /** Reads a head that {@link StrictRequestDecoder} let through. */
    static RequestHead of(HttpRequest request) throws BadRequest {
        String version = request.protocolVersion().text();
        boolean old = version.equals("HTTP/1.0");
        if (!old && !version.equals("HTTP/1.1")) {
            throw new BadRequest(505, "HTTP/1.1 is spoken here");
        }
        String method = request.method().name();
        if (method.length() > MOST_METHOD || !isToken(method) || method.equals("CONNECT") || method.equals("TRACE")) {
            throw new BadRequest(501, "method not served");
        }
        Fields.Builder builder = new Fields.Builder();
        for (Map.Entry<String, String> field : request.headers()) {
            checkValue(field.getValue());
            builder.add(field.getKey(), field.getValue());
        }
        Fields fields = builder.build();
        CacheKey target = target(method, request.uri(), host(fields, old));
        List<String> connection = fields.members("connection");
        boolean keepAlive = !connection.contains("close") && (!old || connection.contains("keep-alive"));
        boolean expects = !old && "100-continue".equalsIgnoreCase(fields.joined("expect"));
        if (fields.has("expect") && !old && !expects) {
            throw new BadRequest(417, "unknown expectation");
        }
        return new RequestHead(method, target, fields, length(fields, old), keepAlive, expects, old);
    }

    private static void checkValue(String value) throws BadRequest {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c < 0x20 && c != '\t' || c == 0x7f) {
                throw new BadRequest(400, "control character in a field");
            }
        }
    }

    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= 0x20 || c >= 0x7f || "\"(),/:;<=>?@[\\]{}".indexOf(c) >= 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Exactly one, even where the target names the host (RFC 9112 section 3.2); none is needed in HTTP/1.0. */
    private static String host(Fields fields, boolean old) throws BadRequest {
        List<String> hosts = fields.all("host");
        if (hosts.size() > 1 || hosts.isEmpty() && !old) {
            throw new BadRequest(400, "one Host field is needed");
        }
        String host = hosts.isEmpty() ? "" : hosts.get(0);
        if (!isAuthority(host)) {
            throw new BadRequest(400, "malformed Host");
        }
        return host;
    }

    /** A name, an address or one in brackets, with a port or without; never user information. */
    private static boolean isAuthority(String text) {
        int colon = text.startsWith("[") ? text.indexOf(':', Math.max(0, text.indexOf(']'))) : text.indexOf(':');
        String name = colon < 0 ? text : text.substring(0, colon);
        String port = colon < 0 ? "" : text.substring(colon + 1);
        boolean bracketed = name.startsWith("[") && name.endsWith("]");
        for (int i = 0; i < name.length(); i++) {
            char c = name.charAt(i);
            boolean plain = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || "-._~%!$&'()*+,;=".indexOf(c) >= 0;
            if (!plain && !(bracketed && (c == ':' || c == '[' && i == 0 || c == ']' && i == name.length() - 1))) {
                return false;
            }
        }
        return port.length() <= 5 && port.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    /** Origin form, absolute form, or the asterisk of OPTIONS (RFC 9112 section 3.2). */
    private static CacheKey target(String method, String uri, String host) throws BadRequest {
        for (int i = 0; i < uri.length(); i++) {
            if (uri.charAt(i) <= 0x20 || uri.charAt(i) >= 0x7f || uri.charAt(i) == '#') {
                throw new BadRequest(400, "malformed target");
            }
        }
        if (uri.startsWith("/") || uri.equals("*") && method.equals("OPTIONS")) {
            return CacheKey.of(SCHEME, host, uri);
        }
        int scheme = uri.indexOf("://");
        String name = scheme < 0 ? "" : uri.substring(0, scheme).toLowerCase(Locale.ROOT);
        if (!name.equals(SCHEME) && !name.equals("https")) {
            throw new BadRequest(400, "malformed target");
        }
        int slash = scheme + 3;
        while (slash < uri.length() && uri.charAt(slash) != '/' && uri.charAt(slash) != '?') {
            slash++;
        }
        String authority = uri.substring(scheme + 3, slash);
        if (authority.isEmpty() || !isAuthority(authority)) {
            throw new BadRequest(400, "malformed target");
        }
        // What it names goes before Host (section 3.2.2).
        return CacheKey.of(name, authority, uri.substring(slash));
    }

    /** How the body is framed (RFC 9112 section 6.3), in one way only. */
    private static long length(Fields fields, boolean old) throws BadRequest {
        List<String> lengths = fields.all("content-length");
        List<String> codings = fields.all("transfer-encoding");
        if (codings.isEmpty() && lengths.isEmpty()) {
            return 0;
        }
        if (!codings.isEmpty()) {
            if (!lengths.isEmpty() || old || codings.size() > 1) {
                throw new BadRequest(400, "a body framed in two ways");
            }
            if (!codings.get(0).trim().equalsIgnoreCase("chunked")) {
                throw new BadRequest(501, "transfer coding not served");
            }
            return CHUNKED;
        }
        String text = lengths.get(0);
        if (lengths.size() > 1 || text.isEmpty() || text.length() > 18 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new BadRequest(400, "malformed Content-Length");
        }
        return Long.parseLong(text);
    }
}
