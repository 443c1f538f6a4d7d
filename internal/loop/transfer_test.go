package loop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// detachedPair is two restored connections, each of which detaches the other one when bytes come.
type detachedPair struct {
	loop  *Loop
	conns [2]*Conn
	heard chan string
}

// restorePair restores two connections whose bytes and ends are due in one round of the poller.
func restorePair(t *testing.T, eventLoop *Loop) *detachedPair {
	t.Helper()
	pair := &detachedPair{loop: eventLoop, heard: make(chan string, 8)}
	onLoop(eventLoop, func() {
		var far [2]int
		for i := range pair.conns {
			ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
			if err != nil {
				t.Error(err)
				return
			}
			far[i] = ends[1]
			handler := record()
			handler.data = func(data []byte) {
				pair.heard <- string(data)
				if _, state, ok := pair.conns[1-i].Detach(); !ok || len(state.Out) != 0 {
					t.Error("the other one is not detached")
				}
			}
			pair.conns[i] = eventLoop.Restore(ends[0], ConnectionState{}, handler)
			pair.conns[i].EnterIdleQueue()
		}
		for _, fd := range far {
			if _, err := unix.Write(fd, []byte("x")); err != nil {
				t.Error(err)
			}
			closeFD(fd)
		}
	})
	return pair
}

// reattach has the detached one go on.
func (p *detachedPair) reattach() {
	for _, conn := range p.conns {
		if conn.detached {
			handler := record()
			handler.data = func(data []byte) { p.heard <- string(data) }
			conn.SetHandler(handler)
			conn.Reattach()
		}
	}
}

// TestDetachedIsNotTouched detaches a connection whose bytes the poller has reported already: they are not read here,
// nor is what came lost, and it is not evicted; reattached, it goes on.
func TestDetachedIsNotTouched(t *testing.T) {
	eventLoop := startLoop(t)
	pair := restorePair(t, eventLoop)
	receive(t, pair.heard)
	onLoop(eventLoop, func() {
		if len(pair.heard) != 0 {
			t.Error("a detached connection is read")
		}
		eventLoop.SetIdleLimit(1) // one of the two must go; the detached one isn't this process's to end
		if eventLoop.Open() != 1 {
			t.Errorf("%d connections are open, want 1", eventLoop.Open())
		}
		pair.reattach()
	})
	if got := receive(t, pair.heard); got != "x" {
		t.Errorf("then came %q, want %q", got, "x")
	}
	onLoop(eventLoop, func() {
		for _, conn := range pair.conns {
			conn.Abort()
		}
		if eventLoop.Open() != 0 || len(eventLoop.handlers) > 2 {
			t.Errorf("%d connections, %d descriptors served, want none and the loop's own two",
				eventLoop.Open(), len(eventLoop.handlers))
		}
	})
}
