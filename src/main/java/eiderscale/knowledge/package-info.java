/** What a balancer knows, as it is handed on: one record, versioned and checked. No I/O, no clock, no threads. */
package eiderscale.knowledge;
