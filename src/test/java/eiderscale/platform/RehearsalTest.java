package eiderscale.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The build archives the classes that this loads; one that goes wrong would leave a start slow unseen. */
class RehearsalTest {
    @Test
    void everyCommandOfTheRehearsalIsAnswered() throws Exception {
        // Its loop would go on asking a discovery that is gone, every millisecond or two.
        assertEquals(55, Rehearsal.play(running -> running.loop().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly()));
    }
}
