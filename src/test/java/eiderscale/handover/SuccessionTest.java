package eiderscale.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The places of one process and the next, by the locks of a folder. Processes themselves stand in UpgradeTest. */
class SuccessionTest {
    private static final byte[] RECORD = "what is known".getBytes(StandardCharsets.US_ASCII);

    @TempDir
    Path folder;

    private Succession enter() throws InterruptedException {
        return Succession.enter(folder, "n1");
    }

    private static byte[] askWhile(Succession next, Succession first) throws Exception {
        CompletableFuture<byte[]> asked = CompletableFuture.supplyAsync(() -> {
            try {
                return next.ask(7, 20_000);
            } catch (InterruptedException e) {
                return null;
            }
        });
        while (!asked.isDone()) {
            first.look(() -> RECORD);
            Thread.sleep(1);
        }
        return asked.get();
    }

    @Test
    void aSuccessorIsToldAndStepsIntoThePlaceOfTheFirst() throws Exception {
        Succession first = enter();
        try (Succession next = enter()) {
            assertFalse(first.follows());
            assertTrue(next.follows());
            assertFalse(first.isFollowed(), "nobody has asked");
            assertArrayEquals(RECORD, askWhile(next, first));
            assertTrue(first.isFollowed());
            next.look(() -> RECORD);
            assertTrue(next.follows(), "the first still runs");
            first.close();
            next.look(() -> RECORD);
            assertFalse(next.follows());
            try (Succession third = enter()) {
                assertTrue(third.follows());
                assertArrayEquals(RECORD, askWhile(third, next));
                assertTrue(next.isFollowed());
            }
            assertFalse(next.isFollowed(), "a successor that has ended is none");
        }
    }

    /** Guards against two processes that know nothing of each other: a third one found both places taken, or the first one's free. */
    @Test
    void whoStartsWhileAnotherIsAboutToFollowWaitsForItsPlace() throws Exception {
        Succession first = enter();
        try (Succession next = enter()) {
            CompletableFuture<Succession> third = CompletableFuture.supplyAsync(() -> {
                try {
                    return enter();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            Thread.sleep(100);
            assertFalse(third.isDone(), "two others have their places");
            first.close();
            Thread.sleep(100);
            assertFalse(third.isDone(), "the place of the first is the next one's");
            next.look(() -> RECORD);
            try (Succession last = third.get(20, TimeUnit.SECONDS)) {
                assertTrue(last.follows());
                assertArrayEquals(RECORD, askWhile(last, next));
                assertTrue(next.isFollowed());
                next.leave();
                assertFalse(last.isLed(), "it is left to the one behind");
            }
        }
    }

    @Test
    void aFolderThatAllowsNoLocksGivesNoPlace() throws Exception {
        Path file = Files.writeString(folder.resolve("file"), "");
        try (Succession own = Succession.enter(file, "n1")) {
            assertFalse(own.hasPlace());
            assertFalse(own.follows());
            assertFalse(own.isFollowed());
        }
    }

    @Test
    void withoutAFolderEverybodyIsAlone() throws Exception {
        try (Succession alone = Succession.enter(null, "n1"); Succession other = Succession.enter(null, "n1")) {
            assertFalse(other.follows());
            assertNull(other.ask(1, 10));
            other.look(() -> RECORD);
            assertFalse(other.share(RECORD));
            assertNull(alone.shared());
        }
    }

    /** What a process left behind that was killed in the middle: a question, an answer to another, half a file. */
    @Test
    void whatAKilledProcessLeftIsNotBelieved() throws Exception {
        Files.writeString(folder.resolve("stairshelf-n1.told"), "7\nold");
        Files.writeString(folder.resolve("stairshelf-n1.told.1"), "7\nhal");
        Files.writeString(folder.resolve("stairshelf-n1.first"), "");
        try (Succession first = enter()) {
            assertFalse(first.follows());
            try (Succession next = enter()) {
                assertNull(next.ask(8, 50), "nobody answers: the number is another's");
            }
            Files.writeString(folder.resolve("stairshelf-n1.ask"), "9\n");
            first.look(() -> RECORD);
            assertFalse(first.isFollowed(), "who asked is gone");
        }
    }

    @Test
    void namesThatAreNoFileNamesStayInTheFolder() throws Exception {
        try (Succession own = Succession.enter(folder, "../n1/x")) {
            assertTrue(own.share(RECORD));
        }
        try (var files = Files.list(folder)) {
            assertEquals(3, files.count(), "both locks, and what is shared");
        }
    }

    @Test
    void eachHearsWhatTheOtherSharesOnce() throws Exception {
        try (Succession first = enter(); Succession next = enter()) {
            assertTrue(first.share(RECORD));
            assertNull(first.shared(), "its own");
            assertArrayEquals(RECORD, next.shared());
            assertNull(next.shared());
        }
    }
}
