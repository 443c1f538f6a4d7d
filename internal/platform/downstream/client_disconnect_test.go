package downstream

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// maxAttemptDelay is the time after a client's disconnect within which the platform tolerates that an attempt begins.
// Failure messages state it; the tests are stricter and tolerate no attempt.
const maxAttemptDelay = 100 * time.Millisecond

// serverLine is a line that a server has received.
type serverLine struct {
	conn serverConn
	text string
}

// readServers returns the lines that all servers receive on all their connections.
func (n *testNode) readServers() chan serverLine {
	lines := make(chan serverLine, 64)
	go func() {
		for conn := range n.accepted {
			closeAtEnd(n.t, conn)
			go func() {
				for scanner := bufio.NewScanner(conn); scanner.Scan(); {
					lines <- serverLine{conn, scanner.Text()}
				}
			}()
		}
	}()
	return lines
}

// waitForLine returns the next line that begins with a word.
func (n *testNode) waitForLine(lines chan serverLine, word string) serverLine {
	n.t.Helper()
	for end := time.After(ioTimeout); ; {
		select {
		case received := <-lines:
			if strings.HasPrefix(received.text, word) {
				return received
			}
		case <-end:
			n.t.Fatalf("waiting for a server to receive %s: got no such line in time", word)
		}
	}
}

// requireNoAttempt checks that no server receives a request after the client has disconnected, and that no request is
// left in flight.
func (n *testNode) requireNoAttempt(lines chan serverLine, name string) {
	n.t.Helper()
	disconnected := time.Now()
	end := time.After(700 * time.Millisecond)
	for waiting := true; waiting; {
		select {
		case received := <-lines:
			if strings.HasPrefix(received.text, "OPEN") {
				n.t.Errorf("%s: got an attempt %v after the client disconnected, want none (%v are allowed)",
					name, time.Since(disconnected), maxAttemptDelay)
			}
		case <-end:
			waiting = false
		}
	}
	n.onLoop(func() {
		if inFlight := n.core.InFlight(); inFlight != 0 {
			n.t.Errorf("%s: got %d requests in flight, want 0", name, inFlight)
		}
	})
}

// pendingState is a state in which a request waits before its next attempt begins. reach brings a request into that
// state and returns a function that ends the wait. The function must be called on the loop, so that one poll can report
// the end of the wait together with the client's disconnect.
type pendingState struct {
	name     string
	changes  []string // changes to the settings: the last arguments of newTestNode
	openLine string
	reach    func(node *testNode, lines chan serverLine) (finish func())
}

var pendingStates = []pendingState{
	{"health check reply", []string{"REPORTS", "on_probe"}, openLine, untilHealthCheckReply},
	{"health check timeout", []string{"REPORTS", "on_probe"}, openLine, untilHealthCheckTimeout},
	{"retry after a rejection", nil, openLine, untilRejected},
	{"retry after a reset", nil, openLine, untilReset},
	{"retry after a timed out attempt", nil, "OPEN 01 01 c=chat,d=4000", untilAttemptTimeout},
	{"retry of a connection opened before the start", nil, "OPEN 01 01 c=chat,d=39000,at=h0", untilOpenAtRetry},
}

// untilHealthCheckReply waits until both servers get a health check. finish sends both replies.
func untilHealthCheckReply(node *testNode, lines chan serverLine) (finish func()) {
	first := node.waitForLine(lines, "STATS")
	second := node.waitForLine(lines, "STATS")
	return func() {
		for _, check := range []serverLine{first, second} {
			send(check.conn, "PONG utilization=0.1\r\n")
			node.waitDelivered(check.conn.Conn)
		}
	}
}

// untilHealthCheckTimeout waits until both servers get a health check. finish lets both time out.
func untilHealthCheckTimeout(node *testNode, lines chan serverLine) (finish func()) {
	node.waitForLine(lines, "STATS")
	node.waitForLine(lines, "STATS")
	return func() { time.Sleep(250 * time.Millisecond) } // blocks the loop past the timeout, so that its timer is late
}

// untilRejected waits until a server gets the request. finish makes that server reject it.
func untilRejected(node *testNode, lines chan serverLine) (finish func()) {
	attempt := node.waitForLine(lines, "OPEN")
	return func() {
		send(attempt.conn, "BUSY\r\n")
		node.waitDelivered(attempt.conn.Conn)
	}
}

// untilReset waits until a server gets the request. finish makes that server reset the connection.
func untilReset(node *testNode, lines chan serverLine) (finish func()) {
	attempt := node.waitForLine(lines, "OPEN")
	return func() { node.endConnection(attempt.conn.Conn, reset) }
}

// untilAttemptTimeout waits until a server gets the request. finish lets the attempt time out.
func untilAttemptTimeout(node *testNode, lines chan serverLine) (finish func()) {
	node.waitForLine(lines, "OPEN")
	return func() { time.Sleep(2500 * time.Millisecond) } // blocks the loop past the attempt's timeout
}

