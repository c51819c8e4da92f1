package eiderscale.connections;

import java.util.HashMap;
import java.util.Map;

/** How many places each holder has, none more than a limit. Holders of none are not kept. */
final class Shares {
    private final int most;
    private final Map<Object, Integer> held = new HashMap<>();

    /** {@code most}: 0 for any number, which keeps no count at all. */
    Shares(int most) {
        this.most = most;
    }

    /** Takes a place; false, and nothing taken, if the holder has as many as it may. */
    boolean take(Object holder) {
        if (most == 0) {
            return true;
        }
        int has = held.getOrDefault(holder, 0);
        if (has >= most) {
            return false;
        }
        held.put(holder, has + 1);
        return true;
    }

    void giveBack(Object holder) {
        if (most > 0) {
            held.computeIfPresent(holder, (who, has) -> has > 1 ? has - 1 : null);
        }
    }
}
