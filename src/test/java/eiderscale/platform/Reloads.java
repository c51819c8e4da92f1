package eiderscale.platform;

import eiderscale.net.Node;

/** What SIGHUP does, for tests that have a node of their own. */
public final class Reloads {
    private Reloads() {
    }

    /** Reads the platform's file again. */
    public static void reload(Node node, String path) {
        Main.reload(node, path);
    }
}
