package eiderscale.members;

import java.util.List;

/**
 * One datagram.
 *
 * @param from its sender, as it stands
 * @param number of the question that this asks or answers, or of news the digest of who is held to be there; 0 for none
 * @param about the name of the member that is asked about; empty for none
 * @param news words on members, the most urgent first
 */
public record Message(Kind kind, Word from, long number, String about, List<Word> news) {
    /** What it is for. */
    public enum Kind {
        /** Answer me. */
        PING,
        /** I am here. */
        ACK,
        /** Ask that one for me. */
        ASK,
        /** It did not answer me, though I am here myself. */
        NACK,
        /** News alone. */
        NEWS
    }

    /** Defensively copied. */
    public Message {
        news = List.copyOf(news);
    }
}
