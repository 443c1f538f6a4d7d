package loop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// detachedPair is two restored connections. The first that receives bytes detaches the other one.
type detachedPair struct {
	loop     *Loop
	conns    [2]*Conn
	received chan string
}

// restorePair restores two connections whose peers send a byte and close their end, so that one poll reports the bytes
// and the ends of both.
func restorePair(t *testing.T, eventLoop *Loop) *detachedPair {
	t.Helper()
	pair := &detachedPair{loop: eventLoop, received: make(chan string, 8)}
	onLoop(eventLoop, func() {
		var peerFDs [2]int
		for i := range pair.conns {
			ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
			if err != nil {
				t.Error(err)
				return
			}
			peerFDs[i] = ends[1]
			handler := newRecordingHandler()
			handler.data = func(data []byte) {
				pair.received <- string(data)
				if _, state, ok := pair.conns[1-i].Detach(); !ok || len(state.Out) != 0 {
					t.Error("Detach of the other connection: got a failure or pending data, want neither")
				}
			}
			pair.conns[i] = eventLoop.Restore(ends[0], ConnectionState{}, handler)
			pair.conns[i].EnterIdleQueue()
		}
		for _, fd := range peerFDs {
			if _, err := unix.Write(fd, []byte("x")); err != nil {
				t.Error(err)
			}
			closeFD(fd)
		}
	})
	return pair
}

// reattach reattaches the detached connection.
func (p *detachedPair) reattach() {
	for _, conn := range p.conns {
		if conn.detached {
			handler := newRecordingHandler()
			handler.data = func(data []byte) { p.received <- string(data) }
			conn.SetHandler(handler)
			conn.Reattach()
		}
	}
}

// TestDetachedConnectionIsNeitherReadNorEvicted detaches a connection whose bytes the poller has already reported. This
// process must not read or lose them and must not evict the connection. After Reattach the bytes are read.
func TestDetachedConnectionIsNeitherReadNorEvicted(t *testing.T) {
	eventLoop := startLoop(t)
	pair := restorePair(t, eventLoop)
	receive(t, pair.received)
	onLoop(eventLoop, func() {
		if len(pair.received) != 0 {
			t.Error("reading of a detached connection: got data, want none before Reattach")
		}
		// One of the two must be evicted, but not the detached one, which this process must not end.
		eventLoop.SetIdleLimit(1)
		if eventLoop.Open() != 1 {
			t.Errorf("Open after SetIdleLimit(1): got %d, want 1", eventLoop.Open())
		}
		pair.reattach()
	})
	if got := receive(t, pair.received); got != "x" {
		t.Errorf("OnData after Reattach: got %q, want %q", got, "x")
	}
	onLoop(eventLoop, func() {
		for _, conn := range pair.conns {
			conn.Abort()
		}
		if eventLoop.Open() != 0 || len(eventLoop.handlers) > 2 {
			t.Errorf("got %d connections and %d served descriptors, want 0 and at most the loop's own 2",
				eventLoop.Open(), len(eventLoop.handlers))
		}
	})
}
