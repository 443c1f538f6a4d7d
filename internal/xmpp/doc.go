// Package xmpp is the protocol front end for XMPP clients (RFC 6120). The "to" attribute of a client's stream header
// names a domain, and the domain selects the cluster. The core places the session on a server, and the front forwards
// the stream's bytes unchanged both ways. A session has exactly one final answer: either the server's result of the
// resource binding, which establishes the session, or a stream error, which ends it.
//
// Clients connect over TCP, with or without TLS, or over WebSocket (RFC 7395). The whole package runs on the event
// loop's goroutine.
package xmpp
