package eiderscale.members;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One instance's part in its group, after SWIM (Das, Gupta, Motivala, 2002) with the findings of Lifeguard (Dadgar, Phillips, Currey,
 * 2018): one member is probed in each period, in shuffled rounds; who does not answer is asked by others; who answers nobody is
 * suspected, and dead when it has not objected in a time that shrinks with independent confirmations. An instance that misses
 * answers it should have got, or has to object, takes itself for slow, and probes and accuses more slowly. News ride on what is
 * sent anyway, each so often as the logarithm of the group asks; beside that each period carries on a walk through all members,
 * to somebody who is there or to somebody who is dead, so that a cut that heals is noticed by those that it made dead.
 *
 * <p>Time comes with each call, in nanoseconds, and never falls. For one thread.
 */
public final class Membership {
    /** Where it wants something sent. */
    public interface Out {
        /** Sends a datagram to an address; it may be lost. */
        void send(String address, Message message);

        /** The view has changed. */
        void changed(View view);
    }

    /** Words in one datagram; what has no room rides on the next. */
    public static final int MOST_NEWS = 5;
    /** Turns of news in a period, to how many each; datagrams that an asker is shown, and askers in one turn. */
    private static final int GOSSIPS = 4;
    private static final int GOSSIP_TO = 2;
    private static final int SHOWN = 6;
    private static final int MOST_SHOWS = 8;
    /** Members that are known at once; more are not taken, whoever speaks of them. */
    static final int MOST_MEMBERS = 4096;
    /** Periods between two objections to another of one's own name. */
    static final int NAMESAKE = 30;
    /** How slow an instance may take itself for. */
    static final int SLOWEST = 8;

    /** A question of another that is passed on. */
    private record Errand(String asker, long number, long until) {
    }

    private final Pace pace;
    private final Out out;
    private final SplittableRandom luck;
    private final Random shuffler;
    private final Map<String, Member> members = new TreeMap<>();
    private final List<String> seeds;
    private final List<String> round = new ArrayList<>();
    private final Map<Long, Errand> errands = new LinkedHashMap<>();
    private Word self;
    private long nextPeriod;
    private long lastNumber;
    /** The probe that is out; its number 0 for none. */
    private String probed = "";
    private long probeNumber;
    private long directUntil;
    private int nacksOwed;
    private int helpersAsked;
    private long nextGossip;
    /** Members that it has come to know since it last looked; while there are any it asks for more. */
    private int newcomers;
    /** Askers that may still be shown the table in this turn of news. */
    private int shows;
    private int slowness;
    private int walkAt;
    private long epoch;
    private boolean leaving;
    /** Where another of this name was heard of last; empty for nowhere: a mistake of whoever named them. */
    private String namesake = "";
    private long quietUntil;
    /** It has objected since it last sent anything: some are to hear that at once. */
    private boolean objected;
    private boolean changed;

    /** {@code seeds}: addresses of members that may be there; {@code incarnation}: above that of any earlier process of this name. */
    public Membership(String name, String address, long incarnation, List<String> seeds, Pace pace, long seed, long now, Out out) {
        this.self = new Word(name, address, incarnation, Status.ALIVE);
        this.pace = pace;
        this.out = out;
        this.luck = new SplittableRandom(seed);
        this.shuffler = new Random(seed ^ 0x5DEECE66DL);
        this.seeds = seeds.stream().filter(one -> !one.equals(address)).toList();
        // Not in step with others that begin in the same moment.
        this.nextPeriod = now + luck.nextLong(pace.period() / GOSSIPS);
        this.nextGossip = nextPeriod;
        this.shows = MOST_SHOWS;
        join();
    }

    /** Members that are not told yet, and those that may have been lost sight of. */
    private void join() {
        for (String seed : seeds) {
            send(seed, Message.Kind.PING, 0, "");
        }
    }

    /** This instance, as it stands. */
    public Word self() {
        return self;
    }

    /** Where another instance of the same name was heard of; empty for nowhere. */
    public String namesake() {
        return namesake;
    }

    /** How slow it takes itself for, 0 for not at all. */
    public int slowness() {
        return slowness;
    }

    /** When {@link #tick} is wanted next. */
    public long nextAt() {
        long next = Math.min(nextPeriod, nextGossip);
        if (probeNumber != 0 && directUntil > 0) {
            next = Math.min(next, directUntil);
        }
        for (Errand errand : errands.values()) {
            next = Math.min(next, errand.until);
        }
        for (Member member : members.values()) {
            if (member.word.status() == Status.SUSPECT) {
                next = Math.min(next, member.since + member.suspicion(pace.leastSuspicion(size())));
            }
        }
        return next;
    }

