package downstream

import (
	"bytes"
	"time"

	"spurwinch/internal/invariant"
	"spurwinch/internal/platform/line"
	"spurwinch/internal/trace"

	"go.uber.org/zap"
)

// Established forwards the server's UP line; from here on the server owns the connection.
func (s *session) Established(upLine []byte) {
	s.established = true
	s.conn.Write(upLine)
	s.openLine = nil
	s.throttle()
}

// forwardToServer forwards the client's bytes.
func (s *session) forwardToServer(data []byte) {
	if err := s.server.Write(data); err != nil {
		zap.L().Warn("client_line_too_long")
		s.server.End(false)
		s.drop(trace.ClientBrokeProtocol)
		s.request.ClientGone()
		return
	}
	s.throttle()
}

// CheckClient looks for a client that has left, whose end may lie in the socket.
func (s *session) CheckClient() { s.conn.ReadAvailable() }

// Served forwards the reply of a request that its server served to the end without a connection.
func (s *session) Served(reply []byte) { s.finish(reply, invariant.ByServer, trace.ServerServed) }

// Forward forwards the server's bytes to the client.
func (s *session) Forward(data []byte) {
	if s.closed {
		return
	}
	if s.migrating {
		// Only the rest of the present line: MOVE goes between two lines.
		if end := bytes.IndexByte(data, '\n'); end >= 0 {
			s.conn.Write(data[:end+1])
			s.serverLines = line.Scanner{}
			s.sendMove()
			return
		}
	}
	s.conn.Write(data)
	// The upstream request has scanned the same bytes, and ends the connection where a line is too long.
	_ = s.serverLines.Count(data, func() {})
	s.throttle()
}

// throttle stops reading from a side whose bytes the other doesn't take.
func (s *session) throttle() {
	if s.closed || !s.established {
		return
	}
	if s.conn.Full() {
		s.server.Pause()
	}
	if s.server.Full() {
		s.conn.Pause()
	}
}

// OnDrained goes on reading from the server.
func (s *session) OnDrained() {
	if s.established && !s.closed {
		s.server.Resume()
	}
}

// ServerDrained goes on reading from the client.
func (s *session) ServerDrained() {
	if s.established && !s.closed {
		s.conn.Resume()
	}
}

// ServerEnded ends the client's connection as its server did.
func (s *session) ServerEnded(reset bool) {
	if s.closed {
		return
	}
	if reset {
		s.close(invariant.ByServer, trace.ServerReset)
		s.conn.Abort()
	} else {
		s.close(invariant.ByServer, trace.ServerEnded)
		s.conn.End()
	}
}

// Migrate asks the client to reconnect, at the end of the server's present line or at a time, whichever comes first.
func (s *session) Migrate(by time.Time) {
	if s.closed {
		return
	}
	if s.serverLines.MidLine() {
		s.migrating = true
		s.stopTimer = s.front.loop.At(by, s.sendMove)
		return
	}
	s.sendMove()
}

// sendMove ends the connection on both sides, with MOVE for the client.
func (s *session) sendMove() {
	if s.closed {
		return
	}
	s.server.End(false)
	lastLine := moveLine
	if s.migrating && s.serverLines.MidLine() { // MOVE behind an unfinished line would be a part of that line
		lastLine = midLineMoveLine
	}
	s.close(invariant.ByNode, trace.NodeMigratedClient)
	s.conn.Write(lastLine)
	s.conn.End()
}
