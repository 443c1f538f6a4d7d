// Package tls puts TLS between a connection of the event loop and its handler. Handshakes run in goroutines of their
// own, since crypto/tls can't suspend one. Their number is bounded: a new one evicts the oldest, and only a few use the
// processor at a time. Once a handshake is done, its connection is read and written by the event loop alone, and no
// goroutine is kept for it.
package tls
