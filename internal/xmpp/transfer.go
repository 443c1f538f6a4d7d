package xmpp

import (
	"errors"
	"fmt"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	resumable "spurwinch/internal/session"
	"spurwinch/internal/trace"
)

// Errors of a connection's state that another process has sent.
var (
	// ErrStreamOverLimits is a stream that this node's limits don't allow.
	ErrStreamOverLimits = errors.New("a stream that this node's limits don't allow")
	// ErrSocketCount is a connection that came with fewer or more sockets than it has.
	ErrSocketCount = errors.New("wrong number of sockets")
	// ErrIncompleteSession is a state in which the client's and the server's side don't fit together.
	ErrIncompleteSession = errors.New("incomplete session")
)

// ScannerState is the state of a scanner.
type ScannerState struct {
	Pending  []byte   `cbor:"1,keyasint,omitempty"` // an unfinished token
	Elements []string `cbor:"2,keyasint,omitempty"` // names of the open elements, the root first
	Prefix   string   `cbor:"3,keyasint,omitempty"`
	Size     int      `cbor:"4,keyasint,omitempty"`
	Started  bool     `cbor:"5,keyasint,omitempty"`
	Ended    bool     `cbor:"6,keyasint,omitempty"`
	Restart  bool     `cbor:"7,keyasint,omitempty"`
}

// ConnectionState is what the front knows of a client's connection, as one process of a node sends it to another at a
// hot restart. An established session has a server's side; any other connection has not sent a whole stream header yet.
type ConnectionState struct {
	Conn           loop.ConnectionState `cbor:"1,keyasint"`
	Received       ScannerState         `cbor:"2,keyasint"`
	Domain         string               `cbor:"3,keyasint,omitempty"` // as the client wrote it in its stream header
	Server         *ServerState         `cbor:"4,keyasint,omitempty"` // nil: no session is established
	HeaderDeadline int64                `cbor:"5,keyasint,omitempty"` // Unix ns, read if HeaderTimeLeft is 0
	HeaderTimeLeft int64                `cbor:"8,keyasint,omitempty"` // until that deadline, in ns
	HeaderPending  bool                 `cbor:"6,keyasint,omitempty"` // the client waits for a stream header

	Resumable *resumable.Session `cbor:"7,keyasint,omitempty"` // that its client can resume
}

// ServerState is the server's side of an established session.
type ServerState struct {
	Conn      loop.ConnectionState `cbor:"1,keyasint"`
	Received  ScannerState         `cbor:"2,keyasint"`
	MidStanza bool                 `cbor:"3,keyasint,omitempty"` // an unfinished stanza has been forwarded
}

// state returns what another process needs to go on with the scanner.
func (s *scanner) state() ScannerState {
	return ScannerState{
		Pending: s.pending, Elements: s.elements, Prefix: s.prefix, Size: s.size,
		Started: s.started, Ended: s.ended, Restart: s.restart,
	}
}

// restoreScanner returns a scanner in a state that passed checkStream.
func (f *Front) restoreScanner(state ScannerState) scanner {
	return scanner{
		maxBytes: f.limits.MaxStanzaBytes,
		pending:  state.Pending,
		elements: state.Elements,
		prefix:   state.Prefix,
		size:     state.Size,
		started:  state.Started,
		ended:    state.Ended,
		restart:  state.Restart,
	}
}

// checkStream checks the state of a scanner of another process.
func (f *Front) checkStream(state ScannerState) error {
	maxBytes := f.limits.MaxStanzaBytes
	isSizeValid := state.Size >= 0 && state.Size <= maxBytes+len(state.Pending)
	if len(state.Pending) > maxBytes || len(state.Elements) > maxDepth || !isSizeValid {
		return ErrStreamOverLimits
	}
	return nil
}

// Detach takes both sides of an established session off the loop. A session below TLS or WebSocket stays: keys can't be
// passed on, and messages may be incomplete. So does one that is about to end.
func (s *clientSession) Detach() (fds []int, state any, ok bool) {
	server := s.upstream
	if s.layered || s.over || !s.established || s.migrating {
		return nil, nil, false
	}
	if server == nil || server.over || len(server.held) > 0 {
		return nil, nil, false
	}
	standing := ConnectionState{
		Received: s.received.state(), Domain: s.domainName, HeaderPending: s.headerPending,
		Server: &ServerState{Received: server.received.state(), MidStanza: server.partForwarded},
	}
	if known, ok := s.front.resumable.Find(s.front.loop.Now(), s.key); ok {
		standing.Resumable = &known
	}
	fds = make([]int, 2)
	fds[0], standing.Conn, ok = s.socket.Detach()
	if !ok {
		return nil, nil, false
	}
	fds[1], standing.Server.Conn, ok = server.conn.Detach()
	if !ok {
		s.socket.Reattach()
		return nil, nil, false
	}
	return fds, standing, true
}

// Reattach puts a detached session on the loop again.
func (s *clientSession) Reattach() {
	s.socket.Reattach()
	if s.upstream != nil {
		s.upstream.conn.Reattach()
	}
}

// Release closes this process's descriptors of a detached session that another process has taken.
func (s *clientSession) Release() {
	// The resumable session is the other process's to know.
	delete(s.front.owners, s.key)
	s.front.resumable.Forget(s.key)
	s.key = resumable.Key{}
	s.finish(trace.Transferred)
	s.socket.Release()
	if s.upstream != nil {
		s.upstream.over = true
		s.upstream.conn.Release()
	}
}

