/**
 * HTTP caching as RFC 9111 says, with the parts of RFC 9110 that a cache needs: decisions alone, without I/O, clocks
 * or threads. Times are seconds since the epoch where they come from fields and nanoseconds where the caller says so.
 */
package eiderscale.http.cache;
