/** Open load on real sockets: what is asked when does not depend on what is answered. */
package eiderscale.lab.load;
