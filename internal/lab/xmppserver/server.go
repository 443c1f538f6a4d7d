// Package xmppserver provides an XMPP server and client for tests and measurements, written from the published
// specifications (RFC 6120, XEP-0198, XEP-0386, XEP-0388). The server accepts any user, binds
// resources, keeps sessions that can be resumed, and answers each request.
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

// SCRAM as the server and its clients use it.
const (
	scramMechanism = "SCRAM-SHA-1"
	scramChallenge = "cj1jbGllbnRub25jZXNlcnZlcm5vbmNlLHM9UVNYQ1IrUTZzZWs4YmY5MixpPTQwOTY=" // nonce, salt, iterations
)

// domain is the XMPP domain of the server.
const domain = "farm.example"

// defaultResumeSeconds is the value of Server.ResumeSeconds for a new server.
const defaultResumeSeconds = 60

// Server is an XMPP server for tests. Its exported fields must be set before the first client connects.
type Server struct {
	Addr          string
	ResumeSeconds int // resumption timeout in seconds that the server announces to clients
	// SeeOther is the address to which the server redirects clients. If it is empty, the server serves them itself.
	SeeOther string

	name     string
	listener net.Listener

	mu       sync.Mutex
	sessions map[string]*session // by ID
	conns    map[net.Conn]bool   // open connections
	count    Count
	lastID   int

	rejectsLogins bool
}

// Count holds the number of events of each kind that a server has seen.
type Count struct{ Streams, Bound, Resumed, Failed, Answered int }

// session is a session that can be resumed. conn is nil if its stream has ended.
type session struct {
	user string
	conn net.Conn
}

// Listen starts a server on a free loopback port.
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

// Close stops the server and closes all its streams. It does not wait for the goroutines that serve them.
func (s *Server) Close() {
	_ = s.listener.Close() // the server ends even if this fails
	s.Restart()
}

// Restart closes all streams and forgets all sessions, as a restart of the process would.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close() // makes the goroutine that serves it end
	}
	clear(s.sessions)
}

// RejectLogins makes the server reject every further authentication by PLAIN or SCRAM.
func (s *Server) RejectLogins() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectsLogins = true
}

// acceptsLogins reports whether the server accepts authentications by PLAIN and SCRAM.
func (s *Server) acceptsLogins() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.rejectsLogins
}

// Count returns the event counts so far.
func (s *Server) Count() Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// updateCount calls update on the count under the lock.
func (s *Server) updateCount(update func(*Count)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.count)
}
