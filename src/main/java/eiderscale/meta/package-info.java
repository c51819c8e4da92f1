/**
 * The meta protocol of memcached (1.6; doc/protocol.txt, "Meta Commands"): what clients say, and what is said to hosts
 * of either kind.
 */
package eiderscale.meta;
