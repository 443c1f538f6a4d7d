package downstream

import (
	"fmt"
	"net"
	"testing"
	"time"

	"spurwinch/choice"
	"spurwinch/internal/edge"
)

// TestFirstLineAtTimeout has a client's line arrive in the moment in which its time is up: it is read, and served.
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

// TestClientDisconnectsDuringDial has a client's end, or bytes that it must not send yet, and the server's connection
// come up in one poll: nothing is written.
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
			client.conn.Pause() // so that the poll names the server's connection first
			defer client.conn.Resume()
			act(node, conn)
		})
		node.requireNothing(server)
		node.onLoop(func() {
			if node.core.InFlight() != 0 || node.core.AttemptsNeverSent() != 1 {
				t.Errorf("%s: %d requests in flight, %d attempts never sent",
					name, node.core.InFlight(), node.core.AttemptsNeverSent())
			}
		})
	}
}

// TestDialCompletesAfterDeadline has a connection come up when the client's time is over, with the timers late: nothing
// is written, and the client gets its reply.
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

// TestServerDrainsDuringDial has a server begin to drain while a connection to it is being made: nothing is written
// there, whenever it comes up, and another server serves.
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
		t.Error("the same server again")
	}
	send(other, "UP 1\r\n")
	node.requireLine(conn, "UP 1")
}

// TestRetryAfterIdempotencyWindow has a retry's connection come up when the servers no longer know what they served: it
// is not written. In time it is.
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
