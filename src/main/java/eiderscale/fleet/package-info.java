/**
 * Fleets of real processes with faults between them: balancers as they are deployed, stand-in hosts, discovery and clients,
 * by the laboratory's experiment files and judged by its auditor. Everything is on loopback and ends with the process that
 * started it.
 */
package eiderscale.fleet;
