/** Hosts that operators have taken out of service, by hand. No I/O, no clock, no threads. */
package eiderscale.maintenance;
