package eiderscale.meta;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderscale.Api.Lookup;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a host's answer says of how it came by the value. */
class LookupTest {
    @ParameterizedTest
    @CsvSource({"VA 5 O1 h1, HIT", "VA 5 O1 h0, MISS", "VA 5 O1 h0 Z, MISS", "VA 5 O1, UNTOLD", "VA 5 h2 O1, UNTOLD",
            "VA 5 O1 h, UNTOLD", "HD O1 c7, UNTOLD", "SERVER_ERROR failed Lutil=0.5, UNTOLD"})
    void lookups(String line, Lookup lookup) {
        assertEquals(lookup, MetaFrame.of(List.of(line.split(" ")), null).lookup());
    }
}
