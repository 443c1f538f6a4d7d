package downstream

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurwinch/internal/lab/transcript"
)

// TestIdleTransferWithSteppedClock transfers a connection whose client has sent nothing to a process whose wall clock
// differs by an hour. The connection must be closed at its deadline, neither at once nor an hour later.
func TestIdleTransferWithSteppedClock(t *testing.T) {
	for _, ahead := range []time.Duration{time.Hour, -time.Hour} {
		node := newTestNode(t, 1)
		conn, client := node.dialClient()
		node.onLoop(func() {
			fds, detached, ok := IdleConnection{client}.Detach()
			state, isState := detached.(ConnectionState)
			if !ok || !isState {
				t.Error("Detach of an idle connection: got no ConnectionState or ok=false, want both")
				return
			}
			fd, err := unix.Dup(fds[0])
			if err != nil {
				t.Error(err)
				return
			}
			IdleConnection{client}.Release()
			state.FirstLineDeadline -= int64(ahead) // simulates the other process's clock
			node.front.restoreIdle(state, fd)
		})
		began := time.Now()
		node.requireLine(conn, "ERR")
		if took := time.Since(began); took < firstLineTimeout/2 {
			t.Errorf("clock %v ahead: got the connection closed after %v, want at least half the first line timeout",
				ahead, took)
		}
	}
}

// TestClientAwaitingPongIsNotTransferred guards against a PONG on a socket that another process may already use: a
// client that sent PING before the node was ready is offered to a successor, and then the node becomes ready.
func TestClientAwaitingPongIsNotTransferred(t *testing.T) {
	node := newTestNode(t, 1)
	conn, client := node.dialClient()
	if _, err := conn.Write([]byte("PING\r\n")); err != nil {
		t.Fatal(err)
	}
	transcript.WaitFor(t, "the PING is received", func() (received bool) {
		node.onLoop(func() { received = client.pinged })
		return received
	})
	node.onLoop(func() {
		if _, _, ok := (IdleConnection{client}).Detach(); ok {
			t.Error("Detach of a client that awaits PONG: got ok, want a refusal")
		}
		node.front.SetReady()
	})
	node.requireLine(conn, "PONG")
}

// unfinishedLineNode is a node with an open connection whose server hangs in the middle of the line "COINS 1250000".
type unfinishedLineNode struct {
	*testNode

	conn   net.Conn
	client *client
	server net.Conn
}

func newUnfinishedLineNode(t *testing.T) unfinishedLineNode {
	t.Helper()
	node := newTestNode(t, 1)
	conn, client := node.dialClient()
	send(conn, openLine+"\r\n")
	server := node.acceptOnServer()
	send(server, "UP 1\r\n")
	node.requireLine(conn, "UP 1")
	send(server, "COINS 12")
	transcript.WaitFor(t, "the start of the line is received", func() (received bool) {
		node.onLoop(func() { received = client.server.MidLine() })
		return received
	})
	return unfinishedLineNode{testNode: node, conn: conn, client: client, server: server}
}

// transfer replaces the connection by one that another process has transferred with the changed state.
func (n *unfinishedLineNode) transfer(change func(*ConnectionState)) {
	n.t.Helper()
	n.onLoop(func() {
		open, isOpen := n.client.request.ConnectionState()
		fds, state, ok := n.client.request.Detach()
		transferred, isState := state.(ConnectionState)
		if !isOpen || !ok || !isState {
			n.t.Error("Detach of an open connection: got no ConnectionState or ok=false, want both")
			return
		}
		var copies []int
		for _, fd := range fds {
			duplicate, err := unix.Dup(fd)
			if err != nil {
				n.t.Error(err)
				return
			}
			copies = append(copies, duplicate)
		}
		n.client.request.Release()
		change(&transferred)
		n.front.restore(n.core, open, transferred, copies)
	})
}

// migrateAtOnce migrates all connections and doesn't wait for the end of unfinished lines.
func (n *unfinishedLineNode) migrateAtOnce() {
	n.onLoop(func() { n.core.Drain(func() {}) })
}

// requireRest checks what the client receives until the connection ends.
func (n *unfinishedLineNode) requireRest(want string) {
	n.t.Helper()
	if got, err := io.ReadAll(n.conn); string(got) != want || err != nil {
		n.t.Errorf("reading at the client: got %q and error %v, want %q and no error", got, err, want)
	}
}

// TestUnfinishedLineSurvivesTransfer guards against a line that loses its start, or an invented line, when a connection
// changes its process in the middle of a line of its server.
func TestUnfinishedLineSurvivesTransfer(t *testing.T) {
	t.Parallel()
	t.Run("line is finished", func(t *testing.T) {
		t.Parallel()
		node := newUnfinishedLineNode(t)
		node.transfer(func(*ConnectionState) {})
		send(node.server, "50000\r\n")
		node.requireLine(node.conn, "COINS 1250000\r\n")
	})
	t.Run("server hangs", func(t *testing.T) {
		t.Parallel()
		node := newUnfinishedLineNode(t)
		node.transfer(func(*ConnectionState) {})
		node.migrateAtOnce()
		node.requireRest("MOVE\r\n")
	})
}

// TestUnfinishedLineOfEarlierRelease guards against a line that is invented or loses bytes when the other process runs
// a release that forwards the start of a line at once. Such a process sends no HeldBackBytes, and ignores them.
func TestUnfinishedLineOfEarlierRelease(t *testing.T) {
	t.Parallel()
	asEarlierRelease := func(t *testing.T) func(state *ConnectionState) {
		t.Helper()
		return func(state *ConnectionState) {
			if got := string(state.Conn.Out); got != "COINS 12" || state.PartialServerLineBytes != len(got) {
				t.Errorf("state for an earlier release: got %q to write and %d bytes counted, want COINS 12 and 8",
					got, state.PartialServerLineBytes)
			}
			state.HeldBackBytes = 0
		}
	}
	t.Run("line is finished", func(t *testing.T) {
		t.Parallel()
		node := newUnfinishedLineNode(t)
		node.transfer(asEarlierRelease(t))
		send(node.server, "50000\r\n")
		node.requireLine(node.conn, "COINS 1250000\r\n")
	})
	t.Run("server hangs", func(t *testing.T) {
		t.Parallel()
		node := newUnfinishedLineNode(t)
		node.transfer(asEarlierRelease(t))
		node.migrateAtOnce()
		node.requireRest("COINS 12") // anything more would be read as the end of the line
	})
}
