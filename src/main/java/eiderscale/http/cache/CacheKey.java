package eiderscale.http.cache;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Locale;

/** What responses are stored under: the target URI, normalised as RFC 9110 section 4.2.3 has it. */
public record CacheKey(String scheme, String authority, String path) {
    /** The key of a target; {@code path} with its query, empty for the root. The fragment is no part of it. */
    public static CacheKey of(String scheme, String authority, String path) {
        String low = scheme.toLowerCase(Locale.ROOT);
        String host = authority.toLowerCase(Locale.ROOT);
        String port = low.equals("https") ? ":443" : ":80";
        if (host.endsWith(port)) {
            host = host.substring(0, host.length() - port.length());
        } else if (host.endsWith(":")) {
            host = host.substring(0, host.length() - 1);
        }
        int hash = path.indexOf('#');
        String target = hash < 0 ? path : path.substring(0, hash);
        return new CacheKey(low, host, target.isEmpty() ? "/" : target.startsWith("?") ? "/" + target : target);
    }

    /** The key of a reference in a field of the response to this one, or null if it is of another origin or none. */
    CacheKey sameOrigin(String reference) {
        try {
            URI target = new URI(this.toString()).resolve(new URI(reference.trim()));
            if (target.getScheme() == null || target.getRawAuthority() == null) {
                return null;
            }
            String query = target.getRawQuery() == null ? "" : "?" + target.getRawQuery();
            CacheKey key = of(target.getScheme(), target.getRawAuthority(), target.getRawPath() + query);
            return key.scheme.equals(scheme) && key.authority.equals(authority) ? key : null;
        } catch (URISyntaxException | IllegalArgumentException e) {
            return null;
        }
    }

    /** What it takes in memory, in bytes; an estimate from above. */
    public int weight() {
        return 200 + 2 * (scheme.length() + authority.length() + path.length());
    }

    @Override
    public String toString() {
        return scheme + "://" + authority + path;
    }
}
