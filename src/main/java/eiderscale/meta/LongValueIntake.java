package eiderscale.meta;

import eiderscale.net.Clock;
import eiderscale.net.Upload;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Takes in one long value that a client sends behind its command: it goes to a host as it comes, or is passed over where its
 * command has been answered before. For one event loop.
 */
final class LongValueIntake {
    /** A value of which nothing comes for so long is given up, as any command is that does not become whole. */
    private static final long REST = 2500 * Clock.MILLISECOND;
    /** Between two looks at whether more has been sent. */
    private static final long LOOK_MS = 10;

    private final MetaConnection connection;
    /** Whose value it is; null where nobody wants it. */
    private Slot slot;
    /** When the last of it came. */
    private long cameAt = Clock.now();
    private boolean looks;
    private boolean over;

    /** The head of its command has been read. */
    LongValueIntake(MetaConnection connection) {
        this.connection = connection;
        connection.after(this::seeProgress, REST / Clock.MILLISECOND);
    }

    /** Its command has been taken, and it goes where that goes. */
    void belongsTo(Slot owner) {
        slot = owner;
    }

    /** Whether more of it has somewhere to go now. */
    boolean mayCome() {
        return slot == null || upload().wantsMore();
    }

    private Upload upload() {
        return slot.command().upload;
    }

    /** Passes on what is here of it; its end, or a fault in place of that, once that is here, and null before. */
    MetaFrame passOn(MetaParser parser, ByteBuf bytes) {
        for (ByteBuf part = mayCome() ? parser.part(bytes) : null; part != null; part = mayCome() ? parser.part(bytes) : null) {
            cameAt = Clock.now();
            if (slot == null) {
                part.release();
            } else {
                upload().part(part);
            }
        }
        return mayCome() ? parser.end(bytes) : null;
    }

    /** All of it has come. */
    void end() {
        over = true;
        if (slot != null) {
            upload().part(Unpooled.copiedBuffer("\r\n", StandardCharsets.ISO_8859_1));
            upload().end();
            slot.bodyEnded();
        }
    }

    /** The rest of it will not come: its host never has the last byte, and it does not run. */
    void cut() {
        over = true;
        if (slot != null) {
            upload().cut();
        }
    }

    /** A turn of reading is over. {@code isAwaited}: all that the client has sent of it has been read, without its end. */
    void readTurnEnded(boolean isSocketEmpty, boolean isAwaited) {
        if (slot == null) {
            return;
        }
        slot.bodyCame(isAwaited);
        if (!isSocketEmpty && !looks) {
            lookSoon();
        }
    }

    private void lookSoon() {
        looks = true;
        connection.after(this::look, LOOK_MS);
    }

    /** Its socket may have been empty since the last turn, and would say nothing of that. */
    private void look() {
        looks = false;
        if (over || connection.isOver()) {
            return;
        }
        if (connection.mayReadOn()) {
            connection.look();
        } else {
            lookSoon();
        }
    }

    /** Whether more of it has come lately, or it is not read as its host takes nothing. */
    private void seeProgress() {
        if (over || connection.isOver()) {
            return;
        }
        long now = Clock.now();
        if (!mayCome()) {
            cameAt = now;
        }
        if (now - cameAt >= REST) {
            connection.stopsHalfway();
        } else {
            connection.after(this::seeProgress, Math.max(1, (cameAt + REST - now) / Clock.MILLISECOND));
        }
    }
}