    /** Who is there. */
    public View view() {
        List<Word> there = new ArrayList<>();
        int known = 1;
        there.add(self);
        for (Member member : members.values()) {
            known += member.word.status() == Status.LEFT ? 0 : 1;
            if (member.word.status().isThere()) {
                there.add(member.word);
            }
        }
        there.sort(Comparator.comparing(Word::name));
        return new View(epoch, there, known);
    }

    private int size() {
        return 1 + (int) members.values().stream().filter(member -> member.word.status().isThere()).count();
    }

    // Time.

    /** What is due is done. */
    public void tick(long now) {
        for (Map.Entry<Long, Errand> one : List.copyOf(errands.entrySet())) {
            if (one.getValue().until <= now) {
                errands.remove(one.getKey());
                Member asker = members.get(one.getValue().asker);
                if (asker != null) {
                    send(asker.word.address(), Message.Kind.NACK, one.getValue().number, "");
                }
            }
        }
        if (probeNumber != 0 && directUntil > 0 && now >= directUntil) {
            askOthers(now);
        }
        for (Member member : List.copyOf(members.values())) {
            if (member.word.status() == Status.SUSPECT && now >= member.since + member.suspicion(pace.leastSuspicion(size()))) {
                take(now, new Word(member.word.name(), member.word.address(), member.word.incarnation(), Status.DEAD), self.name());
            }
        }
        if (now >= nextPeriod) {
            period(now);
        }
        if (now >= nextGossip) {
            nextGossip = now + pace.period() / GOSSIPS;
            gossip();
        }
        tell();
    }

    /** Fresh words go to a few at random; who has just come to know others asks one of them for more. */
    private void gossip() {
        shows = MOST_SHOWS;
        boolean fresh = members.values().stream().anyMatch(member -> member.passesLeft > 0);
        List<Member> there = new ArrayList<>(members.values());
        there.removeIf(member -> !member.word.status().isThere());
        Collections.shuffle(there, shuffler);
        for (Member member : there.subList(0, fresh ? Math.min(GOSSIP_TO, there.size()) : 0)) {
            send(member.word.address(), Message.Kind.NEWS, 0, "");
        }
        if (newcomers > 0 && !there.isEmpty()) {
            send(there.get(0).word.address(), Message.Kind.PING, 0, "");
        }
        newcomers = 0;
    }

    private long digest() {
        List<Word> there = new ArrayList<>();
        there.add(self);
        members.values().forEach(member -> there.add(member.word));
        return Digest.of(there);
    }

    /** Somebody holds others for there: it is shown what is held here of one of the parts in which that shows. */
    private void compare(String address, long digest) {
        List<Integer> parts = Digest.differing(digest, digest());
        if (!parts.isEmpty()) {
            int one = parts.get(luck.nextInt(parts.size()));
            List<Member> all = new ArrayList<>(members.values());
            all.removeIf(member -> Digest.part(member.word.name()) != one);
            show(address, all);
        }
    }

    /** Shows an asker some of these, from a place at random. */
    private void show(String address, List<Member> all) {
        if (shows <= 0) {
            return;
        }
        shows--;
        int from = all.isEmpty() ? 0 : luck.nextInt(all.size());
        for (int done = 0; done < Math.min(SHOWN * MOST_NEWS, all.size()); done += MOST_NEWS) {
            List<Word> part = new ArrayList<>();
            for (int i = done; i < Math.min(done + MOST_NEWS, all.size()); i++) {
                part.add(all.get((from + i) % all.size()).word);
            }
            out.send(address, new Message(Message.Kind.NEWS, self, 0, "", part));
        }
    }

    private void period(long now) {
        if (probeNumber != 0) {
            probeNumber = 0;
            // Helpers that say nothing either point at this one; where they answered, at the other.
            slower(helpersAsked == 0 ? 1 : nacksOwed);
            Member member = members.get(probed);
            if (member != null && member.word.status().isThere()) {
                accuse(now, member, self.name());
            }
        }
        members.values().removeIf(member -> !member.word.status().isThere() && now - member.since > pace.remembered());
        nextPeriod = now + pace.period() * (1 + slowness);
        if (members.values().stream().noneMatch(member -> member.word.status().isThere())) {
            join();
        }
        walk();
        probe(now);
    }

