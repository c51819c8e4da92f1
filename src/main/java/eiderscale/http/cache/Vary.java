package eiderscale.http.cache;

import java.util.ArrayList;
import java.util.List;

/** Which of several responses under one key answers a request (RFC 9111 section 4.1). */
final class Vary {
    private Vary() {
    }

    /** Whether no request at all matches it. */
    static boolean isAny(Fields response) {
        return response.members("vary").contains("*");
    }

    /** The fields of a request that its response depends on, normalised. */
    static Fields selecting(Fields response, Fields request) {
        Fields.Builder selecting = new Fields.Builder();
        for (String name : response.members("vary").stream().distinct().sorted().toList()) {
            String value = normal(request, name);
            if (value != null) {
                selecting.add(name, value);
            }
        }
        return selecting.build();
    }

    /** Whether a stored response may answer a request. */
    static boolean matches(Stored stored, Fields request) {
        return !isAny(stored.fields()) && selecting(stored.fields(), request).equals(stored.selecting());
    }

    /**
     * Several lines as one, and without blanks that mean nothing: requests that differ in these alone are the same.
     * Commas within quotes part nothing. Null if the field is not there, which matches absence alone.
     */
    private static String normal(Fields request, String name) {
        String joined = request.joined(name);
        if (joined == null) {
            return null;
        }
        List<String> members = new ArrayList<>();
        StringBuilder member = new StringBuilder();
        boolean quoted = false;
        for (int i = 0; i < joined.length(); i++) {
            char c = joined.charAt(i);
            if (quoted && c == '\\' && i + 1 < joined.length()) {
                member.append(c);
                i++;
                member.append(joined.charAt(i));
            } else if (c == ',' && !quoted) {
                members.add(member.toString().trim());
                member.setLength(0);
            } else {
                quoted ^= c == '"';
                member.append(c);
            }
        }
        members.add(member.toString().trim());
        return String.join(",", members);
    }
}
