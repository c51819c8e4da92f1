package eiderscale.connections;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Connections to hosts, each with one request at a time: which one a request goes on, when one is opened, kept and given up,
 * and how many there are in all.
 *
 * <ol>
 * <li>A request takes the connection to its host that was used last, unless such an old one has been seen to be reset; the
 *     warmest is the least likely to be closed by its host in that moment.
 * <li>An unsafe request to a host that has lately turned requests away takes a new one, for which an idle one to that host is given
 *     up: there a rejection is known to be its own.
 * <li>Where there is none it opens one; with no room for that the coldest idle one, of whatever host, is given up, and with
 *     none idle there is no room.
 * <li>An idle one is given up well before its host would ({@link #IDLE_PART} of the time that the settings tell), since a
 *     request that crossed the close would end as a reset, which a write cannot repeat; and sooner while hosts have no room
 *     for new ones ({@link IdleTime}).
 * </ol>
 *
 * <p>All of it belongs to one thread. Time comes with each event.
 *
 * @param <L> what carries requests
 */
public final class HostLinks<L> {
    /** Part of the hosts' idle time after which a connection is given up. */
    static final double IDLE_PART = 0.6;
    /** For so long behind a rejection of a host its unsafe requests go on new connections. */
    static final long RECENT_REJECTION_NS = 10_000_000_000L;

    /** One connection, from its opening on. */
    public static final class Entry<L> {
        private final L link;
        private final Host<L> host;
        private long idleSince;
        private long idleFor = -1;
        private boolean counted = true;

        private Entry(L link, Host<L> host) {
            this.link = link;
            this.host = host;
        }

        /** What carries requests. */
        public L link() {
            return link;
        }

        /** Whether its present request is its first. */
        public boolean isNew() {
            return idleFor < 0;
        }
    }

    private static final class Host<L> {
        private final Deque<Entry<L>> idle = new ArrayDeque<>();
        /** From which age on it resets idle connections. */
        private final StaleAges ages = new StaleAges();
        private int links;
        private boolean hasRejected;
        /** When it last turned a request away; meaningless before the first time. */
        private long rejectedAt;

        /** Whether an unsafe request is better off on a new connection, where a rejection is known to be its own. */
        boolean hasRejectedLately(long now) {
            return hasRejected && now - rejectedAt < RECENT_REJECTION_NS;
        }
    }

    private final int most;
    private final Consumer<L> giveUp;
    private final Map<Long, Host<L>> hosts = new HashMap<>();
    /** All idle connections, the coldest first. */
    private final Set<Entry<L>> idle = new LinkedHashSet<>();
    private final IdleTime idleTime = new IdleTime();
    private int links;

    /** {@code most}: connections in all; {@code giveUp}: closes one that was idle. */
    public HostLinks(int most, Consumer<L> giveUp) {
        this.most = most;
        this.giveUp = giveUp;
    }

    /**
     * The idle connection that a request to a host is to go on, which is idle no more; null if it needs a new one.
     * {@code unsafe}: a reset that may have come after it ran, or a rejection that may answer an earlier request, would be the
     * end of it; {@code alive}: false for those that have ended and were not told of yet.
     */
    public Entry<L> take(long now, long host, boolean unsafe, Predicate<L> alive) {
        Host<L> at = hosts.get(host);
        Entry<L> entry = at == null ? null : at.idle.peekLast();
        while (entry != null && !alive.test(entry.link)) {
            leaveIdle(entry);
            entry = at.idle.peekLast();
        }
        // Without room for a new one an old one is better than none.
        if (entry == null || links < most && !at.ages.mayUse(now, now - entry.idleSince, unsafe)) {
            return null;
        }
        if (unsafe && at.hasRejectedLately(now)) {
            // In the place of one that there is, lest unsafe requests fill the pool with connections.
            retire(at.idle.peekFirst());
            return null;
        }
        leaveIdle(entry);
        entry.idleFor = now - entry.idleSince;
        return entry;
    }

    /** A host turned away what a connection carried. */
    public void rejected(long now, Entry<L> entry) {
        entry.host.hasRejected = true;
        entry.host.rejectedAt = now;
    }

    /** Whether there is room for a new one; gives up the coldest idle one for it. */
    public boolean mayOpen() {
        if (links < most) {
            return true;
        }
        Iterator<Entry<L>> coldest = idle.iterator();
        if (!coldest.hasNext()) {
            return false;
        }
        retire(coldest.next());
        return true;
    }

    /** A new one is being opened. */
    public Entry<L> opened(long host, L link) {
        Host<L> at = hosts.computeIfAbsent(host, id -> new Host<>());
        links++;
        at.links++;
        return new Entry<>(link, at);
    }

    /** It has nothing to carry, and is kept. */
    public void rest(long now, Entry<L> entry) {
        entry.idleSince = now;
        entry.host.idle.addLast(entry);
        idle.add(entry);
    }

    /** It ends, or has ended; its place is free. */
    public void ended(Entry<L> entry) {
        leaveIdle(entry);
        if (entry.counted) {
            entry.counted = false;
            links--;
            entry.host.links--;
        }
    }

    private void leaveIdle(Entry<L> entry) {
        if (idle.remove(entry)) {
            entry.host.idle.remove(entry);
        }
    }

    private void retire(Entry<L> entry) {
        ended(entry);
        giveUp.accept(entry.link);
    }

    /** A request on one that had been idle was answered after {@code took}, or met a reset. */
    public void used(long now, Entry<L> entry, boolean reset, long took) {
        if (entry.idleFor >= 0) {
            entry.host.ages.used(now, entry.idleFor, reset, took);
        }
    }

    /** A host took a new one and had no room for what came on it. */
    public void turnedAway() {
        idleTime.turnedAway();
    }

    /** A host had room for a new one. */
    public void welcomed() {
        idleTime.welcomed();
    }

    /** Gives up all idle ones of a host. */
    public void closeIdle(long host) {
        Host<L> at = hosts.get(host);
        if (at != null) {
            List.copyOf(at.idle).forEach(this::retire);
        }
    }

    /** Gives up those that have been idle for long; {@code hostsClose}: nanoseconds after which hosts would. */
    public void sweep(long now, long hostsClose) {
        long oldest = now - idleTime.limit((long) (hostsClose * IDLE_PART));
        for (Entry<L> entry : new ArrayList<>(idle)) {
            if (entry.idleSince > oldest) {
                break;
            }
            retire(entry);
        }
    }

    /** Forgets a host that is gone, once no connection to it is left; true if there is none. */
    public boolean forget(long host) {
        Host<L> at = hosts.get(host);
        if (at != null && at.links > 0) {
            return false;
        }
        hosts.remove(host);
        return true;
    }

    /** How many there are. */
    public int size() {
        return links;
    }

    /** Of these, idle ones. */
    public int idle() {
        return idle.size();
    }
}
