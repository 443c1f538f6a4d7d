package xmpp

import (
	"errors"
	"fmt"

	"spurwinch/internal/edge"
	"spurwinch/internal/loop"
	resumable "spurwinch/internal/session"
	"spurwinch/internal/trace"
)

// Errors in the state of a connection that another process has sent.
var (
	// ErrStreamOverLimits reports a stream that exceeds this node's limits.
	ErrStreamOverLimits = errors.New("stream exceeds this node's limits")
	// ErrSocketCount reports a connection that was sent with too few or too many sockets.
	ErrSocketCount = errors.New("wrong number of sockets")
	// ErrIncompleteSession reports a state whose client's side and server's side don't match.
	ErrIncompleteSession = errors.New("incomplete session")
)

// ScannerState is the encoded state of a scanner.
type ScannerState struct {
	Pending  []byte   `cbor:"1,keyasint,omitempty"` // bytes of an unfinished token
	Elements []string `cbor:"2,keyasint,omitempty"` // names of the open elements, the root first
	Prefix   string   `cbor:"3,keyasint,omitempty"`
	Size     int      `cbor:"4,keyasint,omitempty"`
	Started  bool     `cbor:"5,keyasint,omitempty"`
	Ended    bool     `cbor:"6,keyasint,omitempty"`
	Restart  bool     `cbor:"7,keyasint,omitempty"`
}

// ConnectionState is the front's state of a client's connection, which one process of a node sends to another at a hot
// restart. An established session also has the server's side. The client of any other connection has not sent a
// complete stream header yet.
type ConnectionState struct {
	Conn           loop.ConnectionState `cbor:"1,keyasint"`
	Received       ScannerState         `cbor:"2,keyasint"`
	Domain         string               `cbor:"3,keyasint,omitempty"` // as the client wrote it in its stream header
	Server         *ServerState         `cbor:"4,keyasint,omitempty"` // nil if no session is established
	HeaderDeadline int64                `cbor:"5,keyasint,omitempty"` // Unix ns, used if HeaderTimeLeft is 0
	HeaderTimeLeft int64                `cbor:"8,keyasint,omitempty"` // ns until that deadline
	HeaderPending  bool                 `cbor:"6,keyasint,omitempty"` // the client is waiting for a stream header

	Resumable *resumable.Session `cbor:"7,keyasint,omitempty"` // the session that the client can resume, if any
}

// ServerState is the server's side of an established session.
type ServerState struct {
	Conn      loop.ConnectionState `cbor:"1,keyasint"`
	Received  ScannerState         `cbor:"2,keyasint"`
	MidStanza bool                 `cbor:"3,keyasint,omitempty"` // an unfinished stanza has been forwarded
}

// state returns the state that another process needs to continue the scan.
func (s *scanner) state() ScannerState {
	return ScannerState{
		Pending: s.pending, Elements: s.elements, Prefix: s.prefix, Size: s.stanzaBytes,
		Started: s.started, Ended: s.ended, Restart: s.mayRestart,
	}
}

// restoreScanner returns a scanner with the given state, which must have passed checkStream.
func (f *Front) restoreScanner(state ScannerState) scanner {
	return scanner{
		maxBytes:    f.limits.MaxStanzaBytes,
		pending:     state.Pending,
		elements:    state.Elements,
		prefix:      state.Prefix,
		stanzaBytes: state.Size,
		started:     state.Started,
		ended:       state.Ended,
		mayRestart:  state.Restart,
	}
}

// checkStream checks the state of another process's scanner against this node's limits.
func (f *Front) checkStream(state ScannerState) error {
	maxBytes := f.limits.MaxStanzaBytes
	isSizeValid := state.Size >= 0 && state.Size <= maxBytes+len(state.Pending)
	if len(state.Pending) > maxBytes || len(state.Elements) > MaxDepth || !isSizeValid {
		return ErrStreamOverLimits
	}
	return nil
}

// Detach removes both sides of an established session from the event loop. It refuses a session that uses TLS, whose
// keys can't be passed on, a session that uses WebSocket, whose messages may be incomplete, and a session that is about
// to end.
func (s *clientSession) Detach() (fds []int, state any, ok bool) {
	server := s.upstream
	if s.layered || s.isEnding() || !s.established {
		return nil, nil, false
	}
	if server == nil || server.finished || len(server.unforwarded) > 0 {
		return nil, nil, false
	}
	connectionState := ConnectionState{
		Received: s.received.state(), Domain: s.domainName, HeaderPending: s.headerPending,
		Server: &ServerState{Received: server.received.state(), MidStanza: server.partialStanzaForwarded},
	}
	if known, ok := s.front.resumable.Find(s.front.loop.Now(), s.key); ok {
		connectionState.Resumable = &known
	}
	fds = make([]int, 2)
	fds[0], connectionState.Conn, ok = s.socket.Detach()
	if !ok {
		return nil, nil, false
	}
	fds[1], connectionState.Server.Conn, ok = server.conn.Detach()
	if !ok {
		s.socket.Reattach()
		return nil, nil, false
	}
	s.detached = true
	return fds, connectionState, true
}

// isEnding reports whether the session has ended, or ends without any further event.
func (s *clientSession) isEnding() bool { return s.finished || s.migrating || s.pendingFailure != nil }

// Reattach adds a detached session to the event loop again. A stream error that became pending meanwhile ends it next.
func (s *clientSession) Reattach() {
	s.detached = false
	s.socket.Reattach()
	if s.upstream != nil {
		s.upstream.conn.Reattach()
	}
	if s.pendingFailure != nil {
		s.front.loop.At(s.front.loop.Now(), s.failPending)
	}
}

