package eiderscale.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** No child outlives the one that started it, and nobody else's process is ended. */
class KeeperTest {
    @TempDir
    Path folder;

    private Child sleeps(Keeper keeper) throws IOException {
        return new Child(List.of("sleep", "600"), Map.of(), folder, keeper);
    }

    @Test
    void whatIsKeptEndsWithThePipeAndWhatIsForgottenDoesNot() throws Exception {
        Keeper keeper = new Keeper();
        List<Child> kept = List.of(sleeps(keeper), sleeps(keeper), sleeps(keeper));
        Process other = new ProcessBuilder("sleep", "600").start();
        keeper.keep(other.pid());
        keeper.forget(other.pid());
        Child.signal("STOP", kept);
        keeper.close();
        for (Child child : kept) {
            assertTrue(ProcessHandle.of(child.pid()).map(ProcessHandle::onExit).map(end -> {
                try {
                    return end.get(20, TimeUnit.SECONDS) != null;
                } catch (Exception e) {
                    return false;
                }
            }).orElse(true), "a stopped child ends too");
        }
        assertTrue(other.isAlive());
        other.destroyForcibly().waitFor();
    }

    /** The rig itself is killed, which can close nothing in an orderly way. */
    @Test
    void aRigThatIsKilledTakesItsChildrenWithIt() throws Exception {
        Process rig = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xshare:auto",
                "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), Rig.class.getName()).start();
        long child = Long.parseLong(rig.inputReader().readLine());
        assertTrue(ProcessHandle.of(child).orElseThrow().isAlive());
        rig.destroyForcibly().waitFor();
        assertFalse(ProcessHandle.of(child).map(handle -> {
            try {
                handle.onExit().get(20, TimeUnit.SECONDS);
            } catch (Exception e) {
                return true;
            }
            return handle.isAlive();
        }).orElse(false));
    }

    /** Starts a child, tells its id, and waits for its own end. */
    public static final class Rig {
        private Rig() {
        }

        public static void main(String[] args) throws Exception {
            Child child = new Child(List.of("sleep", "600"), Map.of(), Path.of("/"), new Keeper());
            System.out.println(child.pid());
            Thread.sleep(600_000);
        }
    }
}
