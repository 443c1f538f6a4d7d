package downstream

import (
	"errors"
	"fmt"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/line"
	"spurwinch/internal/platform/upstream"
	"spurwinch/internal/trace"
)

// ConnectionState is what the front knows of a client's connection beside its sockets, as one process of a node tells it to
// another. Of an open one there is a host's side; any other has not said yet what it wants.
type ConnectionState struct {
	Conn   loop.ConnectionState      `cbor:"1,keyasint"`
	Behind int                       `cbor:"2,keyasint,omitempty"` // bytes of the host's line in hand
	Server *upstream.ConnectionState `cbor:"3,keyasint,omitempty"`
	Line   []byte                    `cbor:"4,keyasint,omitempty"` // of the client's first line
	Pinged bool                      `cbor:"5,keyasint,omitempty"`
	Until  int64                     `cbor:"6,keyasint,omitempty"` // Unix time in ns by which that line must be there, for releases without Left
	Left   int64                     `cbor:"7,keyasint,omitempty"` // ns until then
}

// check says what is wrong with what another process told, of a connection with so many sockets.
func (s ConnectionState) check(sockets int) error {
	want := 1
	if s.Server != nil {
		if err := s.Server.Check(); err != nil {
			return err
		}
		want = 2
	}
	switch {
	case sockets != want:
		return fmt.Errorf("%d sockets of a connection that has %d", sockets, want)
	case s.Behind < 0 || s.Behind > line.Max || len(s.Line) > line.Max:
		return errors.New("a client's side that can't be")
	}
	return nil
}

// Detach takes both sides of an open connection off the loop. One that is about to be moved stays.
func (s *session) Detach() (fds []int, state any, ok bool) {
	if s.over || !s.open || s.moving {
		return nil, nil, false
	}
	var host upstream.ConnectionState
	st := ConnectionState{Behind: s.out.Part(), Server: &host}
	fds = make([]int, 2)
	if fds[0], st.Conn, ok = s.conn.Detach(); !ok {
		return nil, nil, false
	}
	if fds[1], host, ok = s.host.Detach(); !ok {
		s.conn.Reattach()
		return nil, nil, false
	}
	return fds, st, true
}

// Reattach has a lent connection go on.
func (s *session) Reattach() {
	s.conn.Reattach()
	if s.host != nil {
		s.host.Reattach()
	}
}

// Release lets go of a lent connection that another process has.
func (s *session) Release() {
	s.front.core.ConnectionClosedUnused(trace.Transferred)
	s.done()
	s.conn.Release()
	if s.host != nil {
		s.host.Release()
	}
}

// Hold checks a connection of another process whole; what it returns has it go on here. read reads what the other front told.
func (f *Front) Hold(core *edge.Core, open *edge.ConnectionState, read func(into any) error, fds []int) (restore func(), err error) {
	var st ConnectionState
	if err := read(&st); err != nil {
		return nil, err
	}
	switch err := st.check(len(fds)); {
	case err != nil:
		return nil, err
	case (open != nil) != (st.Server != nil):
		return nil, errors.New("half a connection")
	case open == nil:
		return func() { f.restoreIdle(st, fds[0]) }, nil
	}
	return func() { f.restore(core, *open, st, fds) }, nil
}

func (f *Front) restore(core *edge.Core, from edge.ConnectionState, st ConnectionState, fds []int) {
	s := &session{front: f, open: true, out: line.NewScanner(st.Behind)}
	var a *edge.Attempt
	s.request, a = core.Adopt(from, s)
	s.host = f.upstream.Restore(a, fds[1], *st.Server, s)
	a.Resume(s.host)
	s.conn = f.loop.Restore(fds[0], st.Conn, s)
	if len(st.Conn.Out) == 0 { // no side waits for what is with the kernel already
		s.host.Resume()
	}
	if len(st.Server.Conn.Out) == 0 {
		s.conn.Resume()
	}
}

// Idle is a connection that has not said yet what it wants.
type Idle struct{ s *session }

// Idle are the connections that have not said yet what they want, those that came first at the front.
func (f *Front) Idle() (all []Idle) {
	f.loop.EachIdle(func(h loop.Handler) {
		if s, ok := h.(*session); ok && s.front == f && !s.over && s.request == nil {
			all = append(all, Idle{s})
		}
	})
	return all
}

// Detach takes the connection off the loop.
func (i Idle) Detach() (fds []int, state any, ok bool) {
	s := i.s
	if s.over || s.request != nil {
		return nil, nil, false
	}
	fd, conn, ok := s.conn.Detach()
	if !ok {
		return nil, nil, false
	}
	s.cancelTimer()
	return []int{fd}, ConnectionState{Conn: conn, Line: s.in.Part(), Pinged: s.pinged, Until: s.until.UnixNano(),
		Left: loop.TimeLeft(s.front.loop.Now(), s.until)}, true
}

// Reattach has a lent connection go on.
func (i Idle) Reattach() {
	i.s.Reattach()
	i.s.due(i.s.until)
}

// Release lets go of a lent connection that another process has.
func (i Idle) Release() { i.s.Release() }

func (f *Front) restoreIdle(st ConnectionState, fd int) {
	s := &session{front: f, in: line.NewReader(st.Line), pinged: st.Pinged}
	s.conn = f.loop.Restore(fd, st.Conn, s)
	s.conn.EnterIdleQueue()
	s.due(loop.TimeFromLeft(f.loop.Now(), st.Left, st.Until, openTime))
}
