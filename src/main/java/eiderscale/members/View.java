package eiderscale.members;

import java.util.List;

/**
 * Who is there, as one instance holds it; never half of a change.
 *
 * @param epoch grows with each change
 * @param members all that are there, this one included, by name
 * @param known how many were there within the time for which the dead are remembered
 */
public record View(long epoch, List<Word> members, int known) {
    /** Defensively copied. */
    public View {
        members = List.copyOf(members);
    }

    /** Whether more than half of those that were there lately are: of two parts of a fleet at most one may say so. */
    public boolean isLargerPart() {
        return 2 * members.size() > known;
    }
}
