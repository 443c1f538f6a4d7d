// Package peerlimit is admission control for streams: limits for each peer, which is a network prefix, and for each
// domain, and networks that are denied or exempt from the limits of peers. It does no I/O, and the time is a value.
package peerlimit
