package eiderscale.http;

import eiderscale.http.cache.CacheKey;
import eiderscale.http.cache.Fields;
import eiderscale.http.cache.HttpCache;
import eiderscale.http.cache.Stored;
import eiderscale.joining.Flight;
import eiderscale.net.BodySink;
import eiderscale.net.Answer;
import eiderscale.net.Client;
import eiderscale.net.Clock;
import eiderscale.ledger.Taken;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;

/**
 * One request to the hosts on behalf of the cache: of one client alone, of a flight that several wait for, or of none
 * where what was served is validated behind that. The client that it went out for gets the body as it comes; the others
 * are served from the store when it is whole, and go their own way as soon as it is sure that it will not be.
 */
final class Fetching implements Client, BodySink {
    private static final int MOST_AGAIN = 2;

    private final HttpFront front;
    private final Fetches fetches;
    /** What the request is like beside what the cache asks for. */
    private final Origin origin;
    /** Null for one that nobody may join. */
    private final Flight<CacheKey, Turn, HttpAnswer> flight;
    /** Whom it went out for, where others may wait too. */
    private Turn cause;
    /** Who is answered as the answer comes: from the start for one alone, from the answer's head on for a flight. */
    private Turn first;
    private HttpCache.Fetch fetch;
    private long deadline;
    private Taken taken;
    private HttpAnswer answer;
    private long asked;
    private long begunAt;
    private int again;
    private Stored keep;
    private ByteArrayOutputStream body;
    private boolean over;
    /** Its target was written to since it went out: what it brings is for those alone that wanted it before. */
    private boolean overwritten;

    Fetching(HttpFront front, Fetches fetches, Turn alone, Origin origin, Flight<CacheKey, Turn, HttpAnswer> flight) {
        this.front = front;
        this.fetches = fetches;
        this.first = alone;
        this.origin = origin;
        this.flight = flight;
    }

    /** Sends it. {@code until}: on the program's clock. */
    void start(HttpCache.Fetch what, long until) {
        fetch = what;
        deadline = until;
        asked = front.nowMs();
        begunAt = Clock.now();
        overwritten = false;
        fetches.underWay().begun(what.key(), this);
        if (first != null) {
            first.leads(this);
        }
        Taken given = origin.take(what.method(), what.fields(), until, this);
        if (!over) {
            taken = given;
        }
    }

    /** It goes out for this one, which waits as the others do. */
    Fetching onBehalfOf(Turn waiter) {
        cause = waiter;
        return this;
    }

    /** The client that is answered as the answer comes has left. */
    void leave() {
        first = null;
        if (flight == null || answer != null && body == null) {
            giveUp();
        } else {
            answer.resume();
            fetches.unwanted(flight);
        }
    }

    void giveUp() {
        finish();
        if (answer != null) {
            answer.to(null);
        }
        drop();
        if (taken != null) {
            taken.clientGone(Clock.now());
        }
    }

    /** How its client takes what it is sent; one that reads slowly must not hold others back. */
    void flow(boolean writable) {
        if (answer != null && (writable || flight == null || flight.waiting() == 0)) {
            if (writable) {
                answer.resume();
            } else {
                answer.pause();
            }
        }
    }

    // What the core says.

    @Override
    public void served(Answer given) {
        answer = (HttpAnswer) given;
        if (flight != null) {
            first = fetches.begun(flight, cause);
            if (first != null) {
                first.leads(this);
            }
        }
        Fields fields = front.passed(answer);
        HttpCache.Outcome outcome = isOverwritten() ? front.cache().answeredBehindWrite(fetch, answer.status)
                : front.cache().answered(fetch, answer.status, fields, asked, front.nowMs());
        if (outcome instanceof HttpCache.Again more && again++ < MOST_AGAIN) {
            answer.discard();
            answer = null;
            taken = null;
            start(more.fetch(), deadline);
        } else if (outcome instanceof HttpCache.Instead instead) {
            int status = answer.status;
            answer.discard();
            finish();
            if (first != null) {
                first.hit(instead.hit(), fetch.reason(), status);
            }
            stored(instead.hit().copy().stored());
        } else if (outcome instanceof HttpCache.Pass pass) {
            pass(pass, fields);
        } else {
            answer.discard();
            finish();
            if (first != null) {
                first.senseless();
            }
            if (flight != null) {
                fetches.senseless(flight);
            }
        }
    }

