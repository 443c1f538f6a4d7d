package downstream

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// maxAttemptDelay is how long after a client's end an attempt may still begin.
const maxAttemptDelay = 100 * time.Millisecond

// serverLine is a line that a server has read.
type serverLine struct {
	conn serverConn
	text string
}

// readServers reads all that servers get, on all their connections.
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

// waitForLine is the next line that begins with a word.
func (n *testNode) waitForLine(lines chan serverLine, word string) serverLine {
	n.t.Helper()
	for end := time.After(ioTimeout); ; {
		select {
		case received := <-lines:
			if strings.HasPrefix(received.text, word) {
				return received
			}
		case <-end:
			n.t.Fatalf("no server gets %s", word)
		}
	}
}

// requireNoAttempt checks that no server gets a request after the client has gone, and that nothing of it is left.
func (n *testNode) requireNoAttempt(lines chan serverLine, what string) {
	n.t.Helper()
	gone := time.Now()
	end := time.After(700 * time.Millisecond)
	for waiting := true; waiting; {
		select {
		case received := <-lines:
			if strings.HasPrefix(received.text, "OPEN") {
				n.t.Errorf("%s: an attempt begins %v after the client has gone (%v are allowed)",
					what, time.Since(gone), maxAttemptDelay)
			}
		case <-end:
			waiting = false
		}
	}
	n.onLoop(func() {
		if inFlight := n.core.InFlight(); inFlight != 0 {
			n.t.Errorf("%s: %d requests in flight", what, inFlight)
		}
	})
}

// pendingState is one in which a request waits before an attempt of it begins. reach brings a request there and returns
// what ends the wait, which is to be called on the loop: the client's end is then ready in the same poll.
type pendingState struct {
	name     string
	changes  []string // of the settings
	openLine string
	reach    func(node *testNode, lines chan serverLine) (finish func())
}

var pendingStates = []pendingState{
	{"health check reply", []string{"REPORTS", "on_probe"}, openLine, untilHealthCheckReply},
	{"health check timeout", []string{"REPORTS", "on_probe"}, openLine, untilHealthCheckTimeout},
	{"retry after a rejection", nil, openLine, untilRejected},
	{"retry after a reset", nil, openLine, untilReset},
	{"retry after a timed out attempt", nil, "OPEN 01 01 c=chat,d=4000", untilAttemptTimeout},
	{"server of a standing connection", nil, "OPEN 01 01 c=chat,d=39000,at=h0", untilStandingRetry},
}

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

func untilHealthCheckTimeout(node *testNode, lines chan serverLine) (finish func()) {
	node.waitForLine(lines, "STATS")
	node.waitForLine(lines, "STATS")
	return func() { time.Sleep(250 * time.Millisecond) } // the loop is held up past the timeout, and its timer late
}

func untilRejected(node *testNode, lines chan serverLine) (finish func()) {
	attempt := node.waitForLine(lines, "OPEN")
	return func() {
		send(attempt.conn, "BUSY\r\n")
		node.waitDelivered(attempt.conn.Conn)
	}
}

func untilReset(node *testNode, lines chan serverLine) (finish func()) {
	attempt := node.waitForLine(lines, "OPEN")
	return func() { node.endConnection(attempt.conn.Conn, reset) }
}

func untilAttemptTimeout(node *testNode, lines chan serverLine) (finish func()) {
	node.waitForLine(lines, "OPEN")
	return func() { time.Sleep(2500 * time.Millisecond) } // the loop is held up past the attempt's time
}

func untilStandingRetry(node *testNode, lines chan serverLine) (finish func()) {
	attempt := node.waitForLine(lines, "OPEN")
	send(attempt.conn, "BUSY\r\n") // it is retried after a backoff
	return func() { time.Sleep(400 * time.Millisecond) }
}

// TestPendingRequestGetsAttempt has the client stay: each wait ends in an attempt, so that the tests below show what a
// disconnect does.
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

// TestClientDisconnectsWhilePending has a client disconnect in each state in which its request waits, in each way,
// while what ends the wait is ready in the same poll, named before the client's end: no attempt begins.
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
					client.conn.Pause() // so that the poll names what ends the wait first
					defer client.conn.Resume()
					finish()
					node.endConnection(conn, how)
				})
				node.requireNoAttempt(lines, state.name)
			})
		}
	}
}

// TestClientDisconnectsBeforePendingEnds has the client disconnect and the wait end some time later, each in a poll of
// its own.
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

// TestClientDisconnectsBeforeAccept has a client connect, send its request and disconnect while the node gets no
// processor time: the node finds all of it at once.
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

// TestClientDisconnectsDuringPeerRequest has a client disconnect while another node is asked whether a server has
// capacity: its grant, or its silence, begins no attempt. With the client still there the same grant does.
func TestClientDisconnectsDuringPeerRequest(t *testing.T) {
	const nodes = 400
	const grant = 1<<4 | 4 // the messages' version, and the reply's kind
	for _, test := range []struct {
		name        string
		disconnects bool
		replied     bool
	}{
		{"stays, and is answered", false, true},
		{"leaves, and is answered", true, true},
		{"leaves, and is not answered", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			node := newTestNode(t, 2, `"groupSize":1`, fmt.Sprintf(`"groupSize":%d`, nodes),
				`"mayTell":false`, `"mayTell":true`, "REPORTS", "on_probe")
			lines := node.readServers()
			conn, client := node.dialClient()
			send(conn, openLine+"\r\n")
			question := <-node.peerMessages
			node.onLoop(func() {
				node.requireInFlight(1)
				client.conn.Pause()
				defer client.conn.Resume()
				if test.disconnects {
					node.endConnection(conn, closed)
				}
				if test.replied {
					reply := []byte{grant, question.payload[1], question.payload[2], 1, 0}
					node.core.ReceivePeerMessage(question.peer, reply)
				} else {
					time.Sleep(200 * time.Millisecond) // the loop is held up past the reply's timeout
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
