// Package websocket implements the server's side of WebSocket (RFC 6455) on the event loop: the handshake, frames,
// fragments, pings and the close. Nothing blocks: an incomplete frame is read once the rest has arrived. The handshake,
// frame headers and masking are implemented by gobwas/ws.
package websocket
