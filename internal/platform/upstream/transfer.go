package upstream

import (
	"errors"
	"time"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"
)

// maxTransferredWait limits the time for which a transferred line has awaited its reply. No line may wait that long.
const maxTransferredWait = 10 * time.Second

// errServerState is returned for an invalid state that another process transferred.
var errServerState = errors.New("server state must have lines up to 4096 bytes, closing line 0 to 2, no negative time")

// ConnectionState is the state of a request with an established connection, without its socket, that one process of a
// node transfers to another.
type ConnectionState struct {
	Conn                   loop.ConnectionState `cbor:"1,keyasint"`
	PartialServerLine      []byte               `cbor:"2,keyasint,omitempty"` // start of the server's unfinished line
	PartialClientLineBytes int                  `cbor:"3,keyasint,omitempty"` // in the client's unfinished line
	ClosingLine            uint8                `cbor:"4,keyasint,omitempty"` // last line: 0 other, 1 BYE, 2 MOVE
	// AwaitingReplySince is the Unix time in nanoseconds at which the client line that awaits a reply was sent; 0: no
	// line awaits a reply. Releases without AwaitingReplyFor use it.
	AwaitingReplySince int64 `cbor:"5,keyasint,omitempty"`
	AwaitingReplyFor   int64 `cbor:"6,keyasint,omitempty"` // nanoseconds since that line was sent; 0: none
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

// awaitingReplySince returns when the line that awaits its reply was sent, on this process's clock.
func (s ConnectionState) awaitingReplySince(now time.Time) time.Time {
	waited := time.Duration(s.AwaitingReplyFor)
	if waited == 0 {
		waited = max(0, now.Sub(time.Unix(0, s.AwaitingReplySince)))
	}
	return now.Add(-min(waited, maxTransferredWait))
}

// Detach removes an established connection from the loop and returns its socket. This process still owns the socket, so
// the caller must call Reattach or Release afterwards. If ok is false, the connection was not detached: it is closed,
// not established or about to end.
func (r *Request) Detach() (fd int, state ConnectionState, ok bool) {
	if r.closed || !r.established {
		return -1, state, false
	}
	fd, state.Conn, ok = r.conn.Detach()
	state.PartialServerLine = r.serverLines.Partial()
	state.PartialClientLineBytes = r.clientLines.PartialBytes()
	state.ClosingLine = uint8(r.lastClosingLine)
	if !r.awaitingReplySince.IsZero() {
		waited := r.awaitingReplyFor()
		state.AwaitingReplySince = r.cluster.loop.Now().Add(-waited).UnixNano()
		state.AwaitingReplyFor = max(1, int64(waited))
	}
	r.cancelReplyTimer()
	return fd, state, ok
}

// HeldBack returns the bytes of the server's unfinished line that the client has not received.
func (r *Request) HeldBack() []byte { return r.heldBack() }

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

// Restore resumes an established connection that another process has transferred. The client has received the first
// forwardedOfLine bytes of the server's unfinished line.
func (c *Cluster) Restore(
	attempt *edge.Attempt, fd int, state ConnectionState, forwardedOfLine int, sink Sink,
) *Request {
	restored := &Request{
		cluster:         c,
		attempt:         attempt,
		sink:            sink,
		established:     true,
		lastClosingLine: closingLine(state.ClosingLine),
		serverLines:     line.NewReader(state.PartialServerLine),
		forwardedOfLine: min(forwardedOfLine, len(state.PartialServerLine)),
		clientLines:     line.NewScanner(state.PartialClientLineBytes),
	}
	if state.AwaitingReplySince > 0 {
		restored.awaitingReplySince = state.awaitingReplySince(c.loop.Now())
	}
	restored.conn = c.loop.Restore(fd, state.Conn, restored)
	restored.resumeReplyTimer()
	return restored
}

// resumeReplyTimer restarts the timer for a line that awaits its reply.
func (r *Request) resumeReplyTimer() {
	if !r.awaitingReplySince.IsZero() && r.stopReplyTimer == nil && !r.closed {
		r.stopReplyTimer = r.cluster.loop.At(r.cluster.loop.Now(), r.checkReplyDelay)
	}
}
