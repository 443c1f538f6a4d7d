// Package admin is the operators' door: HTTP/1.1 on an address of its own, one call a connection.
package admin

import (
	"bufio"
	"bytes"
	"container/list"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"spurwinch/internal/loop"
)

const (
	// MostCallers bounds what the door holds: for one more, the oldest goes that has not finished its call.
	MostCallers = 10
	mostEnded   = 6               // that have their answer and whose end is not seen yet: for one more, the oldest goes
	headTime    = 5 * time.Second // for a whole head, from the connection on
	mostHead    = 4 << 10
	mostLines   = 64
)

// Server answers operators.
type Server struct {
	loop    *loop.Loop
	answers Answers
	waiting list.List // callers that have not finished their head, oldest first
	ended   []*loop.Conn
	body    []byte // used again for each answer
	out     []byte
}

// Answers are what the door asks the process.
type Answers struct {
	Ready     func() bool             // whether this process takes clients
	Telemetry func(buf []byte) []byte // writes the figures behind buf
	Reasons   func(buf []byte) []byte // writes what became of requests, and why, behind buf
}

// Listen opens the door at addr.
func Listen(l *loop.Loop, addr string, answers Answers) (*Server, netip.AddrPort, error) {
	d := &Server{loop: l, answers: answers}
	k, err := l.ListenApart(addr, MostCallers+4, d.accept)
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("operators' door: %w", err)
	}
	return d, k.Addr, nil
}

func (d *Server) accept(c *loop.Conn) loop.Handler {
	if d.waiting.Len() >= MostCallers {
		d.waiting.Front().Value.(*caller).leave()
	}
	k := &caller{door: d, conn: c}
	k.place = d.waiting.PushBack(k)
	k.stop = d.loop.At(d.loop.Now().Add(headTime), func() {
		k.answer(reply{http.StatusRequestTimeout, "", text("no whole head came in time: send GET /api/ready or GET /api/telemetry\n")})
	})
	return k
}

// caller is one connection, until its answer is written.
type caller struct {
	door  *Server
	conn  *loop.Conn
	head  []byte
	place *list.Element
	stop  func()
	over  bool
}

// OnConnect is for connections dialled.
func (k *caller) OnConnect() {}

// OnDrained is of no use here: an answer is written at once.
func (k *caller) OnDrained() {}

// OnData takes a piece of the head. What comes behind the head is no call of this connection.
func (k *caller) OnData(p []byte) {
	if k.over {
		return
	}
	from := max(0, len(k.head)-3) // an end of the head may lie across two pieces
	k.head = append(k.head, p[:min(len(p), mostHead+1-len(k.head))]...)
	for len(k.head) > 0 && (k.head[0] == '\r' || k.head[0] == '\n') { // empty lines before a call mean nothing
		k.head, from = k.head[1:], 0
	}
	end := endOf(k.head, from)
	switch {
	case end < 0 && len(k.head) > mostHead, bytes.Count(k.head, []byte("\n")) > mostLines:
		k.answer(reply{http.StatusRequestHeaderFieldsTooLarge, "",
			text(fmt.Sprintf("the head is too large: at most %d bytes in %d lines are read\n", mostHead, mostLines))})
	case end >= 0:
		k.answer(k.door.serve(k.head[:end]))
	}
}

// endOf finds the end of a head: the empty line, with or without CR.
func endOf(head []byte, from int) int {
	for i := from; i < len(head); i++ {
		if head[i] != '\n' {
			continue
		}
		switch rest := head[i+1:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 3
		}
	}
	return -1
}

// reply is the answer to a call.
type reply struct {
	status int
	allow  string                  // of the Allow header; empty: there is none
	body   func(buf []byte) []byte // writes the body behind buf
}

// text is a body of that text.
func text(body string) func([]byte) []byte {
	return func(buf []byte) []byte { return append(buf, body...) }
}

// serve answers a whole head.
func (d *Server) serve(head []byte) reply {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)+16))
	if err != nil {
		return reply{http.StatusBadRequest, "", text("the head can't be read: GET /api/ready HTTP/1.1 and an empty line are wanted\n")}
	}
	call, known := d.calls()[r.URL.Path]
	switch {
	case !known:
		return reply{http.StatusNotFound, "", text("no such call: /api/ready and /api/telemetry are there\n")}
	case r.Method != http.MethodGet:
		return reply{http.StatusMethodNotAllowed, http.MethodGet, text("this call takes GET only\n")}
	}
	return call()
}

// calls are the calls that there are, by path.
func (d *Server) calls() map[string]func() reply {
	return map[string]func() reply{
		"/api/ready":     d.readiness,
		"/api/telemetry": func() reply { return reply{http.StatusOK, "", d.answers.Telemetry} },
		"/api/reasons":   func() reply { return reply{http.StatusOK, "", d.answers.Reasons} },
	}
}

func (d *Server) readiness() reply {
	if !d.answers.Ready() {
		return reply{http.StatusServiceUnavailable, "", text("not ready: this process takes no clients now\n")}
	}
	return reply{http.StatusOK, "", text("ready\n")}
}

// answer gives the one answer and ends the connection; the loop drops what still comes for a moment, so that the end is
// no reset.
func (k *caller) answer(a reply) {
	if k.over {
		return
	}
	k.done()
	d := k.door
	d.body = a.body(d.body[:0])
	d.out = append(d.out[:0], "HTTP/1.1 "...)
	d.out = strconv.AppendInt(d.out, int64(a.status), 10)
	d.out = append(append(d.out, ' '), http.StatusText(a.status)...)
	if a.allow != "" {
		d.out = append(append(d.out, "\r\nAllow: "...), a.allow...)
	}
	d.out = append(d.out, "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "...)
	d.out = strconv.AppendInt(d.out, int64(len(d.body)), 10)
	d.out = append(append(d.out, "\r\n\r\n"...), d.body...)
	k.conn.Write(d.out)
	k.conn.End()
	if d.ended = append(d.ended, k.conn); len(d.ended) > mostEnded {
		d.ended[0].Abort() // nothing, where it has ended
		d.ended = append(d.ended[:0], d.ended[1:]...)
	}
}

func (k *caller) done() {
	k.over, k.head = true, nil
	k.door.waiting.Remove(k.place)
	k.stop()
}

// leave cuts off a caller that another one needs the place of.
func (k *caller) leave() {
	k.done()
	k.conn.Abort()
}

// OnEnd forgets a caller that went without a call; one that only ended its sending has nothing to ask either.
func (k *caller) OnEnd(err error) {
	if k.over {
		return
	}
	if err == io.EOF && len(k.head) > 0 {
		k.answer(reply{http.StatusBadRequest, "", text("the head ends before its empty line\n")})
		return
	}
	k.done()
	k.conn.End()
}