// untilOpenAtRetry waits until a server gets the request and makes it reject the request. finish waits for the end of
// the backoff before the retry.
func untilOpenAtRetry(node *testNode, lines chan serverLine) (finish func()) {
	attempt := node.waitForLine(lines, "OPEN")
	send(attempt.conn, "BUSY\r\n")                       // the request is retried after a backoff
	return func() { time.Sleep(400 * time.Millisecond) } // blocks the loop past the backoff
}

// TestPendingRequestGetsAttempt checks that each wait ends in an attempt if the client stays connected. This shows that
// in the tests below only the disconnect prevents the attempt.
func TestPendingRequestGetsAttempt(t *testing.T) {
	for _, state := range pendingStates {
		t.Run(state.name, func(t *testing.T) {
			t.Parallel()
			node := newTestNode(t, 2, state.changes...)
			lines := node.readServers()
			conn, _ := node.dialClient()
			send(conn, state.openLine+"\r\n")
			node.onLoop(state.reach(node, lines))
			node.waitForLine(lines, "OPEN")
		})
	}
}

// TestClientDisconnectsWhilePending lets the client disconnect, in each way, in each state in which its request waits.
// The same poll reports the end of the wait before the client's disconnect. No attempt may begin.
func TestClientDisconnectsWhilePending(t *testing.T) {
	for _, state := range pendingStates {
		for _, how := range []disconnect{closed, halfClosed, reset} {
			t.Run(state.name+", "+string(how), func(t *testing.T) {
				t.Parallel()
				node := newTestNode(t, 2, state.changes...)
				lines := node.readServers()
				conn, client := node.dialClient()
				send(conn, state.openLine+"\r\n")
				finish := state.reach(node, lines)
				node.onLoop(func() {
					node.requireInFlight(1)
					client.conn.Pause() // so that the poll reports the end of the wait first
					defer client.conn.Resume()
					finish()
					node.endConnection(conn, how)
				})
				node.requireNoAttempt(lines, state.name)
			})
		}
	}
}

// TestClientDisconnectsBeforePendingEnds lets the client disconnect some time before the wait ends, so that two
// different polls report the events. No attempt may begin.
func TestClientDisconnectsBeforePendingEnds(t *testing.T) {
	for _, state := range pendingStates {
		t.Run(state.name, func(t *testing.T) {
			t.Parallel()
			node := newTestNode(t, 2, state.changes...)
			lines := node.readServers()
			conn, _ := node.dialClient()
			send(conn, state.openLine+"\r\n")
			finish := state.reach(node, lines)
			node.endConnection(conn, closed)
			time.Sleep(10 * time.Millisecond)
			node.onLoop(finish)
			node.requireNoAttempt(lines, state.name)
		})
	}
}

// TestClientDisconnectsBeforeAccept lets a client connect, send its request and disconnect while the node gets no
// processor time, so that the node finds all these events at once. No attempt may begin.
func TestClientDisconnectsBeforeAccept(t *testing.T) {
	for _, how := range []disconnect{closed, halfClosed, reset} {
		for _, reports := range []string{"off", "on_probe"} {
			t.Run(string(how)+", reports "+reports, func(t *testing.T) {
				t.Parallel()
				node := newTestNode(t, 2, "REPORTS", reports)
				lines := node.readServers()
				node.onLoop(func() {
					conn, err := net.Dial("tcp", node.addr)
					if err != nil {
						t.Error(err)
						return
					}
					closeAtEnd(t, conn)
					send(conn, openLine+"\r\n")
					node.waitDelivered(conn)
					node.endConnection(conn, how)
				})
				node.requireNoAttempt(lines, string(how))
			})
		}
	}
}

// TestClientDisconnectsDuringPeerRequest lets a client disconnect while the node asks another node whether a server has
// capacity. Neither the other node's grant nor its silence may begin an attempt. If the client stays connected, the
// same grant must begin one.
func TestClientDisconnectsDuringPeerRequest(t *testing.T) {
	const nodes = 400
	const grant = 1<<4 | 4 // first byte of a reply: version 1 of the peer messages, kind 4 (reservation granted)
	for _, test := range []struct {
		name        string
		disconnects bool
		replied     bool
	}{
		{"client stays, grant received", false, true},
		{"client disconnects, grant received", true, true},
		{"client disconnects, no reply", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			node := newTestNode(t, 2, `"groupSize":1`, fmt.Sprintf(`"groupSize":%d`, nodes),
				`"mayTell":false`, `"mayTell":true`, "REPORTS", "on_probe")
			lines := node.readServers()
			conn, client := node.dialClient()
			send(conn, openLine+"\r\n")
			peerRequest := <-node.peerMessages
			node.onLoop(func() {
				node.requireInFlight(1)
				client.conn.Pause()
				defer client.conn.Resume()
				if test.disconnects {
					node.endConnection(conn, closed)
				}
				if test.replied {
					reply := []byte{grant, peerRequest.payload[1], peerRequest.payload[2], 1, 0}
					node.core.ReceivePeerMessage(peerRequest.peer, reply)
				} else {
					time.Sleep(200 * time.Millisecond) // blocks the loop past the reply's timeout
				}
			})
			if test.disconnects {
				node.requireNoAttempt(lines, test.name)
			} else {
				node.waitForLine(lines, "OPEN")
			}
		})
	}
}
