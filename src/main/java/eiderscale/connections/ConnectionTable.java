package eiderscale.connections;

import eiderscale.connections.Member.State;

/**
 * Who of the clients is connected, and who has to go. The rules by which a connection may be closed:
 *
 * <ol>
 * <li>one that has yet to speak, or has brought a bad command: for room, when its time is up, half a command or not;
 * <li>one with half a command: when that has not become whole in its time;
 * <li>an idle one: for room, for ease, when it has been idle for too long, or as all are to go, if a last look finds
 *     nothing on it;
 * <li>one that is closing: when its client takes no notice in its time.
 * </ol>
 *
 * <p>None with a command that is not answered is ever closed. All of it belongs to one thread.
 *
 * @param <C> a connection
 */
public final class ConnectionTable<C> {
    /** Why a connection goes. */
    public enum Why {
        /** Others need its place. */
        ROOM,
        /** Clients have few connections left to open. */
        EASE,
        /** Nothing, or only half a command, has come in time. */
        SILENCE,
        /** Nothing has been asked for too long. */
        IDLE,
        /** All are to go. */
        STOP,
        /** Its client has not taken notice of the close. */
        FAREWELL
    }

    /** Carries closes out. */
    public interface Closer<C> {
        /**
         * Looks at the connection's socket a last time, which may tell the table of a command, and closes it if
         * nothing new was there. For {@link Why#FAREWELL} it is cut at once. False if it stays.
         */
        boolean close(C connection, Why why);
    }

    /** So large a part of all connections without a good command is a crowd. */
    private static final int CROWD_PART = 4;

    private final ConnectionLimits limits;
    private final TimingWheel wheel;
    private final Closer<C> closer;
    private final Line<C> idle = new Line<>();
    /** Fresh and doubtful ones: the first to make room. */
    private final Line<C> doubtful = new Line<>();
    /** Told to go and waited for, with nothing more to be written to them; they no longer count. */
    private final Line<C> lingering = new Line<>();
    /** Those that came while there was no room, and have not been given any yet. */
    private final Line<C> waiting = new Line<>();
    /** Those that had no command when a stop began, and have not been told to go yet. */
    private final Line<C> parting = new Line<>();
    private final Shares sources;
    private final Shares tenants;
    private int size;
    private long lateUntil = Long.MIN_VALUE;

    /** {@code wheel}: its owner advances it, and with it the table's limits of time. */
    public ConnectionTable(ConnectionLimits limits, TimingWheel wheel, Closer<C> closer) {
        this.limits = limits;
        this.wheel = wheel;
        this.closer = closer;
        this.sources = new Shares(limits.perSource());
        this.tenants = new Shares(limits.perTenant());
    }

    /** Connections that are not gone. */
    public int size() {
        return size;
    }

    /** Connections that have been told to go and are waited for. */
    public int lingering() {
        return lingering.size;
    }

    /** Whether some have come without finding room: {@link #makeRoom} is to be called behind the turn's reads. */
    public boolean isCrowded() {
        return waiting.size > 0 || lingering.size > limits.lingering() || size - lingering.size - doubtful.size > limits.easy() && idle.size > 0;
    }

    /**
     * A connection has come. Null if it cannot even be refused, as too many are here or its source has too many:
     * it is to be closed at once. {@code source}: equal for those that share a limit.
     */
    public Member<C> admit(C connection, Object source, long now) {
        if (size - lingering.size >= limits.most() + limits.surplus()) {
            return null;
        }
        if (!sources.take(source)) {
            return null;
        }
        Member<C> member = new Member<>(this, connection, source, now);
        size++;
        wheel.set(member, now + limits.command());
        if (size - lingering.size > limits.most()) {
            waiting.add(member);
        } else {
            doubtful.add(member);
        }
        return member;
    }

    /** A command has been read from it, good or bad. */
    public void busy(Member<C> member) {
        if (member.state != State.CLOSING && member.state != State.GONE) {
            member.state = State.BUSY;
            member.halfSince = Long.MAX_VALUE;
            if (member.line != waiting) {
                Line.leave(member);
            }
        }
    }

    /**
     * A request of a tenant has been read from it: it counts for that tenant from here on, until it brings one of
     * another. False, and nothing changed, if the tenant has as many as it may: the request is to be refused.
     */
    public boolean asksFor(Member<C> member, Object tenant) {
        if (limits.perTenant() == 0 || tenant.equals(member.tenant)) {
            return true;
        }
        if (member.state == State.GONE || !tenants.take(tenant)) {
            return false;
        }
        if (member.tenant != null) {
            tenants.giveBack(member.tenant);
        }
        member.tenant = tenant;
        return true;
    }

    /** A good command has been read from it. */
    public void spoke(Member<C> member) {
        member.spoke = true;
    }

    /** A bad command has been read from it. */
    public void faulty(Member<C> member) {
        member.faulty = true;
    }

    /** All its commands are answered. Told again while that is so, it keeps its place in line. */
    public void rest(Member<C> member, long now) {
        if (member.state != State.BUSY) {
            return;
        }
        member.state = member.faulty ? State.DOUBTFUL : member.spoke ? State.IDLE : State.FRESH;
        member.since = now;
        if (member.line != waiting) {
            Line.leave(member);
            line(member).add(member);
        }
        if (!member.isSet()) {
            wheel.set(member, deadline(member));
        }
    }

