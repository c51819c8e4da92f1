/** Who else is there: instances of one group find one another and agree on it well enough. Decisions without I/O, clocks or threads. */
package eiderscale.members;
