package faults

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
)

// serverReadBuffer is the size of the read buffer of each connection, in bytes.
const serverReadBuffer = 4096

// server is a fake of a platform's server that models only the number of its connections and their maximum. The servers
// of internal/lab/fakeserver also process jobs on simulated cores.
type server struct {
	id, zone string
	capacity int // connections
	harness  *harness
	listener net.Listener
	addr     string

	mu          sync.Mutex
	established int // connections of clients
	failure     Failure
	slowdown    float64 // factor on its reported load
	conns       map[net.Conn]bool
}

// newServer starts a server on a free port.
func (h *harness) newServer(id, zone string, capacity int) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &server{
		id:       id,
		zone:     zone,
		capacity: capacity,
		harness:  h,
		listener: listener,
		addr:     listener.Addr().String(),
		slowdown: 1,
		conns:    map[net.Conn]bool{},
	}
	go started.accept()
	return started, nil
}

// accept serves connections until the listener is closed.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// setFailure sets how the server fails from now on, and the factor on its reported load. FailureRefuses resets its open
// connections.
func (s *server) setFailure(failure Failure, slowdown float64) {
	s.mu.Lock()
	s.failure = failure
	s.slowdown = slowdown
	var broken []net.Conn
	if failure == FailureRefuses {
		for conn := range s.conns {
			broken = append(broken, conn)
		}
	}
	s.mu.Unlock()
	for _, conn := range broken {
		reset(conn)
	}
}

// connections returns the number of clients' connections.
func (s *server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.established
}

// current returns the server's failure and the load that it reports.
func (s *server) current() (failure Failure, load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure, float64(s.established) / float64(s.capacity) * s.slowdown
}

// track adds an open connection. It returns false if the server refuses connections.
func (s *server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == FailureRefuses {
		return false
	}
	s.conns[conn] = true
	return true
}

// untrack removes a connection that track has added.
func (s *server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// MaxConnections returns how many connections a server of the harness or the simulation accepts before it is full. That
// is a fifth more than the capacity to which its load reports relate.
func MaxConnections(capacity int) int { return capacity * 6 / 5 }

// establish accepts a client's connection. It returns false if the server is full.
func (s *server) establish() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.established >= MaxConnections(s.capacity) {
		return false
	}
	s.established++
	return true
}

// release removes a connection that establish has accepted.
func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.established--
}

// serverConn is one connection of a node to a server.
type serverConn struct {
	server *server
	conn   net.Conn
	id     string // of the request that it serves; empty if there is none
}

// serve serves one connection of a node until it ends.
func (s *server) serve(conn net.Conn) {
	if !s.track(conn) {
		reset(conn)
		return
	}
	served := &serverConn{server: s, conn: conn}
	defer func() {
		if served.id != "" {
			s.release()
		}
		s.untrack(conn)
		closeQuietly(conn)
	}()
	reader := bufio.NewReaderSize(conn, serverReadBuffer)
	for {
		line, err := reader.ReadString('\n')
		if err != nil || !served.answer(strings.TrimRight(line, "\r\n")) {
			return
		}
	}
}

// answer answers one line, and reports whether the connection continues.
func (c *serverConn) answer(line string) bool {
	failure, load := c.server.current()
	if failure == FailureSilent {
		return true
	}
	switch word, rest, _ := strings.Cut(line, " "); {
	case word == "STATS":
		return c.write("PONG latency_ms=1,util=%.3f,x0=%.3f\r\n", min(1, load), load)
	case word == "PING":
		return c.write("PONG\r\n")
	case word == "OPEN" && c.id == "":
		id, _, _ := strings.Cut(rest, " ")
		return c.open(id)
	case c.id != "":
		return c.write("%s\r\n", line)
	}
	return false
}

// open answers a request. It records the attempt's end before it sends the answer, since the node may try the request
// at another server as soon as it has the answer. So if the history shows two attempts at once, the node caused them.
func (c *serverConn) open(id string) bool {
	c.server.harness.record(Event{Kind: KindAttempt, ID: id, To: c.server.id})
	established := c.server.establish()
	c.server.harness.record(Event{Kind: KindAttemptEnd, ID: id, To: c.server.id})
	if !established {
		c.write("BUSY\r\n")
		return false
	}
	c.id = id
	return c.write("UP %s@%s\r\n", id, c.server.id)
}

// write writes to the node, and reports whether that succeeded.
func (c *serverConn) write(format string, args ...any) bool {
	_, err := fmt.Fprintf(c.conn, format, args...)
	return err == nil
}
