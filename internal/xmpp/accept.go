package xmpp

import (
	"time"

	"spurwinch/internal/loop"
	"spurwinch/internal/transport/peerlimit"
	"spurwinch/internal/transport/tls"

	"go.uber.org/zap"
)

// Security is how the clients of a listener use TLS.
type Security int

const (
	// Plaintext is no TLS: it ends before this node, or all run on one machine.
	Plaintext Security = iota
	// StartTLS requires the client to start TLS within its stream (RFC 6120, section 5).
	StartTLS
	// DirectTLS has TLS from the connection's first byte on (XEP-0368).
	DirectTLS
)

// ALPN names (RFC 7301) of direct TLS.
const (
	xmppProtocol = "xmpp-client"
	httpProtocol = "http/1.1"
)

// clientConn is a client's connection: one of the loop's, or TLS or WebSocket over one.
type clientConn interface {
	Write(data []byte)
	End()
	Abort()
	Pause()
	Resume()
	Full() bool
	LeaveIdleQueue()
}

// UseKeys sets the TLS certificates, which may be replaced while the front runs.
func (f *Front) UseKeys(keys *tls.Keys) { f.keys = keys }

// Accept handles a new connection without TLS.
func (f *Front) Accept(conn *loop.Conn) loop.Handler { return f.accept(conn, Plaintext, false) }

// AcceptWith returns Accept for a listener whose clients use TLS.
func (f *Front) AcceptWith(security Security) func(*loop.Conn) loop.Handler {
	return func(conn *loop.Conn) loop.Handler { return f.accept(conn, security, false) }
}

// AcceptWebSocket returns Accept for a listener whose clients use WebSocket (RFC 7395), without TLS or with direct TLS.
func (f *Front) AcceptWebSocket(security Security) func(*loop.Conn) loop.Handler {
	return func(conn *loop.Conn) loop.Handler { return f.accept(conn, security, true) }
}

// accept returns the handler of a new connection; nil: it is closed. Some connections beyond the limit are still
// accepted, to reject them with a stream error.
func (f *Front) accept(conn *loop.Conn, security Security, webSocket bool) loop.Handler {
	if f.loop.Open() > f.limits.MaxConnections+maxOverLimit {
		return nil
	}
	now := f.loop.Now()
	stream, verdict := f.admission.Admit(now, conn.Peer)
	if verdict == peerlimit.Denied {
		return nil
	}
	f.Answers.Sessions++
	session := &clientSession{
		front: f, client: conn, socket: conn, admission: stream, received: f.newScanner(), headerPending: true,
		awaitsStartTLS: security == StartTLS,
	}
	session.awaitHeader(now.Add(f.limits.HeaderTimeout))
	if verdict != peerlimit.Admitted { // without TLS also where it is due: a handshake would cost what the limit saves
		f.loop.At(now, func() { session.reject(verdict) })
		return session
	}
	if security == DirectTLS {
		session.stopTimer()
		session.awaitHeader(now.Add(f.limits.HandshakeTimeout + f.limits.HeaderTimeout))
	}
	if webSocket {
		return session.acceptWebSocket(security == DirectTLS)
	}
	if security == DirectTLS {
		secured := session.secure(now, session, xmppProtocol)
		session.client = secured
		return secured
	}
	return session
}

// acceptWebSocket puts WebSocket, and TLS below it if it is direct, between the session and its socket.
func (s *clientSession) acceptWebSocket(directTLS bool) loop.Handler {
	s.layered = true
	messages := s.newMessageConn()
	s.client = messages
	if directTLS {
		secured := s.secure(s.front.loop.Now(), messages.webSocket, httpProtocol)
		messages.webSocket.SetTransport(secured)
		return secured
	}
	messages.webSocket.SetTransport(s.socket)
	return messages.webSocket
}

// reject tells a client that it is not admitted, and why.
func (s *clientSession) reject(verdict peerlimit.Verdict) {
	zap.L().Warn("client_rejected",
		zap.Stringer("peer", s.socket.Peer),
		zap.String("domain", s.domainName),
		zap.Stringer("cause", verdict))
	s.fail(resourceConstraint, verdict.String())
}

// secure returns the server's side of TLS on the socket, which is the socket's handler from now on. Its own handler
// gets the plain text. The protocol is the one offered by ALPN.
func (s *clientSession) secure(now time.Time, handler loop.Handler, protocol string) *tls.Conn {
	s.awaitsStartTLS = false
	s.startTLSReceived = false
	s.layered = true
	deadline := now.Add(s.front.limits.HandshakeTimeout)
	return s.front.handshakes.Server(s.socket, s.front.keys.Config(protocol), deadline, handler)
}
