// Package xmpp is the protocol front end for XMPP clients (RFC 6120). The "to" attribute of a client's stream header
// names a domain, and with it the cluster; the core places the session on a server, and the stream's bytes are
// forwarded unchanged both ways. A session has one final answer: it is established with the server's result of the
// resource binding, or it ends with a stream error.
//
// Clients connect by TCP, with or without TLS, or by WebSocket (RFC 7395). Everything runs on the event loop's
// goroutine.
package xmpp
