package eiderscale.net;

/**
 * What a balancer has counted since its start. Each request that was taken is served, refused or failed, or its
 * client left ({@code gone}), or it is open still. {@code copies}: attempts sent beside another one.
 */
public record Totals(long taken, long served, long refused, long failed, long gone, long copies, long malformed) {
}
