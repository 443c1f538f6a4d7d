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

// clientSession is a client's connection together with the session that is set up on it.
type clientSession struct {
	front     *Front
	client    clientConn
	socket    *loop.Conn        // the connection below TLS and WebSocket
	layered   bool              // TLS or WebSocket is between client and socket
	admission *peerlimit.Stream // the stream's entry in admission control

	received      scanner  // the client's stream
	stanza        xmlToken // local name and attributes of the client's current stanza
	domainName    string   // as the client wrote it in the stream header
	headerPending bool     // the client is waiting for a stream header
	bindID        string   // identifier of the client's request to bind a resource

	awaitsStartTLS   bool // the front itself answers the stream until <starttls/>
	startTLSReceived bool

	request     *edge.Request // nil until the stream header is accepted
	attempt     *edge.Attempt
	upstream    *upstreamRequest
	replay      []byte // the client's bytes, kept while another server can still take over
	committed   bool   // bytes of the server have reached the client
	established bool
	finished    bool
	migrating   bool // the session ends after the server's current stanza
	detached    bool // the sockets are offered to another process, which may already use them

	pendingFailure *streamFailure // the stream error that ends the session next; nil: none

	cancelTimer    func() // cancels the timer of the stream header or the migration; nil if none runs
	headerDeadline time.Time

	resumption
}

// OnConnect does nothing, because the connection was accepted, not dialled.
func (s *clientSession) OnConnect() {}

// OnData handles bytes of the client. It forwards whole tokens to the server as they were received.
func (s *clientSession) OnData(data []byte) {
	s.handleData(data)
	s.accountBuffers()
}

func (s *clientSession) handleData(data []byte) {
	if s.finished {
		return
	}
	var accepted []byte
	rest, errorCondition := s.received.feed(data, func(token xmlToken) bool {
		if errorCondition := s.inspect(token); errorCondition != noCondition {
			s.fail(errorCondition, "")
		}
		if !s.finished {
			accepted = s.collect(accepted, token)
		}
		return !s.finished && !s.startTLSReceived
	})
	if s.finished {
		return
	}
	if s.startTLSReceived {
		s.startTLS(rest)
		return
	}
	if !s.awaitsStartTLS { // no bytes before TLS are meant for a server
		s.forward(accepted)
	}
	switch {
	case errorCondition != noCondition:
		s.fail(errorCondition, "")
	case s.received.ended && !s.established && !s.finished:
		s.abandon()
	}
}

// collect appends a token to the accepted bytes and returns those that are still to be forwarded. It holds back the
// client's first authentication and its request to resume a session until they are complete, because they determine the
// server.
func (s *clientSession) collect(accepted []byte, token xmlToken) []byte {
	switch {
	case s.holdsBackResumption():
		s.forward(accepted)
		if !s.finished && s.holdsBackResumption() {
			s.collectResumption(token)
		}
		return nil
	case !s.authenticating:
		return append(accepted, token.raw...)
	}
	s.authentication = append(s.authentication, token.raw...)
	if !token.endsStanza && len(s.authentication) <= maxAuthenticationBytes {
		return accepted
	}
	s.forward(accepted)
	if !s.finished {
		s.forwardAuthentication()
	}
	return nil
}

// forward sends the client's bytes to the server, and keeps a copy while another server may still need them.
func (s *clientSession) forward(data []byte) {
	if len(data) == 0 {
		return
	}
	if s.repeatsLogin() {
		s.holdBackForLogin(data)
		return
	}
	s.recordRestart(data)
	if !s.committed {
		s.replay = append(s.replay, data...)
		if len(s.replay) > s.front.limits.MaxReplayBytes {
			s.fail(policyViolation, "too much was sent before the host's answer")
			return
		}
	}
	if s.upstream != nil && s.upstream.begun && !s.upstream.finished {
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
	if s.repeatsLogin() {
		s.upstream.loginStep = awaitingSuccess
	}
	s.upstream.conn = s.front.loop.Dial(attempt.Server.Addr, attempt.ConnectBy(), s.upstream)
	return s.upstream
}

// Migrate ends an established session between two stanzas so that its client connects again. It ends the session by the
// deadline at the latest.
func (s *clientSession) Migrate(deadline time.Time) {
	if s.finished {
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
	if !s.finished {
		s.fail(systemShutdown, "connect again")
	}
}

// Evict ends the session with a stream error to make room for another connection. It is called before the client's
// stream header has named a domain.
func (s *clientSession) Evict() { s.fail(resourceConstraint, "connect again") }

// awaitHeader ends the session unless the client's stream header is received by the deadline.
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

// abandon ends a session whose client closed its stream before the session was established. The client no longer waits
// for an answer, so the core must not try another server.
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

// end writes the given markup to the client as the last bytes and ends both sides.
func (s *clientSession) end(markup string, reason trace.CloseReason) {
	isResumable := s.key.ID != ""
	s.finish(reason)
	s.client.Write([]byte(markup))
	s.client.End()
	if s.upstream != nil {
		// Closing the stream would end a resumable session at its server, but its client may still resume it on another
		// connection.
		s.upstream.finishStream(!isResumable)
	}
	if s.request != nil {
		s.request.ClientBrokeProtocol()
	}
}

// finish marks the session as finished and frees its resources.
func (s *clientSession) finish(reason trace.CloseReason) {
	s.finished = true
	s.front.buffers.set(s, 0)
	s.recordClose(reason)
	s.front.recordDisconnected(s, s.received.ended)
	s.admission.Close()
	s.replay = nil
	s.openingBytes = nil
	s.authentication = nil
	s.login = nil
	s.stopTimer()
}

// recordClose records why the client's connection ends.
func (s *clientSession) recordClose(reason trace.CloseReason) {
	if s.front.Trace == nil {
		return
	}
	requestID := ""
	if s.request != nil {
		requestID = string(s.request.ID)
	}
	s.front.Trace.Closed(requestID, reason)
}

// OnEnd ends the server's side in the same way as the client's side, orderly or by a reset.
func (s *clientSession) OnEnd(err error) {
	if s.finished {
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

// OnDrained resumes reading from the server once all bytes for the client are written.
func (s *clientSession) OnDrained() {
	if s.upstream != nil && !s.finished {
		s.upstream.conn.Resume()
	}
}

// sentPrefix returns the prefix of the stream's namespace in the stream header that the client has received, either
// from its server or from this node.
func (s *clientSession) sentPrefix() string {
	if s.upstream != nil && s.upstream.received.prefix != "" {
		return s.upstream.received.prefix
	}
	return "stream"
}

func streamEnd(prefix string) string { return "</" + prefix + ":stream>" }
