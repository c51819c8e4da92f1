/** Zones that are lost and return, as decisions: no I/O, no clock, no threads. Nothing consults them yet. */
package eiderscale.zones;
