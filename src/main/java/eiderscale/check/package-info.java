/**
 * Plays every order of events of a small world against the rules, on the ledger and the module that serve. No I/O, no clock,
 * no threads.
 */
package eiderscale.check;
