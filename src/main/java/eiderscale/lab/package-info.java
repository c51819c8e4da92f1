/**
 * Whole fleets in virtual time: the real decisions, driven through the interfaces by which sockets drive them, in a world of
 * emulated hosts, ledger, network, discovery and clients. One thread a run, one seed; no I/O and no clock.
 */
package eiderscale.lab;
