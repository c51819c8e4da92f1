package eiderscale.http.cache;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.hc.client5.http.impl.cache.ApacheFreshness;

/**
 * The arithmetic against that of Apache HttpClient's cache, over fields that both understand: lifetimes from
 * directives, {@code Expires} and {@code Last-Modified}, ages from clocks and fields.
 */
class ApacheFreshnessTest {
    private static final long NOW = 1_800_000_000_000L;

    private static String date(SplittableRandom random, int from, int to) {
        return HttpDate.format(NOW / 1000 + random.nextInt(from, to));
    }

    @Property(tries = 3_000, seed = "5861", edgeCases = EdgeCasesMode.NONE)
    void bothComeToTheSame(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> fields = new ArrayList<>(List.of("Date", date(random, -300, 1)));
        if (random.nextBoolean()) {
            fields.addAll(List.of("Age", String.valueOf(random.nextInt(200))));
        }
        if (random.nextBoolean()) {
            fields.addAll(List.of("Expires", date(random, -100, 400)));
        }
        if (random.nextBoolean()) {
            fields.addAll(List.of("Last-Modified", date(random, -500_000, -300)));
        }
        List<String> control = new ArrayList<>();
        for (String name : new String[] {"max-age", "S-MaxAge", "x-age"}) {
            if (random.nextInt(3) == 0) {
                control.add(name + (random.nextBoolean() ? "=" + random.nextInt(500) : "=\"" + random.nextInt(500) + "\""));
            }
        }
        if (!control.isEmpty()) {
            fields.addAll(List.of("Cache-Control", String.join(random.nextBoolean() ? "," : " , ", control)));
        }
        long asked = NOW - random.nextInt(20) * 1000L;
        String[] all = fields.toArray(new String[0]);
        ApacheFreshness theirs = new ApacheFreshness(asked, NOW, all);
        Fields own = Fields.of(all);
        Freshness ours = Freshness.of(200, own, Control.of(own), asked, NOW);
        String told = Arrays.toString(all);
        for (long later : new long[] {0, 1, 250, 5_000}) {
            assertEquals(theirs.age(NOW + later * 1000), ours.age(NOW + later * 1000), told);
        }
        assertEquals(Math.max(0, theirs.lifetime()), ours.lifetime(), told);
    }
}
