package eiderscale.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What one balancer is started with, whether a platform or an application's file tells it. {@code discovery}: null
 * where hosts come from elsewhere. {@code sockets}: descriptors that the process may hold. {@code heldBytes}: bytes
 * of values that open requests may hold together.
 */
public record Config(String name, List<InetSocketAddress> listeners, InetSocketAddress discovery, long seed,
                     int sockets, long heldBytes, Site site, Catalog known) {
}
