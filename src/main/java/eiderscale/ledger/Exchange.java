package eiderscale.ledger;

import eiderscale.Api;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A request that was taken, from its arrival until the outcome of its last attempt; the timer of its last call. For the type
 * parameters see {@link LedgerActions}.
 */
public final class Exchange<W extends Work, C, L, A> extends Due implements Taken {
    final long id;
    /** The settings and the module that it came under. */
    final Generation<W, C, L, A> generation;
    final List<Attempt<W, C, L, A>> attempts = new ArrayList<>(2);
    /** The latest moment for a final answer. */
    long deadline;
    /** By then a body that is not held must have come, and its request be answered. */
    long bodyDeadline;
    /** The client has yet to send the rest of a body that is not held: it does not wait for an answer. */
    boolean isBodyAwaited;
    int pending;
    /** It is on record, or about to be; until that is sure it does not begin. */
    boolean recorded;
    boolean unsure;
    /** The module has been told of it. */
    boolean begun;
    /** Answered, or the client is gone: nothing is owed and nothing new goes out. */
    boolean over;
    /** The attempt whose answer has begun and went to the client; null before that. */
    Attempt<W, C, L, A> streaming;
    /** Its client has a final answer. */
    boolean answered;
    /** Some attempt may have run. */
    boolean mayHaveRun;
    /** Why the module has refused or failed it; null where it did neither. */
    Api.Cause cause;
    private final W work;
    private final C client;
    private A last;

    Exchange(long id, W work, C client, Generation<W, C, L, A> generation, long deadline, long bodyDeadline) {
        this.id = id;
        this.work = work;
        this.client = client;
        this.generation = generation;
        this.deadline = deadline;
        this.bodyDeadline = bodyDeadline;
    }

    /** Its number among all that this ledger has taken. */
    public long number() {
        return id;
    }

    /** What was asked. */
    public W work() {
        return work;
    }

    /** Who is answered. */
    public C client() {
        return client;
    }

    /** The latest moment for a final answer; moves while a body comes that is not held. */
    public long deadline() {
        return deadline;
    }

    /** Its attempts so far, the first one first; not to be changed. */
    public List<Attempt<W, C, L, A>> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    /** Why the module has refused or failed it; null where it did neither. */
    public Api.Cause cause() {
        return cause;
    }

    /** Whether it is answered, or its client is gone. */
    public boolean isOver() {
        return over;
    }

    /** What the host said whose attempt is being reported, where that is no good answer; null at all other times. */
    public A last() {
        return last;
    }

    void last(A answer) {
        last = answer;
    }

    /** The settings that it came under. */
    public Terms terms() {
        return generation.terms;
    }

    /** Closes the request; true the first time only, so that there is never a second answer. */
    boolean close() {
        boolean first = !over;
        over = true;
        return first;
    }

    /** Whether its final answer has been given to its end: the module lets go of it then, and of what is out for it. */
    boolean isClosed() {
        return over && (streaming == null || streaming.over);
    }

    @Override
    public void due(long now) {
        generation.ledger.lastCall(now, this);
    }

    @Override
    public boolean isTried() {
        return !attempts.isEmpty();
    }

    @Override
    public void bodyCame(long now, boolean isAwaited) {
        generation.ledger.bodyCame(now, this, isAwaited);
    }

    @Override
    public void bodyEnded(long now) {
        generation.ledger.bodyEnded(now, this);
    }

    @Override
    public void clientGone(long now) {
        generation.ledger.clientGone(now, this);
    }
}
