/** HTTP/1.1 on the same core as the meta protocol: clients, hosts, and the cache between them. */
package eiderscale.http;
