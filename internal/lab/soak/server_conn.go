package soak

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	serverReadBuffer = 8192
	earlyResetRate   = 0.3 // fraction of the connections that a resetting server resets before it reads the line
	maxAnswerDelay   = 1500 * time.Millisecond
)

// track records an open connection, so that a restart resets it.
func (s *server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = false
}

// untrack removes a connection that track recorded.
func (s *server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// wasReset reports whether the harness has reset a connection, by a restart or at the proxy.
func (s *server) wasReset(conn net.Conn) bool {
	s.mu.Lock()
	restarted := s.conns[conn]
	s.mu.Unlock()
	return restarted || s.proxy.hasReset(conn.RemoteAddr().String())
}

// serve serves one connection from a node.
func (s *server) serve(conn net.Conn) {
	s.track(conn)
	defer func() {
		s.untrack(conn)
		closeQuietly(conn)
	}()
	reader := bufio.NewReaderSize(conn, serverReadBuffer)
	if _, err := reader.Peek(1); err != nil {
		return
	}
	started := s.checker.attemptStarted(s)
	if behavior, _ := s.current(); behavior == resetting && s.draw() < earlyResetRate {
		reset(conn)
		return
	}
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	words := strings.Fields(line)
	switch {
	case len(words) == 4 && words[0] == "OPEN" && strings.HasSuffix(line, "\r\n"):
		s.serveRequest(conn, reader, words[1], started)
	case line == "STATS\r\n" || line == "PING\r\n":
		s.serveHealthChecks(conn, reader)
	default:
		s.checker.violated(Line, "%s got a first line that no client sent: %q", s.id, line)
		s.reply(conn, "SYNTAX\r\n")
	}
}

// reply writes to a node. It ignores errors: a node that ended the connection needs no answer, and if the node should
// not have ended it, the next read on the connection shows that.
func (s *server) reply(conn net.Conn, format string, args ...any) {
	_, _ = fmt.Fprintf(conn, format, args...)
}

// serveRequest answers a request according to the server's behavior, and serves its connection until the end.
func (s *server) serveRequest(conn net.Conn, reader *bufio.Reader, id string, received *attempt) {
	s.checker.attemptReceived(id, received)
	defer func() {
		if s.wasReset(conn) {
			s.checker.attemptDisrupted(received)
		}
		s.checker.attemptEnded(received, "", false)
	}()
	s.checkSlowStart(id)
	behavior, state := s.current()
	if (behavior == resetting || behavior == slow) && !s.delayAnswer(conn, reader) {
		return
	}
	if state != stateServing || behavior == full || s.isFull() {
		s.checker.attemptEnded(received, replyBusy, true)
		s.reply(conn, "%s%s\r\n", replyBusy, s.loadReport())
		return
	}
	switch behavior {
	case failing:
		s.checker.attemptEnded(received, replyError, false)
		s.reply(conn, "%s%s\r\n", replyError, s.loadReport())
	case resetting:
		s.checker.attemptDisrupted(received)
		reset(conn)
	case closing:
		s.checker.attemptDisrupted(received)
	case hanging:
		discardUntilEnd(reader)
	case truncating:
		s.reply(conn, "UP %s", id[:4])
		discardUntilEnd(reader)
	default:
		s.echo(conn, reader, id, received)
	}
}

// delayAnswer waits for a random time, and reports whether the node has kept the connection open.
func (s *server) delayAnswer(conn net.Conn, reader *bufio.Reader) bool {
	setReadDeadline(conn, time.Now().Add(time.Duration(s.draw()*float64(maxAnswerDelay))))
	defer setReadDeadline(conn, time.Time{})
	_, err := reader.Peek(1)
	return err == nil || isTimeout(err)
}

// discardUntilEnd reads until the node ends the connection.
func discardUntilEnd(reader *bufio.Reader) {
	for {
		if _, err := reader.ReadByte(); err != nil {
			return
		}
	}
}

// echo accepts a request with a receipt, and then returns each line of the open connection.
func (s *server) echo(conn net.Conn, reader *bufio.Reader, id string, served *attempt) {
	s.changeEstablished(1)
	defer s.changeEstablished(-1)
	s.checker.attemptEnded(served, replyUp, false)
	if _, err := fmt.Fprintf(conn, "%s %s\r\n", replyUp, receiptOf(id, s)); err != nil {
		return
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if behavior, _ := s.current(); behavior == dropping {
			s.checker.attemptDisrupted(served) // from now on the node may migrate the client
			continue
		}
		if _, err := fmt.Fprint(conn, line); err != nil {
			return
		}
	}
}

// serveHealthChecks answers PING and STATS until the connection ends.
func (s *server) serveHealthChecks(conn net.Conn, reader *bufio.Reader) {
	for {
		behavior, _ := s.current()
		if behavior == hanging {
			discardUntilEnd(reader)
			return
		}
		if _, err := fmt.Fprintf(conn, "PONG%s\r\n", s.loadReport()); err != nil || behavior == closingHealthChecks {
			return
		}
		if _, err := reader.ReadString('\n'); err != nil {
			return
		}
	}
}