    private void probe(long now) {
        while (true) {
            if (round.isEmpty()) {
                members.values().forEach(member -> round.add(member.word.name()));
                Collections.shuffle(round, shuffler);
                if (round.isEmpty()) {
                    return;
                }
            }
            Member next = members.get(round.remove(round.size() - 1));
            if (next != null && next.word.status().isThere()) {
                probed = next.word.name();
                probeNumber = ++lastNumber;
                directUntil = now + pace.answer() * (1 + slowness);
                nacksOwed = 0;
                helpersAsked = 0;
                send(next.word.address(), Message.Kind.PING, probeNumber, "");
                return;
            }
            if (members.values().stream().noneMatch(member -> member.word.status().isThere())) {
                round.clear();
                return;
            }
        }
    }

    private void askOthers(long now) {
        directUntil = 0;
        List<Member> helpers = new ArrayList<>(members.values());
        helpers.removeIf(member -> member.word.status() != Status.ALIVE || member.word.name().equals(probed));
        Collections.shuffle(helpers, shuffler);
        for (Member helper : helpers.subList(0, Math.min(pace.helpers(), helpers.size()))) {
            nacksOwed++;
            helpersAsked++;
            send(helper.word.address(), Message.Kind.ASK, probeNumber, probed);
        }
    }

    /** Some of all members, in turn, to one who is there; and to one who is dead, who may not know that it is. */
    private void walk() {
        List<Member> all = new ArrayList<>(members.values());
        if (all.isEmpty()) {
            return;
        }
        List<Word> part = new ArrayList<>();
        for (int i = 0; i < Math.min(MOST_NEWS, all.size()); i++) {
            part.add(all.get((walkAt + i) % all.size()).word);
        }
        walkAt = (walkAt + part.size()) % all.size();
        Member to = all.get(luck.nextInt(all.size()));
        if (to.word.status().isThere()) {
            out.send(to.word.address(), new Message(Message.Kind.NEWS, self, digest(), "", part));
        }
        List<Member> dead = all.stream().filter(member -> member.word.status() == Status.DEAD).toList();
        if (!dead.isEmpty()) {
            Member lost = dead.get(luck.nextInt(dead.size()));
            // What is held of it comes first: it objects if it lives.
            out.send(lost.word.address(), new Message(Message.Kind.PING, self, 0, "", List.of(lost.word)));
        }
    }

    private void slower(int by) {
        slowness = Math.min(SLOWEST, slowness + by);
    }

    private void faster() {
        slowness = Math.max(0, slowness - 1);
    }

    // What comes.

    /** A datagram came. */
    public void receive(long now, Message message) {
        Word from = message.from();
        if (leaving || from.name().equals(self.name()) && from.address().equals(self.address())) {
            return;
        }
        take(now, from, from.name());
        for (Word word : message.news()) {
            take(now, word, from.name());
        }
        switch (message.kind()) {
            case PING -> {
                send(from.address(), Message.Kind.ACK, message.number(), "");
                if (message.number() == 0 && message.news().stream().noneMatch(word -> word.name().equals(self.name()))) {
                    List<Member> there = new ArrayList<>(members.values());
                    there.removeIf(member -> !member.word.status().isThere());
                    show(from.address(), there);
                }
            }
            case ACK -> acknowledged(now, message);
            case ASK -> errand(now, message);
            case NACK -> {
                if (message.number() == probeNumber && nacksOwed > 0) {
                    nacksOwed--;
                }
            }
            default -> {
                if (message.number() != 0) {
                    compare(from.address(), message.number());
                }
            }
        }
        tell();
    }

    private void acknowledged(long now, Message message) {
        Errand errand = errands.remove(message.number());
        if (errand != null) {
            Member asker = members.get(errand.asker);
            if (asker != null) {
                send(asker.word.address(), Message.Kind.ACK, errand.number, "");
            }
        } else if (message.number() != 0 && message.number() == probeNumber) {
            probeNumber = 0;
            nacksOwed = 0;
            faster();
        }
    }

    private void errand(long now, Message message) {
        Member about = members.get(message.about());
        if (about == null || errands.size() >= MOST_MEMBERS) {
            return;
        }
        long number = ++lastNumber;
        errands.put(number, new Errand(message.from().name(), message.number(), now + pace.answer()));
        send(about.word.address(), Message.Kind.PING, number, "");
    }