// IdleConnection is a connection whose stream header has not been received whole.
type IdleConnection struct{ session *clientSession }

// IdleConnections lists the connections whose stream header has not been received whole, the oldest first.
func (f *Front) IdleConnections() []IdleConnection {
	var connections []IdleConnection
	f.loop.EachIdle(func(handler loop.Handler) {
		session, ok := handler.(*clientSession)
		if ok && session.front == f && !session.over && session.request == nil {
			connections = append(connections, IdleConnection{session})
		}
	})
	return connections
}

// Detach takes the connection off the loop.
func (i IdleConnection) Detach() (fds []int, state any, ok bool) {
	session := i.session
	if session.over || session.request != nil || session.awaitsStartTLS || session.layered {
		return nil, nil, false
	}
	fd, conn, ok := session.socket.Detach()
	if !ok {
		return nil, nil, false
	}
	session.stopTimer()
	return []int{fd}, ConnectionState{
		Conn:           conn,
		Received:       session.received.state(),
		HeaderDeadline: session.headerDeadline.UnixNano(),
		HeaderTimeLeft: loop.TimeLeft(session.front.loop.Now(), session.headerDeadline),
	}, true
}

// Reattach puts a detached connection on the loop again.
func (i IdleConnection) Reattach() {
	i.session.Reattach()
	i.session.awaitHeader(i.session.headerDeadline)
}

// Release closes this process's descriptor of a detached connection that another process has taken.
func (i IdleConnection) Release() { i.session.Release() }

// PrepareRestore checks the whole state of a connection of another process, which readState decodes. The function that
// it returns restores the connection here. It takes the descriptors of the client's side and, of an established
// session, the server's; open is the core's state of such a session.
func (f *Front) PrepareRestore(
	core *edge.Core, open *edge.ConnectionState, readState func(into any) error, fds []int,
) (restore func(), err error) {
	var state ConnectionState
	if err := readState(&state); err != nil {
		return nil, err
	}
	if err := f.checkState(state, open != nil, len(fds)); err != nil {
		return nil, err
	}
	if open == nil {
		return func() { f.restoreIdle(state, fds[0]) }, nil
	}
	return func() { f.restoreSession(core, *open, state, fds) }, nil
}

// checkState checks a connection's state against this node's limits, and its parts against each other.
func (f *Front) checkState(state ConnectionState, established bool, sockets int) error {
	if err := f.checkStream(state.Received); err != nil {
		return err
	}
	wanted := 1
	if state.Server != nil {
		wanted = 2
		if err := f.checkStream(state.Server.Received); err != nil {
			return err
		}
	}
	if sockets != wanted {
		return fmt.Errorf("%d sockets of a connection that has %d: %w", sockets, wanted, ErrSocketCount)
	}
	if established != (state.Server != nil) {
		return ErrIncompleteSession
	}
	if resumed := state.Resumable; resumed != nil && (state.Server == nil || resumed.ID == "" || resumed.Server == "") {
		return ErrIncompleteSession
	}
	return nil
}

// restoreSession goes on with an established session of another process.
func (f *Front) restoreSession(core *edge.Core, open edge.ConnectionState, state ConnectionState, fds []int) {
	session := &clientSession{
		front:         f,
		received:      f.restoreScanner(state.Received),
		domainName:    state.Domain,
		committed:     true,
		established:   true,
		headerPending: state.HeaderPending,
	}
	session.request, session.attempt = core.Adopt(open, session)
	session.upstream = &upstreamRequest{
		session: session, attempt: session.attempt, received: f.restoreScanner(state.Server.Received), begun: true,
		partForwarded: state.Server.MidStanza,
	}
	session.upstream.conn = f.loop.Restore(fds[1], state.Server.Conn, session.upstream)
	session.attempt.Resume(session.upstream)
	if state.Resumable != nil {
		session.user = state.Resumable.User
		session.connected(*state.Resumable)
	}
	session.restoreClient(fds[0], state.Conn, f.configuredName(session.domain()))
	if len(state.Conn.Out) == 0 { // else the server's side is read once these bytes have gone to the kernel
		session.upstream.conn.Resume()
	}
	if len(state.Server.Conn.Out) == 0 {
		session.client.Resume()
	}
}

// restoreIdle goes on with a connection of another process whose stream header has not been received whole.
func (f *Front) restoreIdle(state ConnectionState, fd int) {
	f.Answers.Sessions++
	session := &clientSession{front: f, received: f.restoreScanner(state.Received), headerPending: true}
	session.restoreClient(fd, state.Conn, "")
	session.socket.EnterIdleQueue()
	deadline := loop.TimeFromLeft(f.loop.Now(), state.HeaderTimeLeft, state.HeaderDeadline, f.limits.HeaderTimeout)
	session.awaitHeader(deadline)
}

// restoreClient sets the client's side of a connection of another process.
func (s *clientSession) restoreClient(fd int, state loop.ConnectionState, configuredDomain string) {
	s.socket = s.front.loop.Restore(fd, state, s)
	s.client = s.socket
	s.admission = s.front.admission.Restore(s.front.loop.Now(), s.socket.Peer, configuredDomain)
}
