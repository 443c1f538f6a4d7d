package xmpp

import (
	"errors"
	"io"
	"time"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/trace"
	"spurwinch/internal/transport/peerlimit"
)

// clientSession is one client's connection and the session that is set up on it.
type clientSession struct {
	front     *Front
	client    clientConn
	socket    *loop.Conn        // below TLS and WebSocket
	layered   bool              // TLS or WebSocket is between client and socket
	admission *peerlimit.Stream // its place among the streams that are limited

	received      scanner  // the client's stream
	stanza        xmlToken // the present stanza of the client: its local name and attributes
	domainName    string   // as the client wrote it in the stream header
	headerPending bool     // the client waits for a stream header
	bindID        string   // of the client's request to bind a resource

	awaitsStartTLS   bool // the front itself answers the stream, up to <starttls/>
	startTLSReceived bool

	request     *edge.Request // nil: the stream header has not been accepted yet
	attempt     *edge.Attempt
	upstream    *upstreamRequest
	replay      []byte // what the client sent, kept until no other server can take over
	committed   bool   // bytes of the server have reached the client
	established bool
	over        bool
	migrating   bool // ends with the server's present stanza

	cancelTimer    func() // of the stream header's deadline, or the migration's; nil: none runs
	headerDeadline time.Time

	resumption
}

// OnConnect does nothing: the connection was accepted, not dialled.
func (s *clientSession) OnConnect() {}

// OnData takes bytes of the client. Whole tokens are forwarded to the server as they were received.
func (s *clientSession) OnData(data []byte) {
	if s.over {
		return
	}
	var accepted []byte
	rest, bad := s.received.feed(data, func(token xmlToken) bool {
		if bad := s.inspect(token); bad != noCondition {
			s.fail(bad, "")
		}
		if !s.over {
			accepted = s.collect(accepted, token)
		}
		return !s.over && !s.startTLSReceived
	})
	if s.over {
		return
	}
	if s.startTLSReceived {
		s.startTLS(rest)
		return
	}
	if !s.awaitsStartTLS { // before TLS nothing is for a server
		s.forward(accepted)
	}
	switch {
	case bad != noCondition:
		s.fail(bad, "")
	case s.received.ended && !s.established && !s.over:
		s.abandon()
	}
}

// collect appends a token to the bytes that are to be forwarded, and returns what of them is still to be. The client's
// first authentication is held back to its end, and then settles the server.
func (s *clientSession) collect(accepted []byte, token xmlToken) []byte {
	if !s.authenticating {
		return append(accepted, token.raw...)
	}
	s.authentication = append(s.authentication, token.raw...)
	if !token.endsStanza && len(s.authentication) <= maxAuthentication {
		return accepted
	}
	s.forward(accepted)
	if !s.over {
		s.authenticated()
	}
	return nil
}

// forward sends the client's bytes to the server, and keeps them while another server may yet need them.
func (s *clientSession) forward(data []byte) {
	if len(data) == 0 {
		return
	}
	if !s.committed {
		s.replay = append(s.replay, data...)
		if len(s.replay) > s.front.limits.MaxReplayBytes {
			s.fail(policyViolation, "too much was sent before the host's answer")
			return
		}
	}
	if s.upstream != nil && s.upstream.begun && !s.upstream.over {
		s.upstream.conn.Write(data)
		if s.upstream.conn.Full() {
			s.client.Pause()
		}
	}
}

// Attempt starts an upstream request for the core.
func (s *clientSession) Attempt(attempt *edge.Attempt) edge.UpstreamRequest {
	s.attempt = attempt
	s.upstream = &upstreamRequest{session: s, attempt: attempt, received: s.front.newScanner()}
	s.upstream.conn = s.front.loop.Dial(attempt.Server.Addr, attempt.ConnectBy(), s.upstream)
	return s.upstream
}

