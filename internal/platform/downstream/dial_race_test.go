package downstream

import (
	"fmt"
	"net"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
)

// TestFirstLineAtTimeout checks that a first line that arrives at the very moment of its timeout is read and served.
func TestFirstLineAtTimeout(t *testing.T) {
	for _, first := range []string{"", "PING\r\n"} {
		node := newTestNode(t, 1)
		node.onLoop(node.front.SetReady)
		conn, client := node.dialClient()
		if first != "" {
			send(conn, first)
			node.requireLine(conn, "PONG")
		}
		node.onLoop(func() {
			send(conn, openLine+"\r\n")
			node.waitDelivered(conn)
			client.onFirstLineTimeout()
		})
		send(node.acceptOnServer(), "UP 1\r\n")
		node.requireLine(conn, "UP 1")
	}
}

// TestClientDisconnectsDuringDial makes one poll report both that the server's connection is established and that the
// client has disconnected, or has sent bytes too early. Nothing may be written to the server.
func TestClientDisconnectsDuringDial(t *testing.T) {
	for name, act := range map[string]func(*testNode, net.Conn){
		"closes":      func(node *testNode, conn net.Conn) { node.endConnection(conn, closed) },
		"half-closes": func(node *testNode, conn net.Conn) { node.endConnection(conn, halfClosed) },
		"sends more": func(node *testNode, conn net.Conn) {
			send(conn, "flood")
			node.waitDelivered(conn)
		},
	} {
		node := newTestNode(t, 1)
		conn, client := node.dialClient()
		var server serverConn
		node.onLoop(func() {
			server = node.dialServer(conn, client, openLine)
			client.conn.Pause() // so that the poll reports the server's connection first
			defer client.conn.Resume()
			act(node, conn)
		})
		node.requireNothing(server)
		node.onLoop(func() {
			if node.core.InFlight() != 0 || node.core.AttemptsNeverSent() != 1 {
				t.Errorf("client %s: got %d requests in flight and %d attempts never sent, want 0 and 1",
					name, node.core.InFlight(), node.core.AttemptsNeverSent())
			}
		})
	}
}

// TestDialCompletesAfterDeadline lets a server's connection be established after the client's deadline, before the late
// timers run. Nothing may be written to the server, and the client must get its reply.
func TestDialCompletesAfterDeadline(t *testing.T) {
	node := newTestNode(t, 1)
	conn, client := node.dialClient()
	var server serverConn
	node.onLoop(func() {
		server = node.dialServer(conn, client, "OPEN 01 01 c=chat,d=300")
		time.Sleep(350 * time.Millisecond)
	})
	node.requireNothing(server)
	node.requireLine(conn, "BUSY")
}

// TestServerDrainsDuringDial lets a server begin to drain while a connection to it is being established. Nothing may be
// written to it, whenever the connection is established, and another server must serve the request.
func TestServerDrainsDuringDial(t *testing.T) {
	node := newTestNode(t, 2)
	conn, client := node.dialClient()
	var draining serverConn
	node.onLoop(func() {
		draining = node.dialServer(conn, client, openLine)
		node.core.UpdateServers(choice.ListChange, []edge.ServerEntry{{
			Addr:   draining.LocalAddr().String(),
			Server: choice.Server{ID: draining.server, Size: 1, State: choice.Draining},
		}})
	})
	node.requireNothing(draining)
	other := node.acceptOnServer()
	if other.server == draining.server {
		t.Error("second attempt: got the draining server again, want another server")
	}
	send(other, "UP 1\r\n")
	node.requireLine(conn, "UP 1")
}

// TestRetryAfterIdempotencyWindow lets a retry's connection be established after the time for which servers remember
// the requests that they have served. The retry must not be written then. If the connection is established earlier, the
// retry must be written.
func TestRetryAfterIdempotencyWindow(t *testing.T) {
	for _, late := range []bool{false, true} {
		window := time.Minute
		if late {
			window = 1500 * time.Millisecond
		}
		node := newTestNode(t, 2,
			`"safe"`, `"keyed"`, `"dedupWindowS":5`, fmt.Sprintf(`"dedupWindowS":%v`, window.Seconds()))
		conn, client := node.dialClient()
		var first serverConn
		node.onLoop(func() { first = node.dialServer(conn, client, "OPEN 01 01 c=chat,d=8000") })
		node.requireLine(first, "OPEN 01 01")
		node.onNextDial(client, func() {
			if late {
				time.Sleep(window)
			}
		})
		node.endConnection(first.Conn, reset)
		second := node.acceptOnServer()
		if late {
			node.requireNothing(second)
			node.requireLine(conn, "BUSY")
			continue
		}
		node.requireLine(second, "OPEN 01 01")
		send(second, "UP 1\r\n")
		node.requireLine(conn, "UP 1")
	}
}