// Release closes this process's descriptors of a detached session that another process has taken over.
func (s *clientSession) Release() {
	if s.front.connectedSessions[s.key] == s { // otherwise another connection has resumed the session meanwhile
		delete(s.front.connectedSessions, s.key)
		s.front.resumable.Transferred(s.key)
	}
	s.key = resumable.Key{}
	s.finish(trace.Transferred)
	s.socket.Release()
	if s.upstream != nil {
		s.upstream.finished = true
		s.upstream.conn.Release()
	}
}

// IdleConnection is a connection whose stream header has not been received completely.
type IdleConnection struct{ session *clientSession }

// IdleConnections returns the connections whose stream header has not been received completely, the oldest first.
func (f *Front) IdleConnections() []IdleConnection {
	var connections []IdleConnection
	f.loop.EachIdle(func(handler loop.Handler) {
		session, ok := handler.(*clientSession)
		if ok && session.front == f && !session.finished && session.request == nil {
			connections = append(connections, IdleConnection{session})
		}
	})
	return connections
}

// Detach removes the connection from the event loop.
func (i IdleConnection) Detach() (fds []int, state any, ok bool) {
	session := i.session
	if session.isEnding() || session.request != nil || session.awaitsStartTLS || session.layered {
		return nil, nil, false
	}
	fd, conn, ok := session.socket.Detach()
	if !ok {
		return nil, nil, false
	}
	session.stopTimer()
	session.detached = true
	return []int{fd}, ConnectionState{
		Conn:           conn,
		Received:       session.received.state(),
		HeaderDeadline: session.headerDeadline.UnixNano(),
		HeaderTimeLeft: loop.TimeLeft(session.front.loop.Now(), session.headerDeadline),
	}, true
}

// Reattach adds a detached connection to the event loop again.
func (i IdleConnection) Reattach() {
	i.session.Reattach()
	i.session.awaitHeader(i.session.headerDeadline)
}

// Release closes this process's descriptor of a detached connection that another process has taken over.
func (i IdleConnection) Release() { i.session.Release() }

// PrepareRestore decodes the state of another process's connection with readState and checks it completely. It returns
// a function that restores the connection in this process. The descriptors fds are those of the client's side and, for
// an established session, of the server's side. The argument coreState is the core's state of an established session,
// and nil for any other connection.
func (f *Front) PrepareRestore(
	core *edge.Core, coreState *edge.ConnectionState, readState func(into any) error, fds []int,
) (restore func(), err error) {
	var state ConnectionState
	if err := readState(&state); err != nil {
		return nil, err
	}
	if err := f.checkState(state, coreState != nil, len(fds)); err != nil {
		return nil, err
	}
	if coreState == nil {
		return func() { f.restoreIdle(state, fds[0]) }, nil
	}
	return func() { f.restoreSession(core, *coreState, state, fds) }, nil
}

// checkState checks that a connection's state conforms to this node's limits and that its parts are consistent.
func (f *Front) checkState(state ConnectionState, established bool, sockets int) error {
	if err := f.checkStream(state.Received); err != nil {
		return err
	}
	wantSockets := 1
	if state.Server != nil {
		wantSockets = 2
		if err := f.checkStream(state.Server.Received); err != nil {
			return err
		}
	}
	if sockets != wantSockets {
		return fmt.Errorf("got %d sockets of a connection, want %d: %w", sockets, wantSockets, ErrSocketCount)
	}
	if established != (state.Server != nil) {
		return ErrIncompleteSession
	}
	if resumed := state.Resumable; resumed != nil && (state.Server == nil || resumed.ID == "" || resumed.Server == "") {
		return ErrIncompleteSession
	}
	return nil
}

// restoreSession continues an established session of another process.
func (f *Front) restoreSession(core *edge.Core, coreState edge.ConnectionState, state ConnectionState, fds []int) {
	session := &clientSession{
		front:         f,
		received:      f.restoreScanner(state.Received),
		domainName:    state.Domain,
		committed:     true,
		established:   true,
		headerPending: state.HeaderPending,
	}
	session.request, session.attempt = core.Adopt(coreState, session)
	session.upstream = &upstreamRequest{
		session: session, attempt: session.attempt, received: f.restoreScanner(state.Server.Received), begun: true,
		partialStanzaForwarded: state.Server.MidStanza,
	}
	session.upstream.conn = f.loop.Restore(fds[1], state.Server.Conn, session.upstream)
	session.attempt.SetUpstream(session.upstream)
	if state.Resumable != nil {
		session.recordAdopted(*state.Resumable)
	}
	session.restoreClient(fds[0], state.Conn, f.configuredName(session.domainKey()))
	// If bytes are still to be written to either side, OnDrained resumes reading from the other side once they are in
	// the kernel.
	if len(state.Conn.Out) == 0 {
		session.upstream.conn.Resume()
	}
	if len(state.Server.Conn.Out) == 0 {
		session.client.Resume()
	}
}

// restoreIdle continues a connection of another process whose stream header has not been received completely.
func (f *Front) restoreIdle(state ConnectionState, fd int) {
	f.Answers.Sessions++
	session := &clientSession{front: f, received: f.restoreScanner(state.Received), headerPending: true}
	session.restoreClient(fd, state.Conn, "")
	session.socket.EnterIdleQueue()
	deadline := loop.TimeFromLeft(f.loop.Now(), state.HeaderTimeLeft, state.HeaderDeadline, f.limits.HeaderTimeout)
	session.awaitHeader(deadline)
}

// restoreClient restores the client's side of a connection of another process.
func (s *clientSession) restoreClient(fd int, state loop.ConnectionState, configuredDomain string) {
	s.socket = s.front.loop.Restore(fd, state, s)
	s.client = s.socket
	s.admission = s.front.admission.Restore(s.front.loop.Now(), s.socket.Peer, configuredDomain)
	s.accountBuffers()
}
