package downstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/choice"
	"spurwinch/internal/edge"
	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
	"spurwinch/internal/platform/upstream"
	"spurwinch/internal/simwire"
)

const (
	openLine   = "OPEN 01 01 c=chat,d=2000"
	ioTimeout  = 20 * time.Second // limit of each wait in a test
	closeDelay = time.Millisecond // time for a close on the loopback interface to reach the peer's socket
)

// testNode is a front with its core on a loop that a test can block. One poll then reports everything that the test
// wrote to sockets in the meantime. A test fails if the race that it sets up did not take place.
type testNode struct {
	t            *testing.T
	loop         *loop.Loop
	core         *edge.Core
	front        *Front
	addr         string
	clients      chan *client
	accepted     chan serverConn
	peerMessages chan peerMessage
}

// peerMessage is a message that the node sends to another node.
type peerMessage struct {
	peer    int
	payload []byte
}

// serverConn is a connection that a server has accepted.
type serverConn struct {
	server choice.ServerID
	net.Conn
}

// newTestNode runs a front with the given number of servers. changes are pairs of a text in the settings and the text
// that replaces it.
func newTestNode(t *testing.T, servers int, changes ...string) *testNode {
	t.Helper()
	return newTestNodeOnKernel(t, loop.Linux{}, servers, changes...)
}

// newTestNodeOnKernel is newTestNode with a kernel that a test supplies.
func newTestNodeOnKernel(t *testing.T, kernel loop.Kernel, servers int, changes ...string) *testNode {
	t.Helper()
	eventLoop, err := loop.NewWithKernel(kernel)
	if err != nil {
		t.Fatal(err)
	}
	node := &testNode{
		t:            t,
		loop:         eventLoop,
		clients:      make(chan *client, 8),
		accepted:     make(chan serverConn, 8),
		peerMessages: make(chan peerMessage, 64),
	}
	node.newFront(changes)
	node.listen()
	entries := make([]edge.ServerEntry, 0, servers)
	for index := range servers {
		entries = append(entries, node.startServer(choice.ServerID(fmt.Sprint("h", index))))
	}
	eventLoop.AfterCallback(node.core.Flush)
	node.core.Start(entries)
	node.run()
	return node
}

// newFront creates the front and its core. Load reports are off unless the changes enable them.
func (n *testNode) newFront(changes []string) {
	n.t.Helper()
	changes = append(changes, "REPORTS", "off")
	settings, err := simwire.DecodeSettings([]byte(strings.NewReplacer(changes...).Replace(transcript.Settings)))
	if err != nil {
		n.t.Fatal(err)
	}
	settings.DelaysObserved = false
	servers := upstream.New(n.loop, settings.ReportFields)
	n.core, err = edge.New(edge.Options{
		Clock:         n.loop,
		Settings:      settings.Settings,
		Seed:          1,
		HealthChecker: servers,
		SendPeerMessage: func(peer int, payload []byte) {
			n.peerMessages <- peerMessage{peer, payload}
		},
	})
	if err != nil {
		n.t.Fatal(err)
	}
	n.front = New(Options{Loop: n.loop, Core: n.core, Upstream: servers, MaxConnections: 100})
	n.front.Adapt(settings.ClassByName, settings.TenantByName, settings.Classes)
}

// listen accepts clients for the front.
func (n *testNode) listen() {
	n.t.Helper()
	listener, err := n.loop.Listen("127.0.0.1:0", func(conn *loop.Conn) loop.Handler {
		handler := n.front.Accept(conn)
		accepted, ok := handler.(*client)
		if !ok {
			n.t.Errorf("Accept returned %T, want a client", handler)
			return nil
		}
		n.clients <- accepted
		return accepted
	})
	if err != nil {
		n.t.Fatal(err)
	}
	n.addr = listener.Addr.String()
}

// startServer starts a server that accepts connections, and returns its entry for the endpoint list.
func (n *testNode) startServer(id choice.ServerID) edge.ServerEntry {
	n.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	closeAtEnd(n.t, listener)
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			setDeadline(conn)
			n.accepted <- serverConn{id, conn}
		}
	}()
	return edge.ServerEntry{Addr: listener.Addr().String(), Server: choice.Server{ID: id, Size: 1}}
}

// run runs the loop until the test ends.
func (n *testNode) run() {
	done := make(chan struct{})
	go func() {
		defer close(done) // also if a function on the loop has ended the goroutine, see onLoop
		if err := n.loop.Run(); err != nil {
			n.t.Error("running the loop:", err)
		}
	}()
	n.t.Cleanup(func() {
		n.loop.Post(n.loop.Stop)
		<-done
		n.loop.Close()
	})
}