// Migrate ends an established session between two stanzas, at the latest by the deadline, so that its client connects
// again.
func (s *clientSession) Migrate(deadline time.Time) {
	if s.over {
		return
	}
	if s.upstream != nil && !s.upstream.received.betweenStanzas() {
		s.migrating = true
		s.cancelTimer = s.front.loop.At(deadline, s.migrate)
		return
	}
	s.migrate()
}

func (s *clientSession) migrate() {
	if !s.over {
		s.fail(systemShutdown, "connect again")
	}
}

// Evict answers a client whose place is needed for another connection, before its stream header has named a domain.
func (s *clientSession) Evict() { s.fail(resourceConstraint, "connect again") }

// awaitHeader ends the session unless its stream header is received by a deadline.
func (s *clientSession) awaitHeader(deadline time.Time) {
	s.headerDeadline = deadline
	s.cancelTimer = s.front.loop.At(deadline, func() {
		s.cancelTimer = nil
		s.socket.ReadAvailable() // the header may be in the kernel's buffer
		if s.cancelTimer == nil && s.request == nil {
			s.fail(connectionTimeout, "no stream header came in time")
		}
	})
}

func (s *clientSession) stopTimer() {
	if s.cancelTimer != nil {
		s.cancelTimer()
		s.cancelTimer = nil
	}
}

// abandon ends a session whose client closed its stream before the session was established: nobody waits for an answer
// any more, and no other server may be tried for it.
func (s *clientSession) abandon() {
	s.front.Answers.Abandoned++
	closing := ""
	if !s.headerPending {
		closing = streamEnd(s.sentPrefix())
	}
	if s.request != nil {
		s.request.ClientGone()
	}
	s.end(closing, trace.ClientEnded)
}

// end writes the last markup to the client and ends both sides.
func (s *clientSession) end(markup string, reason trace.Close) {
	isResumable := s.key.ID != ""
	s.finish(reason)
	s.client.Write([]byte(markup))
	s.client.End()
	if s.upstream != nil {
		// The end of the stream would end a resumable session at its server, but its client may connect elsewhere.
		s.upstream.finishStream(!isResumable)
	}
	if s.request != nil {
		s.request.ClientBrokeProtocol()
	}
}

// finish marks the session as over and frees what it has.
func (s *clientSession) finish(reason trace.Close) {
	s.over = true
	s.recordClose(reason)
	s.front.disconnected(s, s.received.ended)
	s.admission.Close()
	s.replay = nil
	s.greeting = nil
	s.authentication = nil
	s.stopTimer()
}

// recordClose records why the client's connection ends.
func (s *clientSession) recordClose(reason trace.Close) {
	if s.front.Trace == nil {
		return
	}
	requestID := ""
	if s.request != nil {
		requestID = string(s.request.ID)
	}
	s.front.Trace.Closed(requestID, reason)
}

// OnEnd ends the server's side the way the client ended its own.
func (s *clientSession) OnEnd(err error) {
	if s.over {
		return
	}
	if !s.established {
		s.front.Answers.Abandoned++
	}
	orderly := errors.Is(err, io.EOF)
	reason := trace.ClientReset
	if orderly {
		reason = trace.ClientEnded
	}
	s.finish(reason)
	if s.upstream != nil {
		s.upstream.finish(!orderly)
	}
	if s.request != nil {
		s.request.ClientGone()
	}
	if orderly {
		s.client.End()
	}
}

// OnDrained resumes reading from the server.
func (s *clientSession) OnDrained() {
	if s.upstream != nil && !s.over {
		s.upstream.conn.Resume()
	}
}

// sentPrefix returns the prefix of the stream's namespace in the stream header that the client has been sent: its
// server's, or this node's.
func (s *clientSession) sentPrefix() string {
	if s.upstream != nil && s.upstream.received.prefix != "" {
		return s.upstream.received.prefix
	}
	return "stream"
}

func streamEnd(prefix string) string { return "</" + prefix + ":stream>" }
