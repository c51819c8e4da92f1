/**
 * Stand-ins on loopback for what a balancer deals with: cache hosts, their origin, discovery and clients. The demo,
 * the tests and the measurements share them.
 */
package eiderscale.standin;
