/**
 * What becomes of each request: its attempts, its deadlines, the generations of settings, hosts that drain, and the one final
 * answer. One state machine, driven by sockets, by virtual time and by a checker alike. No I/O, no clock, no threads.
 */
package eiderscale.ledger;
