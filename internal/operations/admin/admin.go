// Package admin provides the admin server: HTTP/1.1 on a separate address, for operators and their monitoring, with one
// request per connection.
package admin

import (
	"bufio"
	"bytes"
	"container/list"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"spurwinch/internal/loop"
)

const (
	// maxPending limits the connections that have not sent a complete request head. Another one evicts the oldest.
	maxPending = 10
	// maxClosing limits the answered connections that may still be open. Another one aborts the oldest.
	maxClosing  = 6
	headTimeout = 5 * time.Second // from the accept to the end of the request head
	maxHead     = 4 << 10         // size limit of a request head, in bytes
	maxLines    = 64              // limit of the lines of a request head
	// listenBacklog is the number of connections that may wait to be accepted, a few more than maxPending.
	listenBacklog = maxPending + 4
)

// Server answers the requests of operators. Only the goroutine of its loop may use it.
type Server struct {
	loop    *loop.Loop
	answers Answers
	pending list.List    // *connection elements without a complete request head, oldest first
	closing []*loop.Conn // the latest answered connections, oldest first
	body    []byte       // reused for each response
	out     []byte       // reused for each response
}

// Answers are the functions that produce the content of responses. The server calls them on the loop's goroutine.
type Answers struct {
	Ready     func() bool             // whether this process accepts clients
	Telemetry func(buf []byte) []byte // appends the metrics to buf
	Reasons   func(buf []byte) []byte // appends the outcomes of requests with their reasons to buf
}

// Listen starts an admin server at addr and returns it with the address on which it listens.
func Listen(events *loop.Loop, addr string, answers Answers) (*Server, netip.AddrPort, error) {
	s := &Server{loop: events, answers: answers}
	listener, err := events.ListenUncounted(addr, listenBacklog, s.accept)
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("admin server: %w", err)
	}
	return s, listener.Addr, nil
}

func (s *Server) accept(conn *loop.Conn) loop.Handler {
	if s.pending.Len() >= maxPending {
		s.evictOldest()
	}
	c := &connection{server: s, conn: conn}
	c.element = s.pending.PushBack(c)
	c.stopTimer = s.loop.At(s.loop.Now().Add(headTimeout), func() {
		c.respond(response{
			status: http.StatusRequestTimeout,
			body:   text("no whole head came in time: send GET /api/ready or GET /api/telemetry\n"),
		})
	})
	return c
}

// evictOldest aborts the connection that has been pending for the longest time.
func (s *Server) evictOldest() {
	if oldest, ok := s.pending.Front().Value.(*connection); ok {
		oldest.finish()
		oldest.conn.Abort()
	}
}

// response is the answer to a request.
type response struct {
	status int                     // HTTP status code
	allow  string                  // value of the Allow header; if empty, the header is omitted
	body   func(buf []byte) []byte // appends the body to buf
}

// text returns a function that appends the given body.
func text(body string) func([]byte) []byte {
	return func(buf []byte) []byte { return append(buf, body...) }
}

// serve returns the response to a complete request head.
func (s *Server) serve(head []byte) response {
	request, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)+16))
	if err != nil {
		return response{
			status: http.StatusBadRequest,
			body:   text("the head can't be read: GET /api/ready HTTP/1.1 and an empty line are wanted\n"),
		}
	}
	handler, known := s.routes()[request.URL.Path]
	switch {
	case !known:
		return response{
			status: http.StatusNotFound,
			body:   text("no such call: /api/ready and /api/telemetry are there\n"),
		}
	case request.Method != http.MethodGet:
		return response{
			status: http.StatusMethodNotAllowed,
			allow:  http.MethodGet,
			body:   text("this call takes GET only\n"),
		}
	}
	return handler()
}

// routes returns the handlers by path.
func (s *Server) routes() map[string]func() response {
	return map[string]func() response{
		"/api/ready":     s.readiness,
		"/api/telemetry": func() response { return response{status: http.StatusOK, body: s.answers.Telemetry} },
		"/api/reasons":   func() response { return response{status: http.StatusOK, body: s.answers.Reasons} },
	}
}

func (s *Server) readiness() response {
	if !s.answers.Ready() {
		return response{
			status: http.StatusServiceUnavailable,
			body:   text("not ready: this process takes no clients now\n"),
		}
	}
	return response{status: http.StatusOK, body: text("ready\n")}
}
