package downstream

import (
	"errors"
	"fmt"
	"slices"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"
	"spurwinch/internal/platform/upstream"
	"spurwinch/internal/trace"
)

// Errors in a connection that another process transfers.
var (
	errClientState = errors.New("unfinished lines of a connection must be 0 to 4096 bytes long")
	errMissingSide = errors.New("core state and server state of a connection must both be present or both be absent")
	errSocketCount = errors.New("wrong number of sockets for a connection")
)

// ConnectionState is the front's state of a client's connection, without its sockets, that one process of a node
// transfers to another. An established connection has a server's side. On any other, the client has sent no request
// yet.
type ConnectionState struct {
	Conn                   loop.ConnectionState      `cbor:"1,keyasint"`
	PartialServerLineBytes int                       `cbor:"2,keyasint,omitempty"` // in the server's unfinished line
	Server                 *upstream.ConnectionState `cbor:"3,keyasint,omitempty"`
	FirstLine              []byte                    `cbor:"4,keyasint,omitempty"` // start of the unfinished first line
	Pinged                 bool                      `cbor:"5,keyasint,omitempty"`
	// FirstLineDeadline is the Unix time in nanoseconds by which the first line must be complete. Releases without
	// FirstLineTimeLeft use it.
	FirstLineDeadline int64 `cbor:"6,keyasint,omitempty"`
	FirstLineTimeLeft int64 `cbor:"7,keyasint,omitempty"` // nanoseconds until that deadline
	// HeldBackBytes is the number of bytes at the end of Conn.Out that belong to the server's unfinished line and are
	// to be held back until the line is complete. Releases without HeldBackBytes forward the start of a line at once,
	// so for them the bytes are in Conn.Out.
	HeldBackBytes int `cbor:"8,keyasint,omitempty"`
}

// check validates the state of a connection that was transferred with the given number of sockets.
func (s ConnectionState) check(sockets int) error {
	expected := 1
	if s.Server != nil {
		if err := s.Server.Check(); err != nil {
			return err
		}
		expected = 2
	}
	switch {
	case sockets != expected:
		return fmt.Errorf("%w: got %d, want %d", errSocketCount, sockets, expected)
	case s.PartialServerLineBytes < 0 || s.PartialServerLineBytes > line.MaxBytes || len(s.FirstLine) > line.MaxBytes:
		return errClientState
	case s.HeldBackBytes < 0 || s.HeldBackBytes > min(len(s.Conn.Out), s.PartialServerLineBytes):
		return errClientState
	}
	return nil
}

// holdBack appends the bytes of the server's unfinished line that the client has not received.
func (s *ConnectionState) holdBack(heldBack []byte) {
	s.Conn.Out = slices.Concat(s.Conn.Out, heldBack)
	s.HeldBackBytes = len(heldBack)
}

// takeHeldBack undoes holdBack. It returns how many bytes of the server's unfinished line the client has received or
// will receive without holding back.
func (s *ConnectionState) takeHeldBack() (forwardedOfLine int) {
	s.Conn.Out = s.Conn.Out[:len(s.Conn.Out)-s.HeldBackBytes]
	return s.PartialServerLineBytes - s.HeldBackBytes
}

// Detach removes both sides of an established connection from the loop. A connection that is about to be migrated is
// not detached.
func (c *client) Detach() (fds []int, state any, ok bool) {
	if c.closed || !c.established || c.migrating {
		return nil, nil, false
	}
	clientFD, clientState, ok := c.conn.Detach()
	if !ok {
		return nil, nil, false
	}
	serverFD, serverState, ok := c.server.Detach()
	if !ok {
		c.conn.Reattach()
		return nil, nil, false
	}
	transferred := ConnectionState{
		Conn:                   clientState,
		PartialServerLineBytes: len(serverState.PartialServerLine),
		Server:                 &serverState,
	}
	transferred.holdBack(c.server.HeldBack())
	c.stopStallWatch()
	return []int{clientFD, serverFD}, transferred, true
}

// Reattach resumes a detached connection in this process.
func (c *client) Reattach() {
	c.conn.Reattach()
	if c.server != nil {
		c.server.Reattach()
	}
	if c.established && c.conn.Pending() > 0 {
		c.watchStall()
	}
}

