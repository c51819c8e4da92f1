/** Membership over UDP: datagrams of at most 256 bytes, in CBOR. It decides nothing. */
package eiderscale.datagrams;
