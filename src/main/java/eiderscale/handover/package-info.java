/** From an old process to the new one that takes its place: locks and files in a folder that both have. */
package eiderscale.handover;
