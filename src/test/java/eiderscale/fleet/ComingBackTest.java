package eiderscale.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderscale.config.ConfigException;
import eiderscale.lab.Small;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Several processes of the program with faults between them: what the auditor sees must hold whatever the machine's speed. */
class ComingBackTest {
    private static final String FLEET = """
            length = "5s"
            settle = "500ms"
            [fleet]
            balancers = 4
            zones = ["a", "b"]
            [[hosts]]
            count = 6
            warm = "4s"
            [load]
            rate = 120.0
            keys = 500
            retries = 3
            [[mix]]
            class = "view-statement"
            share = 0.8
            [[mix]]
            class = "request-copy"
            share = 0.1
            [[mix]]
            class = "update-nominee"
            share = 0.1
            """;

    @TempDir
    Path folder;

    /** Three of four die, hosts are cold in the same moment, and one that comes back dies once more; some hosts drain meanwhile. */
    @Test
    void mostDieTwiceWhileHostsAreColdAndDrain() throws Exception {
        FleetResult result = Played.of(FLEET + Small.injury("balancer-kill", "1s", "part = 0.75")
                + Small.injury("restart", "1s", "hosts = \"host-0\"")
                + Small.injury("drain", "1s", "hosts = \"host-1\"")
                + Small.injury("balancer-kill", "2500ms", "part = 0.25")).onProcesses(folder);
        assertTrue(result.served() > 0.2, () -> result.text(true));
    }

    /** All die, none is left to learn from, and discovery answers one call in three. */
    @Test
    void allDieWhileDiscoveryIsOverbooked() throws Exception {
        FleetResult result = Played.of(FLEET + Small.injury("discovery-busy", "800ms", "factor = 3.0")
                + Small.injury("balancer-kill", "1s", "for = \"200ms\"")).onProcesses(folder);
        Tally tally = result.tally();
        int last = tally.windows() - 1;
        assertTrue(tally.sum(Tally.Of.SERVED, last - 8, last) > 0, () -> result.text(true));
    }

    /** Half stand still for two seconds while a host is taken away: nothing of theirs goes there after they wake. */
    @Test
    void halfStandStillWhileAHostDrains() throws Exception {
        Played.of(FLEET + Small.injury("balancer-stall", "1s", "for = \"2s\"\npart = 0.5")
                + Small.injury("drain", "1500ms", "hosts = \"host-2\"")).onProcesses(folder);
    }

    /** Two hosts drain one after the other while half stand still, and discovery takes its time: the second one gets nothing either. */
    @Test
    void whatDrainedDuringAStandstillGetsNothingBehindIt() throws Exception {
        FleetResult result = Played.of(FLEET.replace("rate = 120.0", "rate = 300.0") + "[discovery]\ncall = \"100ms\"\n"
                + Small.injury("balancer-stall", "500ms", "for = \"3500ms\"\npart = 0.5")
                + Small.injury("drain", "1s", "hosts = \"host-0\"")
                + Small.injury("drain", "1500ms", "hosts = \"host-1\"")).onProcesses(folder);
        assertEquals(0, result.tally().sum(Tally.Of.STALE, 0, result.tally().windows()), () -> result.text(true));
    }

    /** A zone is cut off from the other for two seconds; what is there serves on. */
    @Test
    void zonesAreCutFromEachOther() throws Exception {
        FleetResult result = Played.of(FLEET + Small.injury("cut", "1s", "for = \"2s\"\nzone = \"b\"")
                + Small.injury("balancer-gone", "2s", "part = 0.25")).onProcesses(folder);
        assertTrue(result.served() > 0.2, () -> result.text(true));
    }

    /** What has no meaning for processes is refused by name, before anything starts. */
    @Test
    void whatCannotBePlayedIsNamed() throws Exception {
        Played played = Played.of(FLEET + Small.injury("ledger-down", "1s", ""));
        ConfigException thrown = assertThrows(ConfigException.class, () -> played.onProcesses(folder));
        assertTrue(thrown.getMessage().contains("'ledger-down'"), thrown.getMessage());
    }

    /** The same file in virtual time breaks no rule either, whatever the seed. */
    @Test
    void theLaboratoryPlaysTheSame() throws Exception {
        Played played = Played.of(FLEET + Small.injury("balancer-kill", "1s", "part = 0.75")
                + Small.injury("restart", "1s", "")
                + Small.injury("drain", "2500ms", "hosts = \"host-1\"")
                + Small.injury("discovery-busy", "2500ms", "for = \"3s\"\nfactor = 5.0")
                + Small.injury("balancer-kill", "2500ms", "part = 0.25"));
        for (long seed = 1; seed <= 40; seed++) {
            played.inVirtualTime(seed);
        }
        assertEquals(played.inVirtualTime(7).digest(), played.inVirtualTime(7).digest());
    }
}
