package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The build archives the classes that this loads; one that goes wrong would leave a start slow unseen. */
class RehearsalTest {
    @Test
    void everyCommandOfTheRehearsalIsAnswered() throws Exception {
        assertEquals(55, Rehearsal.play());
    }
}
