package downstream

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"spurwinch/internal/edge"
	"spurwinch/internal/invariant"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"
	"spurwinch/internal/platform/upstream"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

const (
	// firstLineTimeout is for the OPEN line, from the connection on, whatever else was sent: a client that sends
	// nothing that can be served gets an error or an end within 3 s.
	firstLineTimeout     = 2500 * time.Millisecond
	readyTimeout         = 30 * time.Second // for PONG, at a node that knows no servers yet
	connectionLimitRetry = time.Second      // the retry after of a request that the connection limit rejects
)

// What is wrong with the bytes that a client sends before its connection is established.
var (
	errNoLine      = errors.New("no line in time")
	errLineTooLong = errors.New("a first line that is too long")
	errSecondLine  = errors.New("more than one line at once")
	errBeforeReply = errors.New("more before its answer")
	errLineFormat  = errors.New("a line that ends without CRLF or holds bytes that are not printable")
	errUnfinished  = errors.New("half a line and the end")
)

// Lines that are written to clients.
var (
	errorLine       = []byte("ERR\r\n")
	pongLine        = []byte("PONG\r\n")
	plainBusyLine   = []byte("BUSY\r\n")
	moveLine        = []byte("MOVE\r\n")
	midLineMoveLine = []byte("\r\nMOVE\r\n") // ends the server's line first
)

// session is one client's connection: it waits for the first line, then for the reply, then it is established.
type session struct {
	front             *Front
	conn              *loop.Conn
	firstLineReader   line.Reader
	openLine          []byte // as it came; nil once the connection is established
	pinged            bool
	request           *edge.Request
	server            *upstream.Request
	established       bool
	closed            bool
	serverLines       line.Scanner // of the bytes forwarded to the client
	migrating         bool         // MOVE is due at the end of the present line
	stopTimer         func()
	firstLineDeadline time.Time
}

// awaitFirstLine ends the connection unless its request comes by a time.
func (s *session) awaitFirstLine(deadline time.Time) {
	s.firstLineDeadline = deadline
	s.stopTimer = s.front.loop.At(deadline, s.onFirstLineTimeout)
}

// onFirstLineTimeout ends a connection that has sent no request in time.
func (s *session) onFirstLineTimeout() {
	s.stopTimer = nil
	s.conn.ReadAvailable() // its line may lie in the socket
	switch {
	case s.closed || s.request != nil || s.stopTimer != nil:
	case s.pinged:
		s.drop(trace.ClientTimedOut)
	default:
		s.malformed(errNoLine)
	}
}

// Evict ends a connection without a request whose descriptor is needed for another client.
func (s *session) Evict() {
	cause := trace.ClientEvicted
	if s.front.core.Draining() {
		cause = trace.NodeStopping
	}
	if s.pinged {
		s.drop(cause)
	} else {
		s.finish(busyLine(0), invariant.ByNode, cause)
	}
}

// OnConnect is for connections dialled; a client's is up from the start.
func (s *session) OnConnect() {}

// OnData takes the client's bytes. Before its connection is established a client sends one line and waits: more than
// that is no request, and must not reach a server behind a line that looks sound.
func (s *session) OnData(data []byte) {
	switch {
	case s.closed:
	case s.established:
		s.forwardToServer(data)
	case s.request != nil:
		s.malformed(errBeforeReply)
	default:
		text, rest, err := s.firstLineReader.Next(data)
		switch {
		case err != nil:
			s.malformed(errLineTooLong)
		case text != nil && len(rest) > 0:
			s.malformed(errSecondLine)
		case text != nil:
			s.onFirstLine(text)
		}
	}
}

