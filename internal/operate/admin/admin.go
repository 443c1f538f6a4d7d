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

// Door answers operators.
type Door struct {
	loop    *loop.Loop
	ready   func() bool
	figures func(buf []byte) []byte
	waiting list.List // callers that have not finished their head, oldest first
	ended   []*loop.Conn
	body    []byte // used again for each answer
	out     []byte
}

// Listen opens the door at addr. ready says whether this process takes clients; figures writes the figures behind buf.
func Listen(l *loop.Loop, addr string, ready func() bool, figures func(buf []byte) []byte) (*Door, netip.AddrPort, error) {
	d := &Door{loop: l, ready: ready, figures: figures}
	k, err := l.ListenApart(addr, MostCallers+4, d.accept)
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("operators' door: %w", err)
	}
	return d, k.Addr, nil
}

func (d *Door) accept(c *loop.Conn) loop.Handler {
	if d.waiting.Len() >= MostCallers {
		d.waiting.Front().Value.(*caller).leave()
	}
	k := &caller{door: d, conn: c}
	k.place = d.waiting.PushBack(k)
	k.stop = d.loop.At(d.loop.Now().Add(headTime), func() {
		k.answer(http.StatusRequestTimeout, "", "no whole head came in time: send GET /api/ready or GET /api/telemetry\n")
	})
	return k
}

// caller is one connection, until its answer is written.
type caller struct {
	door  *Door
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
		k.answer(http.StatusRequestHeaderFieldsTooLarge, "", fmt.Sprintf("the head is too large: at most %d bytes in %d lines are read\n", mostHead, mostLines))
	case end >= 0:
		status, allow, body := k.door.serve(k.head[:end])
		k.answer(status, allow, body)
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

// serve answers a whole head. An empty body stands for the figures.
func (d *Door) serve(head []byte) (status int, allow, body string) {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)+16))
	if err != nil {
		return http.StatusBadRequest, "", "the head can't be read: GET /api/ready HTTP/1.1 and an empty line are wanted\n"
	}
	switch r.URL.Path {
	case "/api/ready", "/api/telemetry":
	default:
		return http.StatusNotFound, "", "no such call: /api/ready and /api/telemetry are there\n"
	}
	switch {
	case r.Method != http.MethodGet:
		return http.StatusMethodNotAllowed, http.MethodGet, "this call takes GET only\n"
	case r.URL.Path == "/api/telemetry":
		return http.StatusOK, "", ""
	case !d.ready():
		return http.StatusServiceUnavailable, "", "not ready: this process takes no clients now\n"
	}
	return http.StatusOK, "", "ready\n"
}

// answer gives the one answer and ends the connection; the loop drops what still comes for a moment, so that the end is
// no reset.
func (k *caller) answer(status int, allow, body string) {
	if k.over {
		return
	}
	k.done()
	d := k.door
	d.body = append(d.body[:0], body...)
	if body == "" {
		d.body = d.figures(d.body)
	}
	d.out = append(d.out[:0], "HTTP/1.1 "...)
	d.out = strconv.AppendInt(d.out, int64(status), 10)
	d.out = append(append(d.out, ' '), http.StatusText(status)...)
	if allow != "" {
		d.out = append(append(d.out, "\r\nAllow: "...), allow...)
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
		k.answer(http.StatusBadRequest, "", "the head ends before its empty line\n")
		return
	}
	k.done()
	k.conn.End()
}
