package downstream

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
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
