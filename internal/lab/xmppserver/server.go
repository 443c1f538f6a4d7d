// Package xmppserver is a test server and client of XMPP, written from the published specifications (RFC 6120,
// XEP-0198, XEP-0386, XEP-0388): the server accepts any user, binds, keeps sessions that can be resumed, and answers
// each request. It serves tests and measurements only.
package xmppserver

import (
	"net"
	"sync"
)

// XML namespaces of the protocol.
const (
	clientNS = "jabber:client"
	streamNS = "http://etherx.jabber.org/streams"
	saslNS   = "urn:ietf:params:xml:ns:xmpp-sasl"
	sasl2NS  = "urn:xmpp:sasl:2"
	bindNS   = "urn:ietf:params:xml:ns:xmpp-bind"
	bind2NS  = "urn:xmpp:bind:0"
	smNS     = "urn:xmpp:sm:3" // stream management
)

// domain is the one that the server serves.
const domain = "farm.example"

// defaultResumeSeconds is Server.ResumeSeconds of a new server.
const defaultResumeSeconds = 60

// Server is a test server. Its exported fields are set before the first client connects.
type Server struct {
	Addr          string
	ResumeSeconds int // seconds that a session can be resumed, as clients are told
	// SeeOther is the address that clients are sent to; empty: they are served here.
	SeeOther string

	name     string
	listener net.Listener

	mu       sync.Mutex
	sessions map[string]*session // by their ids
	conns    map[net.Conn]bool   // open ones
	count    Count
	lastID   int
}

// Count is how often a server has seen each event.
type Count struct{ Streams, Bound, Resumed, Failed, Answered int }

// session is a session that can be resumed; conn is nil where its stream has ended.
type session struct {
	user string
	conn net.Conn
}

// Listen starts a server on a free port of loopback.
func Listen(name string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &Server{
		Addr:          listener.Addr().String(),
		ResumeSeconds: defaultResumeSeconds,
		name:          name,
		listener:      listener,
		sessions:      map[string]*session{},
		conns:         map[net.Conn]bool{},
	}
	go server.accept()
	return server, nil
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.count.Streams++
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// Close ends the server and all its streams. It does not wait for the goroutines that serve them.
func (s *Server) Close() {
	_ = s.listener.Close() // it is over either way
	s.Restart()
}

// Restart ends all streams and forgets all sessions, as a process that starts anew.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close() // its goroutine notices
	}
	clear(s.sessions)
}

// Count returns the events so far.
func (s *Server) Count() Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// updateCount changes the count under the lock.
func (s *Server) updateCount(update func(*Count)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.count)
}
