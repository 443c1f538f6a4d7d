package downstream

import (
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
