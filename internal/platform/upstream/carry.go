package upstream

import (
	"errors"
	"time"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"
)

// ConnectionState is what a request of an open connection knows beside its socket, as one process of a node tells it to another.
type ConnectionState struct {
	Conn   loop.ConnectionState `cbor:"1,keyasint"`
	Line   []byte               `cbor:"2,keyasint,omitempty"` // of the host, not ended yet
	Behind int                  `cbor:"3,keyasint,omitempty"` // bytes of the client's line in hand
	Last   uint8                `cbor:"4,keyasint,omitempty"`
	Sent   int64                `cbor:"5,keyasint,omitempty"` // Unix time in ns of the line that waits for its answer, for releases without Waits; 0: none does
	Waits  int64                `cbor:"6,keyasint,omitempty"` // ns that it has waited; 0: none does
}

// Check says what is wrong with what another process told.
func (s ConnectionState) Check() error {
	if len(s.Line) > line.Max || s.Behind < 0 || s.Behind > line.Max || s.Last > uint8(move) || s.Sent < 0 || s.Waits < 0 {
		return errors.New("a host's side that can't be")
	}
	return nil
}

// Detach takes the connection off the loop.
func (r *Request) Detach() (fd int, s ConnectionState, ok bool) {
	if r.over || !r.up {
		return -1, s, false
	}
	fd, s.Conn, ok = r.conn.Detach()
	s.Line, s.Behind, s.Last = r.in.Part(), r.out.Part(), uint8(r.last)
	if !r.sent.IsZero() {
		s.Sent, s.Waits = r.sent.UnixNano(), max(1, int64(r.cluster.loop.Now().Sub(r.sent)))
	}
	r.unwatch()
	return fd, s, ok
}

// Reattach has a lent connection go on.
func (r *Request) Reattach() {
	r.conn.Reattach()
	r.rewatch()
}

// sentAt is when the line was sent that waits for its answer.
func (s ConnectionState) sentAt(now time.Time) time.Time {
	waited := time.Duration(s.Waits)
	if waited == 0 {
		waited = max(0, now.Sub(time.Unix(0, s.Sent)))
	}
	return now.Add(-min(waited, longestWait))
}

// longestWait is more than any line may wait.
const longestWait = 10 * time.Second

// Release lets go of a lent connection that another process has.
func (r *Request) Release() {
	r.done()
	r.conn.Release()
}

// Restore goes on with an open connection of another process.
func (c *Cluster) Restore(a *edge.Attempt, fd int, s ConnectionState, sink Sink) *Request {
	r := &Request{cluster: c, attempt: a, sink: sink, up: true, last: ending(s.Last),
		in: line.NewReader(s.Line), out: line.NewScanner(s.Behind)}
	if s.Sent > 0 {
		r.sent = s.sentAt(c.loop.Now())
	}
	r.conn = c.loop.Restore(fd, s.Conn, r)
	r.rewatch()
	return r
}

// rewatch has a line that waits for its answer found late when it is.
func (r *Request) rewatch() {
	if !r.sent.IsZero() && r.watch == nil && !r.over {
		r.watch = r.cluster.loop.At(r.cluster.loop.Now(), r.check)
	}
}
