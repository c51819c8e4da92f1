/** What one balancer keeps on disk: a store on H2's MVStore with a thread of its own. It decides nothing. */
package eiderscale.store;
