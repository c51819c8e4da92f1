/**
 * What a balancer is told: the model, the readers of the platform's JSON and of an application's file, the checks and
 * the writer. No I/O beyond reading and writing text that is handed in, no clock, no threads.
 */
package eiderscale.config;
