package eiderscale.http.cache;

import java.util.ArrayList;
import java.util.List;

/** What is stored under one key: a copy for each set of requests that {@code Vary} keeps apart. Never changed. */
public final class Variants {
    /** Nothing is stored. */
    public static final Variants NONE = new Variants(List.of());

    /** More would make one key's list a way to fill the store by requests that differ in one field. */
    private static final int MOST = 16;

    private final List<Copy> copies;

    private Variants(List<Copy> copies) {
        this.copies = copies;
    }

    /** What is known of each. */
    public List<Stored> stored() {
        return copies.stream().map(Copy::stored).toList();
    }

    /** The copy that was chosen by what is known of it; null if it is not here. */
    public Copy copy(Stored chosen) {
        for (Copy copy : copies) {
            if (copy.stored() == chosen) {
                return copy;
            }
        }
        return null;
    }

    /** Whether there are none. */
    public boolean isEmpty() {
        return copies.isEmpty();
    }

    /** These with one more, in place of what answered the same requests; the oldest goes where there are too many. */
    public Variants with(Copy fresh) {
        List<Copy> all = new ArrayList<>();
        Copy taken = fresh;
        for (Copy copy : copies) {
            if (isSame(copy.stored(), fresh.stored())) {
                taken = copy.takenOverBy(taken);
            } else {
                all.add(copy);
            }
        }
        all.add(taken);
        return new Variants(List.copyOf(all.subList(Math.max(0, all.size() - MOST), all.size())));
    }

    private static boolean isSame(Stored one, Stored other) {
        return one.selecting().equals(other.selecting()) && one.fields().members("vary").stream().sorted().toList()
                .equals(other.fields().members("vary").stream().sorted().toList());
    }

    /** These without one. */
    public Variants without(Stored gone) {
        return new Variants(copies.stream().filter(copy -> copy.stored() != gone).toList());
    }

    /** What a 304 makes of them (RFC 9111 section 4.3.4). Times in milliseconds since the epoch. */
    public Variants freshened(Fields notModified, long asked, long came) {
        List<Stored> selected = Validation.selected(notModified, stored());
        return new Variants(copies.stream().map(copy -> selected.contains(copy.stored())
                ? new Copy(Validation.freshened(copy.stored(), notModified, asked, came), copy.body()) : copy).toList());
    }

    /**
     * What the answer to a HEAD with status 200 makes of them (section 4.3.5): those that could have been chosen for
     * it are freshened if it fits them, and else are no longer fresh, which taking them out sees to.
     */
    public Variants afterHead(Fields request, Fields head, long asked, long came) {
        List<Copy> left = new ArrayList<>();
        for (Copy copy : copies) {
            if (!Vary.matches(copy.stored(), request)) {
                left.add(copy);
            } else if (Validation.fits(copy.stored(), head)) {
                left.add(new Copy(Validation.freshened(copy.stored(), head, asked, came), copy.body()));
            }
        }
        return new Variants(List.copyOf(left));
    }

    /** What they take in memory, in bytes. */
    public int weight() {
        long bytes = 40;
        for (Copy copy : copies) {
            bytes += copy.weight();
        }
        return (int) Math.min(Integer.MAX_VALUE, bytes);
    }
}
