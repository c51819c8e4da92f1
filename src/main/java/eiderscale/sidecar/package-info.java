/** Puts one application's balancer together from its file, and keeps it to that file while it runs. */
package eiderscale.sidecar;
