/**
 * The life of clients' connections as decisions: who is let in, who is kept, who is closed when room runs short, in
 * which order and when that is safe; and the timers they need. No I/O, no clock, no threads: events carry the time.
 */
package eiderscale.connections;
