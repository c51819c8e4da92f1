package eiderscale.http.cache;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Asking whether what is stored still holds, and taking up the answer (RFC 9111 section 4.3). */
public final class Validation {
    /** What a client's own conditions are, which are not sent on in place of ours. */
    private static final Set<String> CONDITIONS = Set.of("if-none-match", "if-modified-since", "if-match",
            "if-unmodified-since", "if-range", "range");
    /** What an answer to a validation does not change: the body is the one that is stored (section 3.2). */
    private static final Set<String> OF_BODY = Set.of("content-length", "content-encoding", "content-type", "content-range");

    private Validation() {
    }

    /**
     * The request that asks (section 4.3.1): by the tags of all variants and the date of the one that was chosen.
     * {@code chosen} without a validator is asked for as if nothing were stored. The client's own conditions go: they
     * are judged against what comes of this.
     */
    public static Fields request(Fields request, Stored chosen, List<Stored> variants) {
        Fields bare = request.without(CONDITIONS::contains);
        List<String> tags = new ArrayList<>();
        for (Stored variant : variants) {
            String tag = variant.range() == null ? variant.fields().first("etag") : variant.strongTag();
            if (tag != null && Tags.isTag(tag) && !tags.contains(tag)) {
                tags.add(tag);
            }
        }
        Fields.Builder asked = new Fields.Builder();
        for (int i = 0; i < bare.size(); i++) {
            asked.add(bare.name(i), bare.value(i));
        }
        if (!tags.isEmpty()) {
            asked.add("if-none-match", String.join(", ", tags));
        }
        String changed = chosen.fields().first("last-modified");
        if (changed != null && HttpDate.parse(changed, chosen.came() / 1000) != HttpDate.NONE) {
            asked.add("if-modified-since", changed);
        }
        return asked.build();
    }

    /** Whether it can be asked about at all. */
    public static boolean hasValidator(Stored stored) {
        return stored.fields().has("etag") || stored.fields().has("last-modified");
    }

    /**
     * Those of the stored responses that a 304 is about (section 4.3.4): with a strong tag all that share it; with a
     * weak one, or a date alone, the latest that matches; without any the one that is stored, if it has none either
     * and is alone.
     */
    static List<Stored> selected(Fields notModified, List<Stored> variants) {
        String tag = notModified.first("etag");
        if (tag != null && !tag.startsWith("W/")) {
            return variants.stream().filter(stored -> tag.equals(stored.fields().first("etag"))).toList();
        }
        String changed = notModified.first("last-modified");
        Stored latest = null;
        for (Stored stored : variants) {
            String own = stored.fields().first("etag");
            boolean matches = tag != null ? own != null && Tags.weakly(tag, own)
                    : changed != null ? changed.equals(stored.fields().first("last-modified"))
                    : variants.size() == 1;
            if (matches && (latest == null || stored.dated() >= latest.dated())) {
                latest = stored;
            }
        }
        return latest == null ? List.of() : List.of(latest);
    }

    /**
     * A stored response with the fields of a 304, or of a HEAD's answer, in place of its own (section 3.2): its
     * lifetime and its age begin anew. {@code asked}, {@code came}: in milliseconds since the epoch.
     */
    static Stored freshened(Stored stored, Fields newer, long asked, long came) {
        Control control = Control.of(newer);
        Fields update = Storing.kept(newer, control).without(OF_BODY::contains);
        // Without a date of its own it is from now; the old one would make it as old as that.
        boolean dated = newer.has("date");
        Fields merged = stored.fields().without(name -> name.equals("age") || name.equals("date") && !dated)
                .updatedBy(update);
        return Stored.of(stored.status(), merged, stored.selecting(), asked, came, stored.range());
    }

    /**
     * Whether the answer to a HEAD fits a stored response (section 4.3.5): its validators and length are the same, as
     * far as it tells them.
     */
    static boolean fits(Stored stored, Fields head) {
        for (String name : new String[] {"etag", "last-modified", "content-length"}) {
            String told = head.first(name);
            if (told != null && !told.equals(stored.fields().first(name))) {
                return false;
            }
        }
        return true;
    }
}
