package xmpp

import (
	"errors"
	"fmt"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	sessions "spurwinch/internal/session"
	"spurwinch/internal/trace"
)

// Stream is where a scanner is in its stream.
type Stream struct {
	Part    []byte   `cbor:"1,keyasint,omitempty"` // a token not whole yet
	Stack   []string `cbor:"2,keyasint,omitempty"`
	Prefix  string   `cbor:"3,keyasint,omitempty"`
	Size    int      `cbor:"4,keyasint,omitempty"`
	Started bool     `cbor:"5,keyasint,omitempty"`
	Ended   bool     `cbor:"6,keyasint,omitempty"`
	Restart bool     `cbor:"7,keyasint,omitempty"`
}

// Standing is what the front knows of a client's connection beside its sockets, as one process of a node tells it to
// another. Of an established session there is a host's side; any other has sent no whole stream header yet.
type Standing struct {
	Conn   loop.ConnectionState `cbor:"1,keyasint"`
	In     Stream               `cbor:"2,keyasint"`
	To     string               `cbor:"3,keyasint,omitempty"`
	Host   *Host                `cbor:"4,keyasint,omitempty"`
	Until  int64                `cbor:"5,keyasint,omitempty"` // Unix time in ns by which the header must be there, for releases without Left
	Left   int64                `cbor:"8,keyasint,omitempty"` // ns until then
	Opened bool                 `cbor:"6,keyasint,omitempty"` // the client waits for a stream header

	Resumes *sessions.Session `cbor:"7,keyasint,omitempty"` // that its client can resume
}

// Host is the host's side of an established session.
type Host struct {
	Conn   loop.ConnectionState `cbor:"1,keyasint"`
	In     Stream               `cbor:"2,keyasint"`
	Inside bool                 `cbor:"3,keyasint,omitempty"` // an unfinished stanza has been passed on
}

func (s *scanner) stream() Stream {
	return Stream{s.part, s.stack, s.prefix, s.size, s.started, s.ended, s.restart}
}

func (f *Front) scanner(s Stream) scanner {
	return scanner{most: f.limits.Stanza, part: s.Part, stack: s.Stack, prefix: s.Prefix, size: s.Size, started: s.Started, ended: s.Ended, restart: s.Restart}
}

// check says what is wrong with a scanner that another process told of.
func (f *Front) check(s Stream) error {
	if len(s.Part) > f.limits.Stanza || len(s.Stack) > mostDepth || s.Size < 0 || s.Size > f.limits.Stanza+len(s.Part) {
		return errors.New("a stream that this node's limits don't allow")
	}
	return nil
}

// Detach takes both sides of an established session off the loop. One that is about to leave stays.
func (s *session) Detach() (fds []int, state any, ok bool) {
	h := s.upstream
	if s.layered { // keys of TLS can't be told, and messages of WebSocket may be in the middle
		return nil, nil, false
	}
	if s.over || !s.open || s.leaving || h == nil || h.over || len(h.held) > 0 {
		return nil, nil, false
	}
	st := Standing{In: s.in.stream(), To: s.to, Opened: s.headerDue, Host: &Host{In: h.in.stream(), Inside: h.passedPart}}
	if known, ok := s.front.sessions.Find(s.front.loop.Now(), s.sm); ok {
		st.Resumes = &known
	}
	fds = make([]int, 2)
	if fds[0], st.Conn, ok = s.raw.Detach(); !ok {
		return nil, nil, false
	}
	if fds[1], st.Host.Conn, ok = h.conn.Detach(); !ok {
		s.raw.Reattach()
		return nil, nil, false
	}
	return fds, st, true
}

// Reattach has a lent session go on.
func (s *session) Reattach() {
	s.raw.Reattach()
	if s.upstream != nil {
		s.upstream.conn.Reattach()
	}
}

// Release lets go of a lent session that another process has.
func (s *session) Release() {
	delete(s.front.owners, s.sm) // it is the other process's to know of
	s.front.sessions.Forget(s.sm)
	s.sm = sessions.Key{}
	s.done(trace.Transferred)
	s.raw.Release()
	if h := s.upstream; h != nil {
		h.over = true
		h.conn.Release()
	}
}

// Idle is a connection whose stream header has not come whole.
type Idle struct{ s *session }

// Idle are the connections whose stream header has not come whole, the oldest first.
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
	if s.over || s.request != nil || s.clear || s.layered {
		return nil, nil, false
	}
	fd, conn, ok := s.raw.Detach()
	if !ok {
		return nil, nil, false
	}
	s.cancelTimer()
	return []int{fd}, Standing{Conn: conn, In: s.in.stream(), Until: s.until.UnixNano(),
		Left: loop.TimeLeft(s.front.loop.Now(), s.until)}, true
}

// Reattach has a lent connection go on.
func (i Idle) Reattach() {
	i.s.Reattach()
	i.s.due(i.s.until)
}

// Release lets go of a lent connection that another process has.
func (i Idle) Release() { i.s.Release() }

// Hold checks a connection of another process whole; what it returns has it go on here. read reads what the other front told.
func (f *Front) Hold(core *edge.Core, open *edge.ConnectionState, read func(into any) error, fds []int) (restore func(), err error) {
	var st Standing
	if err := read(&st); err != nil {
		return nil, err
	}
	want := 1
	if st.Host != nil {
		want = 2
	}
	err = f.check(st.In)
	if st.Host != nil && err == nil {
		err = f.check(st.Host.In)
	}
	switch {
	case err != nil:
		return nil, err
	case len(fds) != want:
		return nil, fmt.Errorf("%d sockets of a connection that has %d", len(fds), want)
	case (open != nil) != (st.Host != nil) || st.Resumes != nil && (st.Host == nil || st.Resumes.ID == "" || st.Resumes.Host == ""):
		return nil, errors.New("half a session")
	case open == nil:
		return func() { f.restoreIdle(st, fds[0]) }, nil
	}
	return func() { f.restore(core, *open, st, fds) }, nil
}

func (f *Front) restore(core *edge.Core, from edge.ConnectionState, st Standing, fds []int) {
	s := &session{front: f, in: f.scanner(st.In), to: st.To, committed: true, open: true, headerDue: st.Opened}
	s.request, s.attempt = core.Adopt(from, s)
	h := &upstreamRequest{session: s, attempt: s.attempt, in: f.scanner(st.Host.In), up: true, passedPart: st.Host.Inside}
	s.upstream = h
	h.conn = f.loop.Restore(fds[1], st.Host.Conn, h)
	s.attempt.Resume(h)
	if st.Resumes != nil {
		s.user = st.Resumes.User
		s.stands(*st.Resumes)
	}
	s.raw = f.loop.Restore(fds[0], st.Conn, s)
	s.conn, s.guest = s.raw, f.door.Restore(f.loop.Now(), s.raw.Peer, f.named(s.domain()))
	if len(st.Conn.Out) == 0 { // no side waits for what is with the kernel already
		h.conn.Resume()
	}
	if len(st.Host.Conn.Out) == 0 {
		s.conn.Resume()
	}
}

func (f *Front) restoreIdle(st Standing, fd int) {
	f.Answers.Sessions++
	s := &session{front: f, in: f.scanner(st.In), headerDue: true}
	s.raw = f.loop.Restore(fd, st.Conn, s)
	s.conn, s.guest = s.raw, f.door.Restore(f.loop.Now(), s.raw.Peer, "")
	s.raw.EnterIdleQueue()
	s.due(loop.TimeFromLeft(f.loop.Now(), st.Left, st.Until, f.limits.HeaderTime))
}
