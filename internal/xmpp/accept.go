package xmpp

import (
	"time"

	"spurwinch/internal/loop"
	"spurwinch/internal/transport/peerlimit"
	"spurwinch/internal/transport/tls"

	"go.uber.org/zap"
)

// Security selects how the clients of a listener use TLS.
type Security int

const (
	// Plaintext means no TLS, because TLS ends in front of this node or everything runs on one machine.
	Plaintext Security = iota
	// StartTLS requires the client to start TLS within its stream (RFC 6120, section 5).
	StartTLS
	// DirectTLS uses TLS from the first byte of the connection (XEP-0368).
	DirectTLS
)

// ALPN protocol names (RFC 7301) that the front offers with direct TLS.
const (
	alpnXMPP = "xmpp-client"
	alpnHTTP = "http/1.1"
)

// clientConn is a client's connection: a connection of the event loop, or TLS or WebSocket on top of one.
type clientConn interface {
	Write(data []byte)
	End()
	Abort()
	Pause()
	Resume()
	Full() bool
	LeaveIdleQueue()
}

// UseKeys sets the TLS certificates. They may be replaced while the front runs.
func (f *Front) UseKeys(keys *tls.Keys) { f.keys = keys }

// Accept handles a new connection without TLS.
func (f *Front) Accept(conn *loop.Conn) loop.Handler { return f.accept(conn, Plaintext, false) }

// AcceptWith returns an accept function for a listener whose clients use TLS as selected by security.
func (f *Front) AcceptWith(security Security) func(*loop.Conn) loop.Handler {
	return func(conn *loop.Conn) loop.Handler { return f.accept(conn, security, false) }
}

// AcceptWebSocket returns an accept function for a listener whose clients use WebSocket (RFC 7395), without TLS or with
// direct TLS.
func (f *Front) AcceptWebSocket(security Security) func(*loop.Conn) loop.Handler {
	return func(conn *loop.Conn) loop.Handler { return f.accept(conn, security, true) }
}

// accept returns the handler of a new connection, or nil if the connection must be closed. It still accepts up to
// maxOverLimit connections beyond the limit, so that it can reject them with a stream error.
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
	if verdict != peerlimit.Admitted {
		// The rejection is sent without TLS even on a TLS listener, because a handshake would cost the work that the
		// limit saves.
		session.logRejection(verdict)
		session.failNext(resourceConstraint, verdict.String())
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
		tlsConn := session.wrapInTLS(now, session, alpnXMPP)
		session.client = tlsConn
		return tlsConn
	}
	return session
}

// acceptWebSocket puts WebSocket between the session and its socket, and with directTLS also TLS below WebSocket.
func (s *clientSession) acceptWebSocket(directTLS bool) loop.Handler {
	s.layered = true
	messages := s.newMessageConn()
	s.client = messages
	accounted := &accountedWebSocket{Conn: messages.webSocket, session: s}
	if directTLS {
		tlsConn := s.wrapInTLS(s.front.loop.Now(), accounted, alpnHTTP)
		messages.webSocket.SetTransport(tlsConn)
		return tlsConn
	}
	messages.webSocket.SetTransport(s.socket)
	return accounted
}

// reject ends the session of a client that is not admitted, with a stream error that names the reason.
func (s *clientSession) reject(verdict peerlimit.Verdict) {
	s.logRejection(verdict)
	s.fail(resourceConstraint, verdict.String())
}

func (s *clientSession) logRejection(verdict peerlimit.Verdict) {
	zap.L().Warn("client_rejected",
		zap.Stringer("peer", s.socket.Peer),
		zap.String("domain", s.domainName),
		zap.Stringer("cause", verdict))
}

// wrapInTLS returns the server side of TLS on the socket. The caller must make it the socket's handler; the given
// handler receives the decrypted data. The protocol is the one that the server side offers by ALPN.
func (s *clientSession) wrapInTLS(now time.Time, handler loop.Handler, protocol string) *tls.Conn {
	s.awaitsStartTLS = false
	s.startTLSReceived = false
	s.layered = true
	deadline := now.Add(s.front.limits.HandshakeTimeout)
	return s.front.handshakes.Server(s.socket, s.front.keys.Config(protocol), deadline, handler)
}
