// Package websocket is the server's side of WebSocket (RFC 6455) on the event loop: the handshake, frames, fragments,
// pings and the close. Nothing blocks: what has not been received is read later. The handshake, headers and masks are
// gobwas/ws's.
package websocket