    /** All that has come was read, and there is half a command, or none. */
    public void half(Member<C> member, boolean isHalf, long now) {
        if (!isHalf) {
            member.halfSince = Long.MAX_VALUE;
        } else if (member.halfSince == Long.MAX_VALUE) {
            member.halfSince = now;
            if (member.state != State.CLOSING && member.state != State.GONE) {
                wheel.set(member, Math.min(member.isSet() ? member.at() : Long.MAX_VALUE, now + limits.command()));
            }
        }
    }

    private Line<C> line(Member<C> member) {
        return member.state == State.IDLE ? idle : doubtful;
    }

    /**
     * It is being closed. {@code lingers}: its client has been told and nothing more is written to it, so that it no
     * longer counts and may be cut when many are waited for; otherwise its last answer is on its way.
     */
    public void closing(Member<C> member, boolean lingers, long now) {
        if (member.state != State.GONE && member.state != State.CLOSING) {
            member.state = State.CLOSING;
            member.since = now;
            Line.leave(member);
            if (lingers) {
                lingering.add(member);
            }
            wheel.set(member, now + limits.farewell());
        }
    }

    /** It has ended. */
    public void gone(Member<C> member) {
        if (member.state == State.GONE) {
            return;
        }
        member.state = State.GONE;
        Line.leave(member);
        wheel.cancel(member);
        size--;
        sources.giveBack(member.source);
        if (member.tenant != null) {
            tenants.giveBack(member.tenant);
        }
    }

    /** The loop was late by so much: what has come meanwhile may not have been read yet. */
    public void late(long now, long by) {
        if (by > limits.late()) {
            lateUntil = Math.max(lateUntil, now + by);
        }
    }

    /**
     * Finds room for those that came without any, and eases: {@code most} closes at most. To be called behind the
     * reads of a turn: a connection whose command was waiting to be read is not idle any more.
     */
    public void makeRoom(long now, int most) {
        int left = most;
        while (waiting.first != null && left-- > 0) {
            Member<C> late = waiting.first;
            Line.leave(late);
            if (late.state != State.BUSY) {
                line(late).add(late);
            }
            late.surplus = size - lingering.size > limits.most() && !evictFor(late, now);
        }
        while (left-- > 0 && size - lingering.size - doubtful.size > limits.easy() && idle.first != null
                && now >= lateUntil && now - idle.first.since >= limits.settled()) {
            close(idle.first, Why.EASE);
        }
        while (lingering.size > limits.lingering() && left-- > 0) {
            close(lingering.first, Why.FAREWELL);
        }
    }

    /** All are to go: from here on {@link #closeResting} closes those that have no command. */
    public void stop() {
        move(idle);
        move(doubtful);
        for (Member<C> member = waiting.first; member != null;) {
            Member<C> next = member.behind;
            if (member.state != State.BUSY) {
                Line.leave(member);
                parting.add(member);
            }
            member = next;
        }
    }

    private void move(Line<C> line) {
        while (line.first != null) {
            Member<C> member = line.first;
            Line.leave(member);
            parting.add(member);
        }
    }

    /**
     * Tells those that had no command when the stop began to go, this many at most; true if more are left. One on
     * which a last look finds a command, or half of one, stays until that is answered.
     */
    public boolean closeResting(int most) {
        for (int i = 0; i < most && parting.first != null; i++) {
            Member<C> member = parting.first;
            Line.leave(member);
            if (!closer.close(member.connection, Why.STOP) && member.line == null && member.state != State.BUSY) {
                line(member).add(member);
            }
        }
        return parting.first != null;
    }

    private boolean evictFor(Member<C> late, long now) {
        // In a crowd that says nothing all are young: good idle connections must not make room for it.
        long least = doubtful.size > limits.most() / CROWD_PART ? 0 : limits.young();
        Member<C> longest = doubtful.first;
        if (longest != null && longest != late && now - longest.since >= least) {
            return close(longest, Why.ROOM);
        }
        return idle.first != null && close(idle.first, Why.ROOM);
    }

    /** One that stays goes to the end of its line, lest it is looked at again and again. */
    private boolean close(Member<C> member, Why why) {
        Line<C> line = member.line;
        boolean closed = closer.close(member.connection, why);
        if (!closed && member.line == line && line != null) {
            Line.leave(member);
            line.add(member);
        }
        return closed;
    }

    private long deadline(Member<C> member) {
        long half = member.halfSince == Long.MAX_VALUE ? Long.MAX_VALUE : member.halfSince + limits.command();
        return switch (member.state) {
            case FRESH -> Math.min(half, member.since + limits.command());
            case IDLE, DOUBTFUL -> Math.min(half, member.since + limits.idle());
            case CLOSING -> member.since + limits.farewell();
            case BUSY, GONE -> Long.MAX_VALUE;
        };
    }

    /** Its timer has fired, which is set seldom and so may be early: it is set anew at what it waits for now. */
    void due(Member<C> member, long now) {
        long at = deadline(member);
        if (at > now) {
            if (at != Long.MAX_VALUE) {
                wheel.set(member, at);
            }
            return;
        }
        boolean half = member.halfSince != Long.MAX_VALUE && now - member.halfSince >= limits.command();
        Why why = member.state == State.CLOSING ? Why.FAREWELL : member.state == State.FRESH || half ? Why.SILENCE
                : Why.IDLE;
        if (!closer.close(member.connection, why) && member.state != State.GONE && !member.isSet()) {
            long again = deadline(member);
            if (again != Long.MAX_VALUE) {
                wheel.set(member, Math.max(again, now + limits.young()));
            }
        }
    }
}