    /** A word on a member, by whoever said it. */
    private void take(long now, Word word, String by) {
        if (word.name().equals(self.name())) {
            object(now, word);
            return;
        }
        Member member = members.get(word.name());
        if (member == null) {
            if (members.size() < MOST_MEMBERS && word.status().isThere()) {
                member = new Member(word);
                member.since = now;
                members.put(word.name(), member);
                if (word.status() == Status.SUSPECT) {
                    member.accusers.add(by);
                }
                pass(member);
                changed = true;
                newcomers++;
                // Into the round that is on, at any place, so that newcomers are not probed by all at once.
                round.add(luck.nextInt(round.size() + 1), word.name());
            }
            return;
        }
        if (word.status() == Status.SUSPECT && member.word.status() == Status.SUSPECT
                && word.incarnation() == member.word.incarnation()) {
            confirm(member, by);
            return;
        }
        if (!word.beats(member.word)) {
            return;
        }
        if (word.status() == Status.SUSPECT) {
            member.word = word;
            member.since = now;
            member.accusers.clear();
            member.accusers.add(by);
        } else {
            boolean moved = member.word.status().isThere() != word.status().isThere() || !member.word.address().equals(word.address());
            if (moved || member.word.status() != word.status()) {
                member.since = now;
            }
            member.word = word;
            member.accusers.clear();
            changed |= moved;
        }
        pass(member);
    }

    private void accuse(long now, Member member, String by) {
        if (member.word.status() == Status.SUSPECT) {
            confirm(member, by);
        } else {
            take(now, new Word(member.word.name(), member.word.address(), member.word.incarnation(), Status.SUSPECT), by);
        }
    }

    /** One more says so: that is passed on as well, up to so many. */
    private void confirm(Member member, String by) {
        if (member.confirm(by)) {
            pass(member);
        }
    }

    /** What is said of this one is not so: only it may say that, and with a higher incarnation it does. */
    private void object(long now, Word word) {
        boolean another = !word.address().equals(self.address());
        if (another && word.status().isThere()) {
            if (word.incarnation() < self.incarnation()) {
                // This process's own, before it came to another address.
                return;
            }
            namesake = word.address();
            if (now < quietUntil) {
                return;
            }
            // Two that live object to each other for ever: each does so seldom, so that the others' views stay for a while.
            quietUntil = now + NAMESAKE * pace.period();
        }
        if (another && word.status().isThere() || !word.status().equals(Status.ALIVE) && word.incarnation() >= self.incarnation()) {
            self = new Word(self.name(), self.address(), word.incarnation() + 1, Status.ALIVE);
            objected = true;
            slower(1);
        }
    }

    private void pass(Member member) {
        member.passesLeft = pace.passes(size());
    }

    // What goes.

    private void send(String address, Message.Kind kind, long number, String about) {
        out.send(address, new Message(kind, self, number, about, news(address)));
    }

    private List<Word> news(String address) {
        List<Word> news = new ArrayList<>();
        List<Member> fresh = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.passesLeft > 0 || member.word.address().equals(address) && member.word.status() != Status.ALIVE) {
                fresh.add(member);
            }
        }
        // What is held of itself first, so that it can object; then what has been passed on least.
        fresh.sort(Comparator.comparing((Member member) -> !member.word.address().equals(address))
                .thenComparing((Member member) -> -member.passesLeft));
        for (Member member : fresh.subList(0, Math.min(MOST_NEWS, fresh.size()))) {
            member.passesLeft = Math.max(0, member.passesLeft - 1);
            news.add(member.word);
        }
        return news;
    }

    private void tell() {
        if (objected) {
            objected = false;
            // As others wait for it: it stands in every datagram's sender, and these few pass it on.
            List<Member> some = new ArrayList<>(members.values());
            Collections.shuffle(some, shuffler);
            for (Member member : some.subList(0, Math.min(pace.helpers(), some.size()))) {
                send(member.word.address(), Message.Kind.NEWS, 0, "");
            }
        }
        if (changed) {
            changed = false;
            epoch++;
            out.changed(view());
        }
    }

    /** Says to a few that it goes; nothing is taken or sent behind that. */
    public void leave() {
        self = new Word(self.name(), self.address(), self.incarnation(), Status.LEFT);
        List<Member> all = new ArrayList<>(members.values());
        all.removeIf(member -> !member.word.status().isThere());
        Collections.shuffle(all, shuffler);
        for (Member member : all.subList(0, Math.min(2 * pace.helpers() + 2, all.size()))) {
            out.send(member.word.address(), new Message(Message.Kind.NEWS, self, 0, "", List.of()));
        }
        leaving = true;
    }

    /** How many words are held in all, the dead included; for bounds. */
    Map<String, Word> words() {
        Map<String, Word> words = new HashMap<>();
        members.forEach((name, member) -> words.put(name, member.word));
        return words;
    }
}
