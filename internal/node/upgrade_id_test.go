package node

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"spurwinch/internal/lab/transcript"
)

// countingServer is a server that answers OPEN lines after a delay and counts them by id.
type countingServer struct {
	addr  string
	delay time.Duration

	mu    sync.Mutex
	opens map[string]int
}

func newCountingServer(t *testing.T, delay time.Duration) *countingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, listener)
	server := &countingServer{addr: listener.Addr().String(), delay: delay, opens: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	return server
}

// serve echoes the lines that follow the OPEN line.
func (s *countingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the connection may have ended
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	id := strings.Fields(line)[1]
	s.mu.Lock()
	s.opens[id]++
	s.mu.Unlock()
	time.Sleep(s.delay)
	send(conn, "UP %s\r\n", id)
	for err == nil {
		line, err = reader.ReadString('\n')
		send(conn, "%s", line)
	}
}

// opened returns the number of OPEN lines with an id.
func (s *countingServer) opened(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opens[id]
}

// platformClient is a client of the platform's protocol.
type platformClient struct {
	net.Conn
	reader *bufio.Reader
}

// connectTo connects a client that is accepted by one of the two processes that listen at the node's address.
func connectTo(t *testing.T, node *restartedNode, accepting, other *process) *platformClient {
	t.Helper()
	release := holdLoop(other)
	defer release()
	open := func(p *process) int { return p.loop.Open() }
	before := accepting.readInt(open)
	conn := dial(t, node.env["GW_LISTEN"])
	limitTime(t, conn)
	transcript.WaitFor(t, "the process accepts the client", func() bool { return accepting.readInt(open) > before })
	return &platformClient{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *platformClient) open(id string) { send(c, "OPEN %s 01 c=chat,d=4000\r\n", id) }

// readLine returns the next line, or the error.
func (c *platformClient) readLine() string {
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(line)
}

func requireLine(t *testing.T, what string, client *platformClient, want string) {
	t.Helper()
	if got := client.readLine(); got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

// newNodeWithTwoProcesses starts a node and its successor, which are both ready.
func newNodeWithTwoProcesses(t *testing.T, server *countingServer) *restartedNode {
	t.Helper()
	node := newRestartedNode(t, server.addr, 512)
	node.successor = node.start()
	return node
}

// TestIDOpenInOtherProcessIsRejected guards against one id in both processes of an upgrade: a request whose id a client
// of the other process has open must fail, and must not reach a server.
func TestIDOpenInOtherProcessIsRejected(t *testing.T) {
	for name, delay := range map[string]time.Duration{"established": 0, "being set up": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			server := newCountingServer(t, delay)
			node := newNodeWithTwoProcesses(t, server)
			processes := []*process{node.current, node.successor}
			for i, holder := range processes {
				id := fmt.Sprintf("a%d", i)
				first := connectTo(t, node, holder, processes[1-i])
				first.open(id)
				if delay == 0 {
					requireLine(t, "first client", first, "UP "+id)
				} else {
					transcript.WaitFor(t, "the request is at the server", func() bool { return server.opened(id) == 1 })
				}
				second := connectTo(t, node, processes[1-i], holder)
				second.open(id)
				requireLine(t, "second client, with the same id", second, "ERR")
				if delay > 0 {
					requireLine(t, "first client", first, "UP "+id)
				}
				send(first, "still here\r\n")
				requireLine(t, "first client", first, "still here")
				if opened := server.opened(id); opened != 1 {
					t.Errorf("OPEN lines of id %s: got %d, want 1", id, opened)
				}
			}
		})
	}
}

// TestSameIDInBothProcessesAtOnce lets two clients send one id at the same time, each to another process. One of them
// must be served and the other must fail.
func TestSameIDInBothProcessesAtOnce(t *testing.T) {
	server := newCountingServer(t, 0)
	node := newNodeWithTwoProcesses(t, server)
	for i := range 20 {
		id := fmt.Sprintf("b%d", i)
		clients := []*platformClient{
			connectTo(t, node, node.current, node.successor), connectTo(t, node, node.successor, node.current),
		}
		releases := []func(){holdLoop(node.current), holdLoop(node.successor)}
		for _, client := range clients {
			client.open(id)
		}
		for _, release := range releases {
			release()
		}
		answers := clients[0].readLine() + ", " + clients[1].readLine()
		if answers != "UP "+id+", ERR" && answers != "ERR, UP "+id || server.opened(id) != 1 {
			t.Errorf("id %s: got answers %q and %d OPEN lines, want one UP, one ERR and 1 line",
				id, answers, server.opened(id))
		}
	}
}

// TestIDIsFreeAfterItsConnection checks that an id can be used in the other process once its connection has ended, and
// that new ids are served in both processes.
func TestIDIsFreeAfterItsConnection(t *testing.T) {
	server := newCountingServer(t, 0)
	node := newNodeWithTwoProcesses(t, server)
	first := connectTo(t, node, node.successor, node.current)
	first.open("c1")
	requireLine(t, "first client", first, "UP c1")
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	transcript.WaitFor(t, "the connection has ended", func() bool {
		return node.successor.readInt(func(p *process) int { return p.platform.core.InFlight() }) == 0
	})
	second := connectTo(t, node, node.current, node.successor)
	second.open("c1")
	requireLine(t, "second client, with the id of a connection that has ended", second, "UP c1")
}

// TestHeldUpProcessDelaysOtherLittle checks that requests are served while the other process answers no question, and
// that connections are transferred afterwards.
func TestHeldUpProcessDelaysOtherLittle(t *testing.T) {
	server := newCountingServer(t, 0)
	node := newNodeWithTwoProcesses(t, server)
	clients := []*platformClient{
		connectTo(t, node, node.successor, node.current), connectTo(t, node, node.successor, node.current),
	}
	release := holdLoop(node.current)
	for i, client := range clients {
		sent := time.Now()
		client.open(fmt.Sprint("d", i))
		requireLine(t, "client", client, fmt.Sprint("UP d", i))
		if took := time.Since(sent); took > time.Second {
			t.Errorf("answer while the other process is held up: got it after %v, want it within 1 s", took)
		}
	}
	release()
	old := node.current
	old.loop.Post(old.Shutdown)
	node.endRestart()
	send(clients[0], "still here\r\n")
	requireLine(t, "client", clients[0], "still here")
}
