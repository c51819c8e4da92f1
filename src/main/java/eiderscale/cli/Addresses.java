package eiderscale.cli;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses on the command line: on loopback, and literal, as a name would be looked up. */
final class Addresses {
    private static final int MOST_PORT = 65_535;

    private Addresses() {
    }

    /** Null if it is no ADDRESS:PORT of 127.0.0.0/8. */
    static InetSocketAddress loopback(String text) {
        int colon = text.lastIndexOf(':');
        if (text.matches("127(\\.[0-9]{1,3}){3}:[0-9]{1,5}") && Integer.parseInt(text.substring(colon + 1)) <= MOST_PORT) {
            try {
                return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                        Integer.parseInt(text.substring(colon + 1)));
            } catch (UnknownHostException e) {
                return null;
            }
        }
        return null;
    }
}
