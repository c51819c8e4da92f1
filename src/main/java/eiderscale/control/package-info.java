/** Where operators call: one line to a connection, one line back. */
package eiderscale.control;
