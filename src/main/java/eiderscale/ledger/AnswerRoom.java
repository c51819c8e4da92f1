package eiderscale.ledger;

/**
 * Shares out the memory of whole answers that wait: for earlier answers of their connection, or for their client to take
 * them. What does not fit is not held; its request gets a short answer instead. No connection may hold more than what is
 * free for all others (a dynamic threshold, as switches have for shared buffers), so that a few that take nothing leave
 * room for the rest.
 */
public final class AnswerRoom {
    /** Answers of up to so many bytes find room as long as there is any: refusing them would hardly save memory. */
    public static final int SMALL_BYTES = 1024;

    private final Budget budget;

    /** The part of one connection. */
    public final class Share {
        private long held;

        /** Takes room for one answer; false, and nothing taken, if there is none for it. */
        public boolean take(int bytes) {
            boolean isFair = bytes <= SMALL_BYTES || held + bytes <= most();
            if (!isFair || !budget.take(bytes)) {
                return false;
            }
            held += bytes;
            return true;
        }

        /** Gives back what was taken for one answer. */
        public void giveBack(int bytes) {
            held -= bytes;
            budget.giveBack(bytes);
        }

        /** Bytes that the connection may hold at present. */
        public long most() {
            return budget.most() - budget.held();
        }

        /** Bytes that the connection holds. */
        public long held() {
            return held;
        }
    }

    /** {@code budget}: for all connections, and for answers that are still coming from their hosts. */
    public AnswerRoom(Budget budget) {
        this.budget = budget;
    }

    /** The part of a further connection; nothing is held for it yet. */
    public Share share() {
        return new Share();
    }
}
