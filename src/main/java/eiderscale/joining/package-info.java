/** Who waits for whose fetch, as decisions: no I/O, no clock, no protocol. */
package eiderscale.joining;
