/** HTTP/1.1 on the same core as the meta protocol. So far: the store of cached responses. */
package eiderscale.http;
