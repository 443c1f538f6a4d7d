package upstream

import (
	"errors"
	"time"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"
)

// maxTransferredWait bounds the time that a transferred line has awaited its reply; it is more than any line may wait.
const maxTransferredWait = 10 * time.Second

// errServerState says that the state that another process transferred is invalid.
var errServerState = errors.New("the state of a server's side is out of range")

// ConnectionState is what a request of an established connection knows besides its socket, as one process of a node
// transfers it to another.
type ConnectionState struct {
	Conn                   loop.ConnectionState `cbor:"1,keyasint"`
	PartialServerLine      []byte               `cbor:"2,keyasint,omitempty"` // of an unfinished line
	PartialClientLineBytes int                  `cbor:"3,keyasint,omitempty"` // of an unfinished line
	ClosingLine            uint8                `cbor:"4,keyasint,omitempty"` // the last: 0 any, 1 BYE, 2 MOVE
	// AwaitingReplySince is the Unix time in nanoseconds of the line that awaits a reply, for releases without
	// AwaitingReplyFor; 0: none does.
	AwaitingReplySince int64 `cbor:"5,keyasint,omitempty"`
	AwaitingReplyFor   int64 `cbor:"6,keyasint,omitempty"` // nanoseconds since that line; 0: none awaits one
}

// Check validates the state that another process transferred.
func (s ConnectionState) Check() error {
	serverLineFits := len(s.PartialServerLine) <= line.MaxBytes
	clientLineFits := s.PartialClientLineBytes >= 0 && s.PartialClientLineBytes <= line.MaxBytes
	linesFit := serverLineFits && clientLineFits
	if !linesFit || s.ClosingLine > uint8(closingMove) || s.AwaitingReplySince < 0 || s.AwaitingReplyFor < 0 {
		return errServerState
	}
	return nil
}

// awaitingReplySince is when the line was sent that waits for its reply.
func (s ConnectionState) awaitingReplySince(now time.Time) time.Time {
	waited := time.Duration(s.AwaitingReplyFor)
	if waited == 0 {
		waited = max(0, now.Sub(time.Unix(0, s.AwaitingReplySince)))
	}
	return now.Add(-min(waited, maxTransferredWait))
}

// Detach takes an established connection off the loop and returns its socket, which this process still owns: Reattach
// or Release must follow. If ok is false, nothing was taken: the connection is closed, not established or about to end.
func (r *Request) Detach() (fd int, state ConnectionState, ok bool) {
	if r.closed || !r.established {
		return -1, state, false
	}
	fd, state.Conn, ok = r.conn.Detach()
	state.PartialServerLine = r.serverLines.Partial()
	state.PartialClientLineBytes = r.clientLines.PartialBytes()
	state.ClosingLine = uint8(r.lastClosingLine)
	if !r.awaitingReplySince.IsZero() {
		state.AwaitingReplySince = r.awaitingReplySince.UnixNano()
		state.AwaitingReplyFor = max(1, int64(r.cluster.loop.Now().Sub(r.awaitingReplySince)))
	}
	r.cancelReplyTimer()
	return fd, state, ok
}

// Reattach resumes a detached connection in this process.
func (r *Request) Reattach() {
	r.conn.Reattach()
	r.resumeReplyTimer()
}

// Release closes this process's descriptor of a detached connection that another process has taken over.
func (r *Request) Release() {
	r.markClosed()
	r.conn.Release()
}

// Restore resumes an established connection that another process has transferred.
func (c *Cluster) Restore(attempt *edge.Attempt, fd int, state ConnectionState, sink Sink) *Request {
	restored := &Request{
		cluster:         c,
		attempt:         attempt,
		sink:            sink,
		established:     true,
		lastClosingLine: closingLine(state.ClosingLine),
		serverLines:     line.NewReader(state.PartialServerLine),
		clientLines:     line.NewScanner(state.PartialClientLineBytes),
	}
	if state.AwaitingReplySince > 0 {
		restored.awaitingReplySince = state.awaitingReplySince(c.loop.Now())
	}
	restored.conn = c.loop.Restore(fd, state.Conn, restored)
	restored.resumeReplyTimer()
	return restored
}

// resumeReplyTimer starts the timer of an awaited reply again.
func (r *Request) resumeReplyTimer() {
	if !r.awaitingReplySince.IsZero() && r.stopReplyTimer == nil && !r.closed {
		r.stopReplyTimer = r.cluster.loop.At(r.cluster.loop.Now(), r.checkReplyDelay)
	}
}