    private void finish() {
        over = true;
        fetches.underWay().ended(fetch.key(), this);
    }

    /** A write of its target is on its way, or has ended. */
    void overwrite() {
        overwritten = true;
    }

    private boolean isOverwritten() {
        return overwritten || flight != null && flight.isOverwritten();
    }

    private void pass(HttpCache.Pass pass, Fields fields) {
        keep = answer.framed && !isOverwritten() ? pass.keep() : null;
        if (keep != null) {
            body = new ByteArrayOutputStream((int) Math.max(0, Math.min(answer.length, 64 * 1024)));
        } else {
            notStored();
        }
        if (first != null) {
            first.begin(answer, fields, fetch.reason(), keep != null);
        } else if (keep == null) {
            giveUp();
            return;
        }
        answer.to(this);
    }

    /** It will not be stored: the others have to ask for themselves, or once more together where it was written to. */
    private void notStored() {
        if (flight == null) {
            return;
        }
        if (isOverwritten()) {
            fetches.stored(flight, true);
        } else {
            fetches.notShared(flight);
        }
    }

    /** What is stale as soon as it is stored serves nobody else: waiting for it again would have them queue. */
    private void stored(Stored stored) {
        if (flight != null) {
            fetches.stored(flight, stored != null && stored.freshness().left(front.nowMs()) > 0);
        }
    }

    @Override
    public void part(ByteBuf bytes) {
        if (body != null) {
            int size = bytes.readableBytes();
            if (front.store().takes(body.size() + (long) size) && front.budget().take(size)) {
                byte[] copy = ByteBufUtil.getBytes(bytes);
                body.write(copy, 0, copy.length);
            } else {
                drop();
                notStored();
                if (first == null) {
                    bytes.release();
                    giveUp();
                    return;
                }
            }
        }
        if (first != null) {
            first.part(bytes);
        } else {
            bytes.release();
        }
    }

    @Override
    public void end() {
        finish();
        boolean held = body != null;
        boolean kept = held && !isOverwritten();
        if (held) {
            byte[] bytes = body.toByteArray();
            drop();
            if (kept) {
                front.cache().keep(fetch.key(), keep, bytes);
                front.took(Clock.now() - begunAt);
            }
        }
        if (first != null) {
            first.end();
        }
        if (held) {
            stored(keep);
        }
    }

    @Override
    public void cut() {
        finish();
        boolean held = body != null;
        drop();
        if (first != null) {
            first.cut();
        }
        if (held && flight != null) {
            fetches.ended(flight, null, 0);
        }
    }

    private void drop() {
        if (body != null) {
            front.budget().giveBack(body.size());
            body = null;
        }
    }

    @Override
    public void refused(long retryAfterMs, Answer last) {
        finish();
        HttpAnswer said = (HttpAnswer) last;
        store(said);
        if (flight == null) {
            first.orStale(turn -> turn.refused(retryAfterMs, said));
        } else if (taken == null || !taken.isTried()) {
            fetches.refused(flight, retryAfterMs);
        } else {
            fetches.ended(flight, said, retryAfterMs);
        }
    }

    @Override
    public void failed(Answer last) {
        finish();
        HttpAnswer said = (HttpAnswer) last;
        store(said);
        if (flight == null) {
            first.orStale(turn -> turn.failed(said));
        } else {
            fetches.ended(flight, said, 0);
        }
    }

    /** An error is kept if it says in so many words that it may be (RFC 9111 section 3). */
    private void store(HttpAnswer last) {
        byte[] whole = last == null || !last.framed || isOverwritten() ? null : last.whole();
        if (whole != null && front.cache().answered(fetch, last.status, front.passed(last), asked, front.nowMs())
                instanceof HttpCache.Pass pass && pass.keep() != null) {
            front.cache().keep(fetch.key(), pass.keep(), whole);
        }
    }
}
