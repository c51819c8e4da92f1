package eiderscale.config;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Files in many combinations of the settings that decide whether a request is sent again; most are bad. */
public final class Configurations {
    private static final List<String> PREFIXES = List.of("", "a:", "a:b:", "b:");

    private Configurations() {
    }

    private static Arbitrary<String> line(String key, String... values) {
        return Arbitraries.of(values).map(value -> value.isEmpty() ? "" : key + " = " + value + "\n");
    }

    /** A class without its name. */
    private static Arbitrary<String> requestClass() {
        Arbitrary<String> kind = Combinators.combine(line("operation", "\"read\"", "\"write\""),
                line("effect", "\"safe\"", "\"keyed\"", "\"unsafe\"", "\"unsafe\""),
                line("deadline", "\"300ms\"", "\"600ms\"")).as((a, b, c) -> a + b + c);
        Arbitrary<String> sent = Combinators.combine(line("retry", "", "", "", "false", "true"),
                line("hedge", "", "", "", "", "false", "true"), line("in-order", "", "", "true"))
                .as((a, b, c) -> a + b + c);
        Arbitrary<String> keyed = Combinators.combine(line("window", "\"200ms\"", "\"10s\"", "\"10s\""),
                line("group", "", "", "\"zone\"", "\"cell\"")).as((a, b) -> a + b);
        return Combinators.combine(kind, sent, keyed).as((a, b, c) -> "aim = \"200ms\"\n" + a + b
                + (a.contains("keyed") ? c : ""));
    }

    private static Arbitrary<String> route() {
        return Combinators.combine(Arbitraries.of(PREFIXES), line("operation", "", "\"any\"", "\"read\"", "\"write\""),
                Arbitraries.integers().between(0, 3), line("effect", "", "", "", "\"safe\"", "\"unsafe\""))
                .as((prefix, operation, number, effect) -> "prefix = \"" + prefix + "\"\n" + operation
                        + "class = \"c" + number + "\"\n" + effect);
    }

    /** Whole files with the two hosts. */
    public static Arbitrary<String> texts(String first, String second) {
        Arbitrary<List<String>> classes = requestClass().list().ofMinSize(1).ofMaxSize(4);
        Arbitrary<List<String>> routes = route().list().ofMaxSize(3);
        Arbitrary<String> hedge = Combinators.combine(line("enabled", "", "", "false"),
                line("quantile", "", "0.5", "0.99"), line("cancel", "", "", "false"))
                .as((a, b, c) -> "[hedge]\n" + a + b + c);
        Arbitrary<String> rest = Combinators.combine(line("class", "", "\"checked\"", "\"fallback\"", "\"first\""),
                line("retries", "", "3"), line("attempts", "", "2", "6"), hedge)
                .as((a, b, c, d) -> "[clients]\n" + a + b + "[retry]\n" + c + d);
        return Combinators.combine(classes, routes, rest, Arbitraries.of("meta", "meta", "meta", "memcached"))
                .as((c, r, text, kind) -> whole(first, second, c, r, text, kind));
    }

    private static String whole(String first, String second, List<String> classes, List<String> routes, String rest,
                                String kind) {
        List<String> parts = new ArrayList<>();
        parts.add("application = \"generated\"\nlisten = [\"127.0.0.1:0\"]\n[pool]\nkind = \"" + kind
                + "\"\nhosts = [\"" + first + "\", \"" + second + "\"]\n" + rest);
        for (int i = 0; i < classes.size(); i++) {
            parts.add("[[classes]]\nname = \"c" + i + "\"\n" + classes.get(i));
        }
        routes.forEach(route -> parts.add("[[routes]]\n" + route));
        return String.join("", parts) + "# end\n";
    }
}
