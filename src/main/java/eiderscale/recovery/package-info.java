/** How a balancer comes back: when it stood still, what it waits for, and how it begins again. Decisions without I/O, clocks or threads. */
package eiderscale.recovery;
