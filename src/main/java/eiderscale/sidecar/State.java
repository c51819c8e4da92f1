package eiderscale.sidecar;

import com.fasterxml.jackson.jr.ob.JSON;
import eiderscale.knowledge.Knowledge;
import eiderscale.knowledge.Origin;
import eiderscale.knowledge.Origin.Standing;
import eiderscale.knowledge.Recalled;
import eiderscale.knowledge.Refused;
import eiderscale.net.Clock;
import eiderscale.net.Journal;
import eiderscale.store.StateStore;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * What a sidecar keeps on disk, and what it takes over of it when it starts. Whatever is found, it starts: with nothing where
 * nothing can be believed, and without a store where there is none to be had, which is said in the log.
 */
public final class State {
    /** Names in the store. */
    public static final String ORIGIN = "origin";
    public static final String KNOWN = "known";
    public static final String CALLS = "calls";
    /** Entries of earlier processes that are kept to be looked at; beyond that the store takes no durable work. */
    private static final int MOST_LEFT = 10_000;
    private static final Recalled NOTHING = new Recalled(java.util.List.of(), null, null);

    private final Path folder;
    private final String balancer;
    private final Consumer<String> log;
    private StateStore store;
    private Origin found;
    private Standing standing;
    private long incarnation;
    private int left;
    private boolean saidInUse;

    private State(Path folder, String balancer, Consumer<String> log) {
        this.folder = folder;
        this.balancer = balancer;
        this.log = log;
    }

    /** Opens the store of a folder, which is made where it is not there. Blocks; to be called before there is anything to serve. */
    static State open(Path folder, String balancer, Consumer<String> log) throws IOException {
        Files.createDirectories(folder);
        State state = new State(folder, balancer, log);
        state.incarnation = Origin.next(null, balancer, Clock.now());
        state.tryOpen();
        return state;
    }

    /** Where another process had it, it may be gone by now. */
    void tryOpen() {
        if (store != null) {
            return;
        }
        // Before it is opened, which writes.
        long touched = StateStore.touched(folder);
        StateStore.Opened opened = StateStore.open(folder, log);
        if (opened.broken() != null) {
            log.accept("state: the file could not be read and lies beside a new one now, as " + opened.broken().getFileName());
        }
        if (opened.store() == null) {
            if (opened.refusal() != StateStore.Refusal.IN_USE || !saidInUse) {
                saidInUse = opened.refusal() == StateStore.Refusal.IN_USE;
                log.accept(switch (opened.refusal()) {
                    case IN_USE -> "state: another process has " + folder + ": nothing is kept until that ends";
                    case NEWER -> "state: a newer program has written " + folder + ", which is left as it is: nothing is kept";
                    case NO_FOLDER -> "state: " + folder + " cannot be used: nothing is kept";
                });
            }
            return;
        }
        store = opened.store();
        long now = Clock.now();
        found = origin(store.get(ORIGIN));
        standing = found == null ? null : found.standing(balancer, StateStore.place(folder), touched, now);
        incarnation = Math.max(incarnation, Origin.next(found, balancer, now));
        left = store.entries().size();
        if (found != null) {
            log.accept("state: " + switch (standing) {
                case OWN -> "written " + (now - found.at()) / Clock.MILLISECOND + " ms ago by this balancer";
                case FROM_LATER -> "written by this balancer in what the clock calls the future: believed for what is worse alone";
                case MOVED -> "a copy or a backup of this balancer's: believed for what is worse alone";
                case ANOTHERS -> "written by '" + found.balancer() + "': believed for what is worse alone";
            } + ", incarnation " + incarnation);
        }
        if (left > 0) {
            log.accept("state: " + left + " requests may have run unanswered before: stairshelf state may-have-run " + folder);
        }
    }

    /** Whether there is a store. */
    boolean isOpen() {
        return store != null;
    }

    /** Of this process: higher than of any before it that is known of. */
    long incarnation() {
        return incarnation;
    }

    /** The name of this process in the journal. */
    String run() {
        return Long.toHexString(incarnation);
    }

    private byte[] origin(long now) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("balancer", balancer);
        map.put("incarnation", incarnation);
        map.put("place", StateStore.place(folder));
        map.put("at", now);
        try {
            return JSON.std.asBytes(map);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Null where it cannot be read. */
    public static Origin origin(byte[] written) {
        if (written == null) {
            return null;
        }
        try {
            Map<String, Object> map = JSON.std.mapFrom(written);
            return new Origin((String) map.get("balancer"), ((Number) map.get("incarnation")).longValue(), (String) map.get("place"),
                    ((Number) map.get("at")).longValue());
        } catch (IOException | ClassCastException | NullPointerException e) {
            return null;
        }
    }

    /** Whether what was found is this balancer's own. */
    boolean isOwn() {
        return store != null && standing == Standing.OWN;
    }

    /** What is to be believed of what was found; {@code listHolds}: for how long a list may be served by, in nanoseconds. */
    Recalled recalled(long listHolds) {
        if (store == null || found == null) {
            return NOTHING;
        }
        Knowledge known = knowledge(store.get(KNOWN));
        Knowledge calls = knowledge(store.get(CALLS));
        if (known == null && calls == null) {
            return NOTHING;
        }
        Knowledge all = new Knowledge(balancer, calls != null ? calls.calls() : known.calls(), known == null ? null : known.hosts(),
                known == null ? null : known.learnt());
        return Recalled.of(all, found, standing, Clock.now(), listHolds);
    }

    private Knowledge knowledge(byte[] record) {
        try {
            return record == null ? null : Knowledge.decode(found.balancer(), record);
        } catch (Refused e) {
            log.accept("state: a record is refused: " + e.getMessage());
            return null;
        }
    }

    /** Keeps all that is known; it may be dropped where the disk is behind. */
    void keep(Knowledge known) {
        if (store != null) {
            // Signed with it: a word is read under the name that stands beside it.
            store.put(Map.of(KNOWN, known.encode(), ORIGIN, origin(Clock.now())));
        }
    }

    /** Keeps operators' calls. */
    void keepCalls(Knowledge calls) {
        if (store != null) {
            store.put(Map.of(CALLS, calls.encode(), ORIGIN, origin(Clock.now())));
        }
    }

    /** What is kept is this process's from here on, all of it. */
    void sign(Knowledge calls, Knowledge known) {
        if (store != null) {
            store.put(Map.of(CALLS, calls.encode(), KNOWN, known.encode(), ORIGIN, origin(Clock.now())));
        }
    }

    /** Where durable work is kept. */
    Journal journal(Executor loop) {
        return new Journal() {
            @Override
            public void enter(String id, byte[] entry, Runnable done, Runnable refused) {
                if (store == null || left >= MOST_LEFT) {
                    refused.run();
                } else {
                    store.enter(id, entry, () -> loop.execute(done), () -> loop.execute(refused));
                }
            }

            @Override
            public void leave(String id) {
                if (store != null) {
                    store.leave(id);
                }
            }
        };
    }

    /** For the counts of the log. */
    String gauges() {
        return store == null ? "state none" : "state writes " + store.writes() + " dropped " + store.dropped()
                + (store.isFailing() ? " FAILING" : "");
    }

    void close() {
        if (store != null) {
            store.close();
        }
    }
}
