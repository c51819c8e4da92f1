package eiderscale.connections;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StaleAgesTest {
    private static final long MS = 1_000_000L;

    @Test
    void oneResetIsEnoughForUnsafeRequestsAndManyAreForSafeOnes() {
        StaleAges ages = new StaleAges();
        assertTrue(ages.mayUse(0, 300 * MS, true));
        ages.used(0, 150 * MS, true, MS);
        assertFalse(ages.mayUse(0, 150 * MS, true));
        assertFalse(ages.mayUse(0, 5_000 * MS, true), "an older one is never safer");
        assertTrue(ages.mayUse(0, 90 * MS, true), "a younger one is");
        assertTrue(ages.mayUse(0, 150 * MS, false));
        for (int i = 0; i < 10; i++) {
            ages.used(0, 150 * MS, true, MS);
        }
        assertFalse(ages.mayUse(0, 150 * MS, false));
    }

    @Test
    void goodUsesOutweighSingleResets() {
        StaleAges ages = new StaleAges();
        ages.used(0, 150 * MS, true, MS);
        for (int i = 0; i < 100; i++) {
            ages.used(0, 150 * MS, false, 20 * MS);
        }
        assertTrue(ages.mayUse(0, 150 * MS, true));
    }

    @Test
    void aResetThatComesLateIsNoSignOfAge() {
        StaleAges ages = new StaleAges();
        for (int i = 0; i < 100; i++) {
            ages.used(0, 150 * MS, true, 60 * MS);
        }
        assertTrue(ages.mayUse(0, 150 * MS, true));
    }

    @Test
    void whatIsLearntIsForgottenByAndBy() {
        StaleAges ages = new StaleAges();
        for (int i = 0; i < 10; i++) {
            ages.used(0, 150 * MS, true, MS);
        }
        assertFalse(ages.mayUse(31_000 * MS, 150 * MS, false));
        assertTrue(ages.mayUse(120_000 * MS, 150 * MS, false));
        assertFalse(ages.mayUse(120_000 * MS, 150 * MS, true));
        assertTrue(ages.mayUse(600_000 * MS, 150 * MS, true));
        ages.used(600_000 * MS, 10 * MS, true, MS);
        assertFalse(ages.mayUse(600_000 * MS, 10 * MS, true), "and learnt again");
    }
}
