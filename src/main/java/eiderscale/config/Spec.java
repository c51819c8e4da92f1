package eiderscale.config;

import java.util.List;

/**
 * Everything that an application's file may hold. The reader, the writer, the comparison of two files, the JSON
 * Schema and the table in the operators' page are made from this one description, so that they cannot differ.
 */
final class Spec {
    /** Marks the last line of a file, by which a whole one is told from the half of one. */
    static final String END = "# end";

    private static final long MS = Units.MILLISECOND;
    private static final long SECOND = Units.SECOND;
    private static final long MINUTE = 60 * SECOND;
    private static final long HOUR = 60 * MINUTE;
    private static final long KB = 1024;
    private static final long MB = KB * KB;
    private static final long GB = KB * MB;
    /** UpTo of the design: attempts of one request, the first included. */
    private static final int MOST_ATTEMPTS = 6;
    private static final int MOST_HOSTS = 20_000;
    private static final int MOST_LISTENERS = 16;

    private static final Key SEND_BUFFER = Key.of("send-buffer", Type.SIZE, "What the system may hold of requests that a "
            + "host has not taken yet, for each connection; 0B for its own choice.").or(0L).within(0, 16 * MB);

    /** A host given by a table instead of its address alone. */
    static final Section HOST = section("hosts", true, "A cache host.",
            Key.of("address", Type.ADDRESS, "Where it listens.").needed(),
            Key.of("id", Type.NAME, "What places its keys: the same at every balancer. Its address if left out."),
            Key.of("zone", Type.NAME, "The zone that it stands in."),
            Key.of("cell", Type.WHOLE, "Hosts of one cell drop repeats for one another.").or(0L).within(0, 1e6),
            Key.of("capacity", Type.NUMBER, "Its size beside the others'.").or(1.0).between(0, 1000),
            Key.of("state", Type.CHOICE, "A draining host gets nothing new.").or("ready")
                    .from("ready", "draining"),
            Key.of("started", Type.TIME, "When it last started; it is spared while it is cold. Long ago if left "
                    + "out."));

    private static final int MOST_PEERS = 1000;

    /** What a watched file of hosts holds. */
    static final Section HOSTS_FILE = new Section("", false, "The cache hosts of a pool.",
            List.of(Key.of("hosts", Type.HOSTS, "The cache hosts.").needed().within(1, MOST_HOSTS)), List.of());