// onLoop runs a function on the loop, which handles no events in the meantime. If the function fails the test with
// FailNow, which ends the loop's goroutine, onLoop calls FailNow on the test's goroutine too.
func (n *testNode) onLoop(fn func()) {
	n.t.Helper()
	completed := make(chan bool, 1)
	n.loop.Post(func() {
		returned := false
		defer func() { completed <- returned }()
		fn()
		returned = true
	})
	if !<-completed {
		n.t.FailNow()
	}
}

// dialClient connects a client and returns its socket and the front's client.
func (n *testNode) dialClient() (net.Conn, *client) {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	closeAtEnd(n.t, conn)
	setDeadline(conn)
	return conn, <-n.clients
}

// waitDelivered waits until all bytes sent on a connection, and its FIN if there is one, are in the peer's socket.
func (n *testNode) waitDelivered(conn net.Conn) {
	n.t.Helper()
	if !delivered(conn, time.Now().Add(ioTimeout)) {
		n.t.Error("waiting for delivery: got bytes still in flight, want none; the race did not take place")
	}
}

// delivered reports whether the kernel's send queue of a connection becomes empty before the deadline.
func delivered(conn net.Conn, deadline time.Time) bool {
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return false
	}
	for time.Now().Before(deadline) {
		empty := false
		err := raw.Control(func(fd uintptr) {
			queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			empty = err == nil && queued == 0
		})
		if err == nil && empty {
			return true
		}
		time.Sleep(50 * time.Microsecond)
	}
	return false
}

// dialServer makes the front read a client's line and dial its server. It returns when the server has accepted the
// connection, which the loop doesn't know yet. It must be called on the loop.
func (n *testNode) dialServer(conn net.Conn, frontClient *client, text string) serverConn {
	n.t.Helper()
	send(conn, text+"\r\n")
	n.waitDelivered(conn)
	frontClient.conn.ReadAvailable()
	n.core.Flush()
	return n.acceptOnServer()
}

// onNextDial makes the loop run a function whenever the front has dialled another server for a client, before the loop
// knows that the connection is established.
func (n *testNode) onNextDial(frontClient *client, fn func()) {
	n.onLoop(func() {
		last := frontClient.server
		n.loop.AfterCallback(func() {
			if frontClient.server != last {
				last = frontClient.server
				fn()
			}
		})
	})
}

// acceptOnServer returns the next connection that a server accepts.
func (n *testNode) acceptOnServer() (conn serverConn) {
	n.t.Helper()
	select {
	case conn = <-n.accepted:
		closeAtEnd(n.t, conn)
	case <-time.After(ioTimeout):
		n.t.Fatal("waiting for a server to be dialled: got no connection in time")
	}
	return conn
}

// requireNothing checks that a server's connection ends by FIN without any byte.
func (n *testNode) requireNothing(conn net.Conn) {
	n.t.Helper()
	if received, err := io.ReadAll(conn); len(received) > 0 || err != nil {
		n.t.Errorf("reading at the server: got %q and error %v, want no bytes and no error", received, err)
	}
}

// requireLine checks that the next line on a connection begins with a prefix.
func (n *testNode) requireLine(conn net.Conn, prefix string) {
	n.t.Helper()
	if text, err := bufio.NewReader(conn).ReadString('\n'); !strings.HasPrefix(text, prefix) {
		n.t.Errorf("reading a line: got %q and error %v, want %s", text, err, prefix)
	}
}

// requireInFlight checks the number of requests in flight. It must be called on the loop.
func (n *testNode) requireInFlight(want int) {
	n.t.Helper()
	if got := n.core.InFlight(); got != want {
		n.t.Errorf("the race did not take place: got %d requests in flight, want %d", got, want)
	}
}

// send writes to a connection. It ignores errors, because the test then fails when the other side receives nothing.
func send(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// setDeadline keeps a test from waiting forever. Its error is ignored: it fails only on a closed connection, on which
// nothing waits.
func setDeadline(conn net.Conn) { _ = conn.SetDeadline(time.Now().Add(ioTimeout)) }

// closeAtEnd closes closer at the end of the test. It ignores the error, because the test may have closed it already.
func closeAtEnd(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = closer.Close() })
}

// disconnect is a way to end a connection.
type disconnect string

const (
	closed     disconnect = "close"
	halfClosed disconnect = "half-close"
	reset      disconnect = "reset"
)

// endConnection ends a connection and returns when the end has reached the peer's socket.
func (n *testNode) endConnection(conn net.Conn, how disconnect) {
	n.t.Helper()
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		n.t.Errorf("ending a connection: got a %T, want a TCP connection", conn)
		return
	}
	var err error
	switch how {
	case closed:
		err = tcpConn.Close()
	case halfClosed:
		err = tcpConn.CloseWrite()
		n.waitDelivered(conn)
	case reset:
		_ = tcpConn.SetLinger(0) // fails only on a closed connection, for which Close fails too
		err = tcpConn.Close()
	}
	if err != nil {
		n.t.Errorf("ending a connection (%s): %v", how, err)
	}
	if how != halfClosed {
		time.Sleep(closeDelay)
	}
}