// Release closes this process's descriptors of a detached connection that another process has taken over.
func (c *client) Release() {
	c.front.core.ConnectionClosedUnused(trace.Transferred)
	c.markClosed()
	c.conn.Release()
	if c.server != nil {
		c.server.Release()
	}
}

// PrepareRestore decodes and validates a connection that another process transfers, and returns the function that
// resumes it in this process. PrepareRestore itself changes nothing. read decodes the state that the other process's
// front encoded; open is nil for a connection whose client has sent no request yet.
func (f *Front) PrepareRestore(
	core *edge.Core, open *edge.ConnectionState, read func(into any) error, fds []int,
) (restore func(), err error) {
	var state ConnectionState
	if err := read(&state); err != nil {
		return nil, fmt.Errorf("decode a platform connection: %w", err)
	}
	if err := state.check(len(fds)); err != nil {
		return nil, err
	}
	if (open != nil) != (state.Server != nil) {
		return nil, errMissingSide
	}
	if open == nil {
		return func() { f.restoreIdle(state, fds[0]) }, nil
	}
	return func() { f.restore(core, *open, state, fds) }, nil
}

// restore resumes an established connection that another process has transferred.
func (f *Front) restore(core *edge.Core, open edge.ConnectionState, state ConnectionState, fds []int) {
	forwardedOfLine := state.takeHeldBack()
	restored := &client{front: f, established: true}
	request, attempt := core.Adopt(open, restored)
	restored.request = request
	restored.server = f.upstream.Restore(attempt, fds[1], *state.Server, forwardedOfLine, restored)
	attempt.SetUpstream(restored.server)
	restored.conn = f.loop.Restore(fds[0], state.Conn, restored)
	// Reading resumes on each side unless bytes still wait to be written to the other side.
	if len(state.Conn.Out) == 0 {
		restored.server.Resume()
	} else {
		restored.server.Pause()
		restored.watchStall()
	}
	if len(state.Server.Conn.Out) == 0 {
		restored.conn.Resume()
	}
}

// IdleConnection is the connection of a client that has sent no request yet.
type IdleConnection struct{ client *client }

// IdleConnections returns the connections whose clients have sent no request yet, the oldest first.
func (f *Front) IdleConnections() (all []IdleConnection) {
	f.loop.EachIdle(func(handler loop.Handler) {
		if idle, ok := handler.(*client); ok && idle.front == f && !idle.closed && idle.request == nil {
			all = append(all, IdleConnection{idle})
		}
	})
	return all
}

// Detach removes the connection from the loop, unless its client has sent a request or waits for the answer to a PING,
// or the connection is closed or about to end.
func (c IdleConnection) Detach() (fds []int, state any, ok bool) {
	idle := c.client
	if idle.closed || idle.request != nil || idle.awaitsReady {
		return nil, nil, false
	}
	fd, conn, ok := idle.conn.Detach()
	if !ok {
		return nil, nil, false
	}
	idle.cancelTimer()
	transferred := ConnectionState{
		Conn:              conn,
		FirstLine:         idle.firstLineReader.Partial(),
		Pinged:            idle.pinged,
		FirstLineDeadline: idle.firstLineDeadline.UnixNano(),
		FirstLineTimeLeft: loop.TimeLeft(idle.front.loop.Now(), idle.firstLineDeadline),
	}
	return []int{fd}, transferred, true
}

// Reattach resumes a detached connection in this process.
func (c IdleConnection) Reattach() {
	c.client.Reattach()
	c.client.awaitFirstLine(c.client.firstLineDeadline)
}

// Release closes this process's descriptors of a detached connection that another process has taken over.
func (c IdleConnection) Release() { c.client.Release() }

// restoreIdle resumes a connection that another process has transferred before its client sent a request.
func (f *Front) restoreIdle(state ConnectionState, fd int) {
	idle := &client{front: f, firstLineReader: line.NewReader(state.FirstLine), pinged: state.Pinged}
	idle.conn = f.loop.Restore(fd, state.Conn, idle)
	idle.conn.EnterIdleQueue()
	deadline := loop.TimeFromLeft(f.loop.Now(), state.FirstLineTimeLeft, state.FirstLineDeadline, firstLineTimeout)
	idle.awaitFirstLine(deadline)
}
