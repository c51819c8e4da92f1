package eiderscale.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** What hosts are told of the time that is left to a client whose command waited behind a full pipeline. */
class PipelineDeadlineTest {
    /** As many commands of one connection as are taken in at once. */
    private static final int FULL = 64;
    private static final int WAIT_MS = 3_000;
    private static final long ANSWER_MS = 600;
    private static final long SLACK_MS = 150;
    private static final Pattern LAST = Pattern.compile(" Or" + FULL + " .*d=([0-9]+)");

    /** Guards against work for clients that have given up: the wait for room on a connection comes off the deadline. */
    @Test
    void theWaitBehindAFullPipelineComesOffTheDeadline() throws Exception {
        Queue<String> told = new ConcurrentLinkedQueue<>();
        FakeHost host = new FakeHost(peer -> {
            for (String line = peer.line(); line != null; line = peer.line()) {
                long leftMs = System.nanoTime() / Clock.MILLISECOND;
                told.add(leftMs + line);
                try {
                    Thread.sleep(ANSWER_MS);
                } catch (InterruptedException e) {
                    return;
                }
                peer.write(FakeHost.served(line));
            }
        });
        try (Rig rig = new Rig(host).start(); Peer client = rig.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i <= FULL; i++) {
                all.append("mg ").append(i).append(" v Or").append(i).append(" Pc=read,t=acme,d=").append(WAIT_MS).append("\r\n");
            }
            long sentAt = System.nanoTime() / Clock.MILLISECOND;
            client.write(all.toString());
            for (int i = 0; i <= FULL; i++) {
                client.line();
                client.line();
            }
            String last = told.stream().filter(line -> LAST.matcher(line).find()).findFirst().orElseThrow();
            Matcher matcher = LAST.matcher(last);
            assertTrue(matcher.find());
            long passedMs = Long.parseLong(last.substring(0, last.indexOf('m'))) - sentAt;
            long toldMs = Long.parseLong(matcher.group(1));
            assertTrue(passedMs >= ANSWER_MS, "it waited for room: " + passedMs);
            assertTrue(toldMs <= WAIT_MS - passedMs + SLACK_MS, "told " + toldMs + " of " + WAIT_MS + " after " + passedMs);
        }
    }
}
