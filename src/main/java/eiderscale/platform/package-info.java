/** The balancer as the platform runs it: configured by its JSON file, with the meta protocol alone. */
package eiderscale.platform;
