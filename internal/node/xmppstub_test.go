package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	bindRequest  = "<iq type='set' id='b'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>"
	bindResult   = "<iq type='result' id='b'/>"
	bindFeatures = "<stream:features><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></stream:features>"
)

// stubServers is a set of scripted XMPP servers. It records the attempts of each session and the bindings of each
// server.
type stubServers struct {
	mu         sync.Mutex
	attempts   map[string]int // by session
	current    map[string]int // attempts in progress, by session
	concurrent int            // number of attempts that overlapped another one of their session
	bindings   map[string]int // by server
}

var fromAttribute = regexp.MustCompile(`from='([^']*)'`)

// stubServer is one server. stop closes its connections and makes it reject new ones until start.
type stubServer struct {
	servers     *stubServers
	name        string
	addr        string
	streamError string // sent instead of features; empty: none

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func (s *stubServers) newServer(t *testing.T, name string) *stubServer {
	t.Helper()
	server := &stubServer{servers: s, name: name, addr: "127.0.0.1:0", conns: map[net.Conn]bool{}}
	server.start(t)
	t.Cleanup(server.stop)
	return server
}

func (s *stubServer) start(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		t.Error(err)
		return
	}
	s.mu.Lock()
	s.listener = listener
	s.addr = listener.Addr().String()
	s.mu.Unlock()
	go s.acceptAll(listener)
}

func (s *stubServer) acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// stop resets all connections, like a process that is killed.
func (s *stubServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close() // stop may run twice; the second Close fails
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails if the connection has already ended
		}
		_ = conn.Close() // as above
		delete(s.conns, conn)
	}
}

// readUntil reads up to the end of the next tag with the given name.
func readUntil(reader *bufio.Reader, tag string) (string, error) {
	var got strings.Builder
	for {
		part, err := reader.ReadString('>')
		got.WriteString(part)
		if err != nil || strings.Contains(part, tag) {
			return got.String(), err
		}
	}
}

// serve answers one stream. It ignores a stream without a readable header because that has no session.
func (s *stubServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // stop may have closed it
	reader := bufio.NewReader(conn)
	head, err := readUntil(reader, "<stream:stream")
	from := fromAttribute.FindStringSubmatch(head)
	if err != nil || from == nil {
		return
	}
	session := from[1]
	s.servers.beginAttempt(session)
	defer s.servers.endAttempt(session)
	send(conn, "<stream:stream from='farm.example' id='x' version='1.0' "+xmppNamespaces+">")
	if s.streamError != "" {
		send(conn, "<stream:error><%s xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error></stream:stream>",
			s.streamError)
		return
	}
	send(conn, bindFeatures)
	if _, err := readUntil(reader, "</iq>"); err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	s.servers.countBinding(s.name)
	send(conn, bindResult)
	_, _ = io.Copy(io.Discard, reader) // until the connection ends, with or without an error
}

// beginAttempt records the start of an attempt, and whether it overlaps another attempt of the same session.
func (s *stubServers) beginAttempt(session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[session]++
	s.current[session]++
	// The node has ended the previous attempt before this one, but the goroutine that serves the previous attempt may
	// notice that only after this attempt has begun. Therefore wait for it for at most 1 s.
	for limit := time.Now().Add(time.Second); s.current[session] > 1 && time.Now().Before(limit); {
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
		s.mu.Lock()
	}
	if s.current[session] > 1 {
		s.concurrent++
	}
}

func (s *stubServers) endAttempt(session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current[session]--
}

func (s *stubServers) countBinding(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bindings[server]++
}

// runSession plays a client until stop is closed. It returns everything that the client received up to its answer, and
// what it received afterwards.
func runSession(addr, id string, stop <-chan struct{}) (answer, afterAnswer string, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = conn.Close() }() // the test checks only what was read
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		return "", "", err
	}
	reader := bufio.NewReader(conn)
	send(conn, "<stream:stream from='%s' to='farm.example' version='1.0' "+xmppNamespaces+">", id)
	for {
		part, err := reader.ReadString('>')
		answer += part
		switch {
		case err != nil:
			return answer, "", err
		case strings.HasSuffix(answer, "</stream:features>"):
			send(conn, bindRequest)
		case strings.HasSuffix(answer, "</stream:stream>"):
			rest, err := io.ReadAll(reader)
			return answer, string(rest), err
		case strings.HasSuffix(answer, bindResult):
			select {
			case <-stop:
			case <-time.After(testTimeout):
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // fails if the node has already ended the connection
			}
			rest, err := io.ReadAll(reader)
			return answer, string(rest), err
		}
	}
}

// stubFile returns the operator's file for a set of servers. draining is the name of the draining server; empty: none.
func stubFile(servers []*stubServer, draining string) string {
	var file strings.Builder
	file.WriteString("[[listener]]\naddr = \"127.0.0.1:0\"\nprotocol = \"xmpp\"\n" +
		"[[class]]\nname = \"c\"\npatience = \"10s\"\n[[domain]]\nname = \"farm.example\"\ncluster = \"k\"\n" +
		"[[cluster]]\nname = \"k\"\nsessions = 400\nleave = \"300ms\"\n")
	for _, server := range servers {
		fmt.Fprintf(&file, "[[cluster.host]]\nid = %q\naddr = %q\n", server.name, server.addr)
		if server.name == draining {
			file.WriteString("state = \"draining\"\n")
		}
		if server.name == "cold" {
			fmt.Fprintf(&file, "started = %s\n", time.Now().UTC().Format(time.RFC3339))
		}
	}
	return file.String()
}
