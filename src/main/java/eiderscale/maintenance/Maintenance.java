package eiderscale.maintenance;

import eiderscale.Api;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which hosts operators have taken out, and what that makes of the lists' word on them. A host that is out counts as
 * draining, whatever is listed, until the call that puts it back; one that came back counts as started at that moment
 * if no later start is listed, as hosts are restarted while they are out and the list may tell of that late. Harm: one
 * that was not restarted gets its keys back slowly.
 *
 * <p>Two processes that serve as one balancer for a time (an upgrade) each hold a table of their own and exchange their
 * {@link #calls}: of two calls for one host the later counts, at both.
 */
public final class Maintenance {
    /** Hosts that may be out, and dropped ones that are remembered: ids are made up by whoever calls. */
    static final int MOST = 4096;
    /** Nanoseconds for which an id is known after lists have dropped it. */
    static final long REMEMBERED = 60_000_000_000L;
    /** Nanoseconds after which a call back matters no more: by then any host is warm. */
    static final long SETTLED = 600_000_000_000L;

    /** The last call for a host; {@code at}: Unix time in nanoseconds. */
    public record Call(long host, boolean out, long at) {
    }

    private final Map<Long, Call> calls = new LinkedHashMap<>();
    /** Hosts that lists have dropped, and when; the longest dropped first. */
    private final Map<Long, Long> dropped = new LinkedHashMap<>();

    /** A list named a host no more, or as gone. */
    public void dropped(long now, long host) {
        dropped.remove(host);
        dropped.put(host, now);
        if (dropped.size() > MOST) {
            dropped.remove(dropped.keySet().iterator().next());
        }
    }

    /** Whether a call may name a host that no list names at present: it is out, or was dropped only just. */
    public boolean remembers(long now, long host) {
        Long at = dropped.get(host);
        return isOut(host) || at != null && now - at < REMEMBERED;
    }

    /** Takes a host out; again changes nothing. False if too many are out. */
    public boolean takeOut(long now, long host) {
        if (isOut(host)) {
            return true;
        }
        calls.values().removeIf(call -> !call.out && now - call.at > SETTLED);
        if (!calls.containsKey(host) && calls.size() >= MOST) {
            return false;
        }
        calls.put(host, new Call(host, true, later(now, host)));
        return true;
    }

    /** Puts a host back, however often it was taken out; one that is in stays as it is. */
    public void putBack(long now, long host) {
        if (isOut(host)) {
            calls.put(host, new Call(host, false, later(now, host)));
        }
    }

    /** Behind the call before it, also where the clock has not moved on. */
    private long later(long now, long host) {
        Call before = calls.get(host);
        return before == null ? now : Math.max(now, before.at + 1);
    }

    /** Whether a host is out. */
    public boolean isOut(long host) {
        Call call = calls.get(host);
        return call != null && call.out;
    }

    /** How many are out. */
    public int size() {
        int out = 0;
        for (Call call : calls.values()) {
            out += call.out ? 1 : 0;
        }
        return out;
    }

    /** The last call for each host that had one. */
    public List<Call> calls() {
        return List.copyOf(calls.values());
    }

    /** Takes over what another table holds; returns the hosts whose word has changed by it. */
    public List<Long> merge(List<Call> others) {
        List<Long> changed = new ArrayList<>();
        for (Call other : others) {
            Call own = calls.get(other.host);
            if (own == null ? calls.size() < MOST : other.at > own.at) {
                calls.put(other.host, other);
                if (own == null || own.out != other.out) {
                    changed.add(other.host);
                }
            }
        }
        return changed;
    }

    /** What the balancer is to take a listed host for. */
    public Api.Server seen(Api.Server listed) {
        Call call = calls.get(listed.id());
        if (call == null) {
            return listed;
        }
        Api.State state = call.out && listed.state() == Api.State.READY ? Api.State.DRAINING : listed.state();
        long startedAt = call.out ? listed.startedAt() : Math.max(listed.startedAt(), call.at);
        return state == listed.state() && startedAt == listed.startedAt() ? listed
                : new Api.Server(listed.id(), listed.zone(), listed.kind(), listed.cell(), state, listed.weight(), startedAt);
    }
}
