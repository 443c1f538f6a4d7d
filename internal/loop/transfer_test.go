package loop

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestDetachedIsNotTouched lends a connection whose bytes the poller has told of already: they are not read here,
// neither is what came is lost, and room isn't made at its cost; returned, it goes on.
func TestDetachedIsNotTouched(t *testing.T) {
	l := startLoop(t)
	var near, far [2]int
	var conns [2]*Conn
	heard := make(chan string, 8)
	onLoop(l, func() {
		for i := range near {
			p, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
			if err != nil {
				t.Fatal(err)
			}
			near[i], far[i] = p[0], p[1]
			h := record()
			h.data = func(b []byte) {
				heard <- string(b)
				if _, state, ok := conns[1-i].Detach(); !ok || len(state.Out) != 0 {
					t.Error("not lent")
				}
			}
			conns[i] = l.Restore(near[i], ConnectionState{}, h)
			conns[i].EnterIdleQueue()
		}
		for i := range far { // both, and their ends, are due in one round of the poller
			unix.Write(far[i], []byte("x"))
			unix.Close(far[i])
		}
	})
	receive(t, heard)
	onLoop(l, func() {
		if len(heard) != 0 {
			t.Error("a lent connection was read")
		}
		l.SetIdleLimit(1) // one of the two must go; the lent one isn't this process's to end
		if l.Open() != 1 {
			t.Errorf("%d connections", l.Open())
		}
		for _, c := range conns {
			if c.detached {
				c.handler.(*recordingHandler).data = func(b []byte) { heard <- string(b) }
				c.Reattach()
			}
		}
	})
	if got := receive(t, heard); got != "x" {
		t.Errorf("then came %q", got)
	}
	onLoop(l, func() {
		for _, c := range conns {
			c.Abort()
		}
		if l.Open() != 0 || len(l.handlers) > 2 {
			t.Errorf("%d connections, %d descriptors served", l.Open(), len(l.handlers))
		}
	})
}
