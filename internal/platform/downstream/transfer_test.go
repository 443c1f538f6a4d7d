package downstream

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestIdleTransferWithSteppedClock transfers a connection that has sent nothing to a process whose wall clock is an
// hour off: it is ended when its time is up, and neither at once nor an hour later.
func TestIdleTransferWithSteppedClock(t *testing.T) {
	for _, ahead := range []time.Duration{time.Hour, -time.Hour} {
		node := newTestNode(t, 1)
		conn, client := node.dialClient()
		node.onLoop(func() {
			fds, detached, ok := IdleConnection{client}.Detach()
			state, isState := detached.(ConnectionState)
			if !ok || !isState {
				t.Error("the connection can't be detached")
				return
			}
			fd, err := unix.Dup(fds[0])
			if err != nil {
				t.Error(err)
				return
			}
			IdleConnection{client}.Release()
			state.FirstLineDeadline -= int64(ahead) // as the other process's clock has it
			node.front.restoreIdle(state, fd)
		})
		began := time.Now()
		node.requireLine(conn, "ERR")
		if took := time.Since(began); took < firstLineTimeout/2 {
			t.Errorf("%v ahead: ended after %v", ahead, took)
		}
	}
}