    static final Section ROOT = new Section("", false, "One application's balancer.", List.of(
            Key.of("application", Type.NAME, "The application that this balancer serves.").needed().atRestart(),
            Key.of("listen", Type.ADDRESSES, "Where its clients of the meta protocol connect. Port 0 takes "
                    + "any free one. Needed unless http.listen is there.")
                    .within(1, MOST_LISTENERS).atRestart(),
            Key.of("allow-non-loopback", Type.FLAG, "Whether listeners and hosts may be other than loopback.")
                    .or(false).atRestart()),
            List.of(
                    section("operators", false, "What staff on call may do while it serves.",
                            Key.of("control", Type.ADDRESS, "Where they call, one line to a connection. Left out: "
                                    + "nowhere.").atRestart(),
                            Key.of("folder", Type.TEXT, "A folder that a process and the one that takes its place "
                                    + "share, relative to this file: with it the new one may be started while the "
                                    + "old one serves, and hosts that are out stay out. Left out: they share "
                                    + "nothing.").atRestart()),
                    section("state", false, "What outlives the process.",
                            Key.of("folder", Type.TEXT, "A folder of this balancer's own, relative to this file, for what it knows. "
                                    + "Left out: nothing is kept.").atRestart(),
                            Key.of("every", Type.DURATION, "How often what was learnt is kept; operators' calls are at once.")
                                    .or(2 * SECOND).within(100 * MS, MINUTE).atRestart(),
                            Key.of("list", Type.DURATION, "How old a list of discovery's may be to be served by after a start; it is "
                                    + "asked anew first, and this counts where no answer comes.").or(10 * SECOND)
                                    .within(0, 10 * MINUTE).atRestart()),
                    section("peers", false, "Other instances of this application's balancer, whose word is asked for after a start "
                                    + "where state.folder holds nothing of this one's own; they are told what is known here.",
                            Key.of("control", Type.ADDRESSES, "Where they are called: their operators.control.")
                                    .within(1, MOST_PEERS).atRestart()),
                    section("members", false, "Who else is there: instances of this application's balancer find one another over UDP.",
                            Key.of("listen", Type.ADDRESS, "Where its datagrams come. Left out: it is nobody's member.").atRestart(),
                            Key.of("name", Type.NAME, "Its name among them, of 16 characters at the most, the same over its restarts.")
                                    .atRestart(),
                            Key.of("seeds", Type.ADDRESSES, "Where others listen; one that lives is enough.")
                                    .within(1, MOST_PEERS).atRestart()),
                    section("limits", false, "What the process may use.",
                            Key.of("memory", Type.SIZE, "Memory of the process; open requests must fit into it.")
                                    .or(192 * MB).within(96 * MB, 64 * GB).atRestart(),
                            Key.of("descriptors", Type.WHOLE, "Sockets and files; under half are for clients, the "
                                    + "rest mostly for hosts.").or(1024L).within(64, 1e6).atRestart(),
                            Key.of("clients", Type.WHOLE, "Connections of clients. Left out: under half of the "
                                    + "descriptors.").within(1, 1e6).atRestart(),
                            Key.of("clients-per-source", Type.WHOLE, "Connections that one client address may "
                                    + "have, lest it takes the places of the others; 0 for any number.").or(0L)
                                    .within(0, 1e6).atRestart(),
                            Key.of("clients-per-tenant", Type.WHOLE, "Connections on which one tenant may ask; on "
                                    + "a further one it is refused. 0 for any number.").or(0L).within(0, 1e6)
                                    .atRestart(),
                            Key.of("open-requests", Type.WHOLE, "Requests open at one time; more are refused.")
                                    .or(400L).within(1, 1e6),
                            Key.of("values", Type.SIZE, "Values of writes held at one time.").or(8 * MB)
                                    .within(64 * KB, 16 * GB).atRestart()),
                    section("clients", false, "What clients may say.",
                            Key.of("class", Type.CHOICE, "What the class that a client names is worth. checked: it "
                                    + "must be the route's; fallback: it counts where no route matches; first: it "
                                    + "goes before routes.").or("checked").from("checked", "fallback", "first"),
                            Key.of("tenant", Type.NAME, "The tenant of clients that name none."),
                            Key.of("idle", Type.DURATION, "A connection on which nothing is asked for so long is "
                                    + "closed.").or(10 * MINUTE).within(SECOND, 24 * HOUR).atRestart(),
                            Key.of("ease", Type.FLAG, "Whether those idle for 100 ms are closed, the longest idle "
                                    + "first, while more than three quarters of limits.clients are open.")
                                    .or(false).atRestart(),
                            Key.of("half-close", Type.FLAG, "Whether a client that has ended its sending still gets "
                                    + "its answers; otherwise it counts as gone.").or(true).atRestart(),
                            Key.of("retries", Type.WHOLE, "How often clients try again by themselves.").or(0L)
                                    .within(0, 20)),
                    section("pool", false, "The cache hosts.",
                            Key.of("kind", Type.CHOICE, "meta: hosts that read through and drop repeats of keyed "
                                    + "writes; memcached: real memcached 1.6, whose misses go to the client.")
                                    .or("meta").from("meta", "memcached").atRestart(),
                            Key.of("source", Type.CHOICE, "Where the hosts are named: here, in a watched file, or "
                                    + "by discovery.").or("static").from("static", "file", "discovery")
                                    .atRestart(),
                            Key.of("hosts", Type.HOSTS, "The hosts, with source = \"static\".")
                                    .within(1, MOST_HOSTS),
                            Key.of("file", Type.TEXT, "The file that holds the list, with source = \"file\"; "
                                    + "relative to this one.").atRestart(),
                            Key.of("poll", Type.DURATION, "How often that file is looked at.").or(500 * MS)
                                    .within(20 * MS, MINUTE).atRestart(),
                            Key.of("discovery", Type.ADDRESS, "Where the list is asked for, with source = "
                                    + "\"discovery\"."),
                            Key.of("discovery-spread", Type.DURATION, "The first question to discovery is put at a "
                                    + "moment within this, lest balancers that start together ask together; after "
                                    + "failures it is longer.").or(200 * MS).within(0, MINUTE),
                            Key.of("connect-timeout", Type.DURATION, "How long a connection may take to come up.")
                                    .or(250 * MS).within(MS, 30 * SECOND),
                            Key.of("idle", Type.DURATION, "After how long hosts close an idle connection; ours "
                                    + "go sooner.").or(30 * SECOND).within(100 * MS, HOUR),
                            SEND_BUFFER,
                            Key.of("load-report", Type.NAMES, "Fields of the load reports that hosts may add to "
                                    + "their answers.").or(List.of()).within(0, 3)
                                    .from("inflight", "queue", "util").atRestart()),
                    section("drain", false, "Hosts that go.",
                            Key.of("window", Type.DURATION, "Nothing new is sent to a host later than this after "
                                    + "it was told to drain or be gone.").or(SECOND).within(0, SECOND)),
                    section("cold", false, "Hosts that have just started.",
                            Key.of("share", Type.NUMBER, "The part of its capacity that a host starts at.").or(0.17)
                                    .within(0.001, 1),
                            Key.of("warm-within", Type.DURATION, "After this it has all of it.").or(24 * SECOND)
                                    .within(100 * MS, HOUR),
                            Key.of("falls-at", Type.NUMBER, "A host falls over when it is sent this many times "
                                    + "what it can do at the moment, for falls-after.").or(4.0).within(1, 100),
                            Key.of("falls-after", Type.DURATION, "For how long a host bears that.").or(2 * SECOND)
                                    .within(10 * MS, MINUTE),
                            Key.of("multiple", Type.NUMBER, "How many times what it can do all balancers together "
                                    + "send a cold host at most; half of falls-at at most, as chance adds to it.")
                                    .or(2.0).within(0.01, 50)),
                    section("retry", false, "Requests that are sent again.",
                            Key.of("attempts", Type.WHOLE, "Attempts of a request, the first and copies included.")
                                    .or(4L).within(1, MOST_ATTEMPTS),
                            Key.of("free", Type.NUMBER, "Further attempts that are always allowed in a span.")
                                    .or(10.0).within(0, 1e6),
                            Key.of("share", Type.NUMBER, "Further attempts allowed for each request taken in a "
                                    + "span.").or(0.2).within(0, 10),
                            Key.of("span", Type.DURATION, "The span.").or(5 * SECOND).within(100 * MS, 10 * MINUTE)),
                    section("hedge", false, "Copies of slow reads.",
                            Key.of("enabled", Type.FLAG, "Whether a second attempt may run beside the first.")
                                    .or(true),
                            Key.of("quantile", Type.NUMBER, "A copy goes out after this quantile of served "
                                    + "latencies.").or(0.95).between(0, 1),
                            Key.of("cancel", Type.FLAG, "Whether attempts that nobody waits for are ended.")
                                    .or(true)),
                    section("joining", false, "Reads that wait for another's fetch of the same key.",
                            Key.of("waiters-per-key", Type.WHOLE, "How many may wait for one key.").or(1000L)
                                    .within(1, 1e6),
                            Key.of("waiters", Type.WHOLE, "How many may wait for all keys together.").or(4000L)
                                    .within(1, 1e6),
                            Key.of("beyond", Type.CHOICE, "What becomes of one beyond these: alone: it is fetched for by "
                                    + "itself; refuse: it is told to come again.").or("alone").from("alone", "refuse"),
                            Key.of("longest", Type.DURATION, "How long a fetch may be out, whoever waits for it; never "
                                    + "longer than the deadline of its class.").or(5 * SECOND).within(10 * MS, 10 * MINUTE),
                            Key.of("further", Type.WHOLE, "Fetches behind a failed one for those that still have time.")
                                    .or(2L).within(0, 10),
                            Key.of("spread", Type.DURATION, "These go out at a moment within this, doubled each time.")
                                    .or(30 * MS).within(0, 10 * SECOND),
                            Key.of("failed-for", Type.DURATION, "For how long newcomers are refused when a key's fetches "
                                    + "have failed; 0ms: they are fetched for at once.").or(0L).within(0, MINUTE),
                            Key.of("early", Type.NUMBER, "How early stored responses are fetched anew, by chance: 1 as in "
                                    + "the paper of XFetch, more is earlier, 0 is never.").or(1.0).within(0, 100)),
                    section("refusal", false, "Requests that are turned away.",
                            Key.of("wait", Type.FLAG, "Whether refused clients are told when to come back.")
                                    .or(true),
                            Key.of("longest", Type.DURATION, "The longest wait that they are told.")
                                    .or(2 * SECOND).within(0, MINUTE)),
                    section("fleet", false, "The balancers that serve the same hosts.",
                            Key.of("balancers", Type.WHOLE, "How many there are.").or(1L).within(1, 100_000)
                                    .atRestart(),
                            Key.of("rank", Type.WHOLE, "The number of this one, from 0.").or(0L)
                                    .within(0, 99_999).atRestart(),
                            Key.of("zones", Type.NAMES, "The zones that hosts stand in.").or(List.of())
                                    .within(0, 64).atRestart(),
                            Key.of("zone", Type.NAME, "The zone that this one stands in.").atRestart()),
                    section("quota", false, "What the tenants share.",
                            Key.of("rate", Type.NUMBER, "Requests a second that the hosts can serve; with 0 no "
                                    + "tenant is held to its share.").or(0.0).within(0, 1e9)),
                    section("tenants", true, "Who the requests are for. Left out, all are for the same.",
                            Key.of("name", Type.NAME, "As clients name it.").needed(),
                            Key.of("share", Type.NUMBER, "Its part of the rate; all together make 1.").needed()
                                    .within(0.000001, 1)),
                    section("classes", true, "Kinds of requests, and how often each may take effect.",
                            Key.of("name", Type.NAME, "As clients name it.").needed(),
                            Key.of("operation", Type.CHOICE, "What its requests do.").needed()
                                    .from("read", "write"),
                            Key.of("effect", Type.CHOICE, "safe: repeats do no harm; keyed: each carries a key, "
                                    + "by which hosts drop repeats for a while; unsafe: must never run twice.")
                                    .needed().from("safe", "keyed", "unsafe"),
                            Key.of("aim", Type.DURATION, "An answer within this has its full worth.").needed()
                                    .within(MS, 10 * MINUTE),
                            Key.of("deadline", Type.DURATION, "When its clients give up.").needed()
                                    .within(10 * MS, 10 * MINUTE),
                            Key.of("worth", Type.NUMBER, "Its worth beside the others'.").or(1.0).within(0, 1000),
                            Key.of("late-worth", Type.NUMBER, "The part of it that is left after the aim; with "
                                    + "0 a request is given up on at its aim.").or(0.5).within(0, 1),
                            Key.of("retry", Type.FLAG, "Whether it is sent again after an attempt that may have "
                                    + "run. Left out: true, but for unsafe ones."),
                            Key.of("hedge", Type.FLAG, "Whether a copy may run beside it. Left out: true for "
                                    + "safe reads where [hedge] is on."),
                            Key.of("join", Type.FLAG, "Whether a read waits for another's fetch of the same key. Only "
                                    + "for safe reads, and only where an answer that was made for another request "
                                    + "will do; of HTTP, http.collapse says that.").or(false),
                            Key.of("window", Type.DURATION, "For how long hosts drop repeats; keyed classes "
                                    + "only.").within(MS, 24 * HOUR),
                            Key.of("group", Type.CHOICE, "The hosts that drop repeats for one another; keyed "
                                    + "classes only.").or("all").from("all", "zone", "cell"),
                            Key.of("in-order", Type.FLAG, "Whether requests for one key run one at a time.")
                                    .or(false),
                            Key.of("durable", Type.FLAG, "Whether each request is on disk before anything of it goes out, so that "
                                    + "`stairshelf state may-have-run` names it after a crash; for unsafe and keyed classes, with "
                                    + "state.folder.").or(false)),
                    section("routes", true, "Which requests are of which class. Of those that match, the one with "
                                    + "the longest prefix counts.",
                            Key.of("prefix", Type.PREFIX, "The beginning of their keys.").or(""),
                            Key.of("operation", Type.CHOICE, "What they do.").or("any")
                                    .from("any", "read", "write"),
                            Key.of("class", Type.NAME, "The name of their class.").needed(),
                            Key.of("effect", Type.CHOICE, "What the application knows of them; the class must "
                                    + "have the same.").from("safe", "keyed", "unsafe")),
                    section("http", false, "Clients that speak HTTP/1.1, and what is cached for them.",
                            Key.of("listen", Type.ADDRESSES, "Where they connect. Left out: nowhere.")
                                    .within(1, MOST_LISTENERS).atRestart(),
                            Key.of("name", Type.NAME, "What this balancer is called in Via and Cache-Status.")
                                    .or("stairshelf").atRestart(),
                            Key.of("cache", Type.SIZE, "Memory for stored responses; with 0B nothing is stored.")
                                    .or(16 * MB).within(0, 64 * GB).atRestart(),
                            Key.of("largest-object", Type.SIZE, "The longest response that is stored; never more "
                                    + "than a sixteenth of the cache.").or(MB).within(KB, GB).atRestart(),
                            Key.of("hold", Type.SIZE, "Bodies of requests up to this are held, so that they may be "
                                    + "sent again; longer ones stream to one host.").or(64 * KB).within(0, MB),
                            Key.of("largest-body", Type.SIZE, "The longest body of a request.").or(16 * MB)
                                    .within(KB, 64 * GB),
                            Key.of("stall", Type.DURATION, "Something of a body must come, or be taken, within "
                                    + "this.").or(10 * SECOND).within(100 * MS, 10 * MINUTE),
                            Key.of("collapse", Type.FLAG, "Whether one fetch goes out for several requests that "
                                    + "want the same.").or(true),
                            Key.of("purge", Type.FLAG, "Whether clients on loopback may take stored responses out "
                                    + "by the method PURGE.").or(false),
                            Key.of("turned-away", Type.NAMES, "Statuses by which the hosts say that a request never "
                                    + "ran, so that another one may be asked.").or(List.of()).within(0, 3)
                                    .from("425", "429", "503").atRestart()),
                    section("http-pools", true, "Hosts that speak HTTP/1.1.",
                            Key.of("name", Type.NAME, "As routes name it.").needed(),
                            Key.of("hosts", Type.HOSTS, "The hosts.").needed().within(1, MOST_HOSTS),
                            Key.of("connect-timeout", Type.DURATION, "How long a connection may take to come up.")
                                    .or(250 * MS).within(MS, 30 * SECOND),
                            Key.of("idle", Type.DURATION, "After how long hosts close an idle connection; ours "
                                    + "go sooner.").or(30 * SECOND).within(100 * MS, HOUR),
                            SEND_BUFFER),
                    section("http-routes", true, "Which HTTP requests are of which class and go where. Of those that "
                                    + "match, the one with the longest path counts.",
                            Key.of("path", Type.PREFIX, "The beginning of their paths.").or("/"),
                            Key.of("methods", Type.NAMES, "Their methods. POST, PATCH and methods that are not known "
                                    + "here go to unsafe classes only, PUT and DELETE to keyed or unsafe ones.").needed()
                                    .within(1, 20),
                            Key.of("class", Type.NAME, "The name of their class.").needed(),
                            Key.of("pool", Type.NAME, "The hosts that serve them. Left out: the first pool."),
                            Key.of("tenant", Type.NAME, "Who they are for."),
                            Key.of("tenant-field", Type.NAME, "The field that names who they are for."),
                            Key.of("key", Type.CHOICE, "What decides which host is first: the path with its query, or "
                                    + "the path alone.").or("target").from("target", "path"),
                            Key.of("deadline", Type.DURATION, "When their clients give up. Left out: as the class "
                                    + "says.").within(10 * MS, 10 * MINUTE))));

    private Spec() {
    }

    private static Section section(String name, boolean repeated, String doc, Key... keys) {
        return new Section(name, repeated, doc, List.of(keys), List.of());
    }
}
