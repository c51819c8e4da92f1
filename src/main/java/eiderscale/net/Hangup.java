package eiderscale.net;

import java.lang.reflect.Proxy;
import java.util.concurrent.CompletableFuture;

/**
 * SIGHUP, which means that the configuration was replaced. Without a handler it ends the JVM, so this is
 * installed before anything else; signals that come before there is anything to reload are kept until then.
 */
public final class Hangup {
    private final CompletableFuture<Runnable> reload = new CompletableFuture<>();

    private Hangup() {
    }

    /**
     * Signals are heard through {@code sun.misc.Signal} alone, the API of module jdk.unsupported. It is reached
     * by reflection, as the compiler's warning of it can be silenced by nothing else.
     */
    public static Hangup install() throws ReflectiveOperationException {
        Hangup hangup = new Hangup();
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object hears = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler},
                (proxy, method, arguments) -> {
                    // Its other methods are those of Object, which nobody calls.
                    hangup.reload.thenAccept(Runnable::run);
                    return null;
                });
        Object before = signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), hears);
        if (before == handler.getField("SIG_IGN").get(null)) {
            // As under nohup: the JVM leaves it ignored, and without a word an operator would wait for the new file.
            Counters.log("SIGHUP is ignored in this process, by whoever started it: the file will not be read again");
        }
        return hangup;
    }

    /** From now on each signal is handed on, on a thread of the JVM's own: {@code action} passes it to the loop. */
    public void serve(Runnable action) {
        reload.complete(action);
    }
}
