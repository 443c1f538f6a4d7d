package admin

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"spurwinch/internal/loop"
)

// connection is one client's connection until its response is written.
type connection struct {
	server    *Server
	conn      *loop.Conn
	head      []byte        // received part of the request head
	element   *list.Element // in the server's list of pending connections
	stopTimer func()        // stops the timer of headTimeout
	finished  bool          // the connection is answered, evicted or closed
}

// OnConnect is never called, because the server opens no connections.
func (c *connection) OnConnect() {}

// OnDrained does nothing, because the server writes each response at once.
func (c *connection) OnDrained() {}

// OnData receives a piece of the request head. It ignores bytes after the head: a connection has one request.
func (c *connection) OnData(piece []byte) {
	if c.finished {
		return
	}
	from := max(0, len(c.head)-3) // the end of the head may span two pieces
	c.head = append(c.head, piece[:min(len(piece), maxHead+1-len(c.head))]...)
	// Empty lines before a request are ignored, as RFC 9112, section 2.2, recommends.
	for len(c.head) > 0 && (c.head[0] == '\r' || c.head[0] == '\n') {
		c.head = c.head[1:]
		from = 0
	}
	end := headEnd(c.head, from)
	switch {
	case end < 0 && len(c.head) > maxHead, bytes.Count(c.head, []byte("\n")) > maxLines:
		c.respond(response{
			status: http.StatusRequestHeaderFieldsTooLarge,
			body: text(fmt.Sprintf(
				"the head is too large: at most %d bytes in %d lines are read\n", maxHead, maxLines)),
		})
	case end >= 0:
		c.respond(c.server.serve(c.head[:end]))
	}
}

// headEnd returns the length of the request head, including the empty line that ends it, with or without a CR. It
// returns -1 if the head is incomplete. The search starts at from.
func headEnd(head []byte, from int) int {
	for i := from; i < len(head); i++ {
		if head[i] != '\n' {
			continue
		}
		rest := head[i+1:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 3
		}
	}
	return -1
}

// respond writes the only response of the connection and ends the connection. For a short time afterwards, the loop
// discards arriving data, so that the client sees the end of the connection and not a reset.
func (c *connection) respond(answer response) {
	if c.finished {
		return
	}
	c.finish()
	c.conn.Write(c.server.encode(answer))
	c.conn.End()
	c.server.addClosing(c.conn)
}

// encode writes a response into the server's buffer. The result is valid until the next call.
func (s *Server) encode(answer response) []byte {
	s.body = answer.body(s.body[:0])
	out := append(s.out[:0], "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(answer.status), 10)
	out = append(out, ' ')
	out = append(out, http.StatusText(answer.status)...)
	if answer.allow != "" {
		out = append(out, "\r\nAllow: "...)
		out = append(out, answer.allow...)
	}
	out = append(out, "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(s.body)), 10)
	out = append(out, "\r\n\r\n"...)
	s.out = append(out, s.body...)
	return s.out
}

// addClosing tracks an answered connection. If there are more than maxClosing, it aborts the oldest one.
func (s *Server) addClosing(conn *loop.Conn) {
	s.closing = append(s.closing, conn)
	if len(s.closing) > maxClosing {
		s.closing[0].Abort() // has no effect if the connection has ended
		s.closing = append(s.closing[:0], s.closing[1:]...)
	}
}

// finish removes the connection from the pending ones and stops its timer.
func (c *connection) finish() {
	c.finished = true
	c.head = nil
	c.server.pending.Remove(c.element)
	c.stopTimer()
}

// OnEnd handles the end of a connection before its request head was complete. If the client sent a part of the head and
// then closed its sending side, OnEnd responds with an error. Otherwise it ends the connection without a response.
func (c *connection) OnEnd(err error) {
	if c.finished {
		return
	}
	if errors.Is(err, io.EOF) && len(c.head) > 0 {
		c.respond(response{
			status: http.StatusBadRequest,
			body:   text("the head ends before its empty line\n"),
		})
		return
	}
	c.finish()
	c.conn.End()
}
