/** How much of long values may be on its way at a time, and whose turn it is. No I/O, no clock, no threads. */
package eiderscale.values;
