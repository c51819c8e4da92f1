package eiderscale.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What one balancer is started with, whether a platform or an application's file tells it. {@code discovery}: null
 * where hosts come from elsewhere. {@code heldBytes}: bytes
 * of values that open requests may hold together. {@code control}: where operators call; null where they do not. {@code plan}: how the descriptors are dealt out.
 */
public record Config(String name, List<InetSocketAddress> listeners, InetSocketAddress discovery, long seed,
                     DescriptorPlan plan, ClientLimits clients, long heldBytes, Site site, Catalog known, InetSocketAddress control) {
}
