package eiderscale.members;

/**
 * What is said of one member.
 *
 * @param name among its group
 * @param address where its datagrams go, as the driver writes addresses
 * @param incarnation of its process and of its objections; only it makes a higher one
 */
public record Word(String name, String address, long incarnation, Status status) {
    /** Whether this replaces another word on the same member. */
    public boolean beats(Word other) {
        return incarnation > other.incarnation || incarnation == other.incarnation && status.compareTo(other.status) > 0;
    }
}
