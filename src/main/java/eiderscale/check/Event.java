package eiderscale.check;

/** Something that may happen next. {@code at}: the number of the request, attempt or host that it happens to. */
public record Event(Kind kind, int at) {
    /** What happens, and the word for it; {@code fault}: it counts against the bound on faults. */
    public enum Kind {
        /** The head of a request comes, by which its class is chosen; the rest is still to come. */
        HEAD("the head of request %d comes", false),
        /** A client asks. */
        TAKE("request %d comes", false),
        /** A connection comes up, and what waits for it is written. */
        UP("the connection of attempt %d is up", false),
        /** It does not. */
        REFUSED("the connection of attempt %d is refused", true),
        /** A host begins a request that it has in full. */
        RUN("attempt %d runs", false),
        /** A host's good answer is here, whole. */
        ANSWER("attempt %d is answered", false),
        /** The first byte of one. */
        BEGIN("the answer to attempt %d begins", false),
        /** The last byte of one. */
        END("the answer to attempt %d ends", false),
        /** A host turns a request away. */
        BUSY("attempt %d is turned away", true),
        /** A rejection comes that answers an earlier request on its connection, late or for a second time. */
        LATE_BUSY("attempt %d meets a late rejection of an earlier request", true),
        /** A host has tried and failed. */
        FAILED("attempt %d fails", true),
        /** A connection breaks. */
        LOST("the connection of attempt %d breaks", true),
        /** A client leaves. */
        LEAVE("the client of request %d leaves", true),
        /** Time goes on to the next timer's moment, which does not fire yet. */
        TIME("time goes on", false),
        /** The earliest timer fires. */
        FIRE("a timer fires", false),
        /** The list says that a host drains. */
        DRAINS("the list has host %d draining", false),
        /** The list says that a host is gone. */
        GONE("the list has host %d gone", false),
        /** The list says that a host has just started. */
        STARTED("the list has host %d started anew", false),
        /** An operator takes a host out. */
        OUT("host %d is taken out", false),
        /** An operator puts a host back. */
        IN("host %d is put back", false),
        /** Settings that allow one attempt, and have the numbers of the safe class and the unsafe one the other way round. */
        RENEW("other settings come", false),
        /** The process has stood still, and a host began to drain meanwhile. */
        STAND("the process stood still while host %d began to drain", false),
        /** Another instance says that a host is in and warm and all others are dead, that nothing presses, and what it likes of calls. */
        HEAR("another instance praises host %d and damns the others", false),
        /** What it asked of the list behind that is answered. */
        CONFIRM("the list is told", false),
        /** It is not. */
        UNHEARD("the call for the list fails", true),
        /** The process is told to end. */
        STOP("the process is to end", false);

        final String words;
        final boolean fault;

        Kind(String words, boolean fault) {
            this.words = words;
            this.fault = fault;
        }
    }

    /** In words. */
    public String text() {
        return String.format(java.util.Locale.ROOT, kind.words, at);
    }
}
