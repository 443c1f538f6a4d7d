// Package tls adds TLS between a connection of the event loop and its handler. Each handshake runs in its own
// goroutine, since crypto/tls can't suspend a handshake. The number of handshakes is bounded: a new one above the limit
// evicts the oldest, and only a few use the processor at a time. After the handshake only the event loop reads and
// writes the connection, and no goroutine is kept for it.
package tls