// onFirstLine takes a PING or an OPEN line.
func (s *session) onFirstLine(raw []byte) {
	text := line.Trim(raw)
	if !bytes.HasSuffix(raw, []byte("\r\n")) || !line.Printable(text) {
		s.malformed(errLineFormat)
		return
	}
	if string(text) == "PING" {
		s.onPing()
		return
	}
	spec, err := s.front.parseOpenLine(text)
	if err != nil {
		s.malformed(err)
		return
	}
	s.cancelTimer()
	s.openLine = bytes.Clone(raw)
	s.conn.LeaveIdleQueue()
	if !s.front.ensureCapacity() {
		// Guards against running out of descriptors half way: a request needs one more for its server.
		zap.L().Warn("connection_limit_refused",
			zap.String("front", "platform"), zap.Int("open_connections", s.front.loop.Open()))
		s.front.core.Reject(spec, s, connectionLimitRetry)
		return
	}
	s.request = s.front.core.Open(spec, s)
}

// onPing replies to a PING, at once or when the node is ready.
func (s *session) onPing() {
	s.pinged = true
	if s.front.ready {
		s.sendPong()
		return
	}
	if len(s.front.awaitingReady) < maxAwaitingReady {
		s.cancelTimer()
		s.stopTimer = s.front.loop.At(s.front.loop.Now().Add(readyTimeout), func() { s.drop(trace.ClientTimedOut) })
		s.front.awaitingReady = append(s.front.awaitingReady, s)
	}
}

// sendPong replies to a PING.
func (s *session) sendPong() {
	if !s.closed {
		s.conn.Write(pongLine)
	}
}

// malformed replies to what can't be served. A request that the client has in flight is cancelled.
func (s *session) malformed(cause error) {
	zap.L().Warn("client_line_unreadable", zap.String("sent", cause.Error()))
	s.finish(errorLine, invariant.ByClient, trace.ClientBrokeProtocol)
	if s.request != nil {
		s.request.ClientBrokeProtocol()
	}
}

// busyLine is a BUSY line, with the time to retry after in milliseconds where there is one.
func busyLine(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return plainBusyLine
	}
	return []byte("BUSY " + strconv.FormatInt(max(1, retryAfter.Milliseconds()), 10) + "\r\n")
}

// finish writes a last line and ends the connection.
func (s *session) finish(lastLine []byte, by invariant.Ending, cause trace.Close) {
	if s.closed {
		return
	}
	s.close(by, cause)
	s.conn.Write(lastLine)
	s.conn.End()
}

// drop ends a connection whose client has no reply coming.
func (s *session) drop(cause trace.Close) {
	s.close(invariant.ByClient, cause)
	s.conn.End()
}

// close ends the session, and has the invariant monitor check that no reply is outstanding.
func (s *session) close(by invariant.Ending, cause trace.Close) {
	if s.request != nil {
		s.request.ConnectionClosed(by, cause)
	} else {
		s.front.core.ConnectionClosedUnused(cause)
	}
	s.markClosed()
}

// markClosed ends all that would still call the session.
func (s *session) markClosed() {
	s.closed = true
	s.cancelTimer()
	s.openLine = nil
}

func (s *session) cancelTimer() {
	if s.stopTimer != nil {
		s.stopTimer()
		s.stopTimer = nil
	}
}

// Attempt starts an upstream request for the core.
func (s *session) Attempt(attempt *edge.Attempt) edge.UpstreamRequest {
	s.server = s.front.upstream.Attempt(attempt, s.openLine, s)
	return s.server
}

// LocalReply writes the node's own reply.
func (s *session) LocalReply(reply edge.LocalReply) {
	lastLine := errorLine
	if reply.Rejected {
		lastLine = busyLine(reply.RetryAfter)
	}
	s.finish(lastLine, invariant.ByNode, trace.NodeAnswered)
}

// OnEnd ends the server's side as the client did its own.
func (s *session) OnEnd(err error) {
	if s.closed {
		return
	}
	reset := !errors.Is(err, io.EOF)
	if !reset && !s.established && s.firstLineReader.MidLine() {
		s.malformed(errUnfinished)
		return
	}
	cause := trace.ClientEnded
	if reset {
		cause = trace.ClientReset
	}
	s.close(invariant.ByClient, cause)
	if s.established {
		s.server.End(reset)
	}
	if s.request != nil {
		s.request.ClientGone()
	}
	if !reset {
		s.conn.End()
	}
}
