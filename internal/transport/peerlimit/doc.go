// Package peerlimit is admission control for streams. It enforces limits for each peer, which is a network prefix, and
// for each domain, and knows networks that are denied or exempt from the limits of peers. It does no I/O, and callers
// pass the present time.
package peerlimit
