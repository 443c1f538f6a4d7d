package downstream

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestCarriedUnderASteppedClock has a connection that says nothing go to a process whose wall clock is an hour off: it is ended when its time
// is up, and neither at once nor an hour later.
func TestCarriedUnderASteppedClock(t *testing.T) {
	for _, ahead := range []time.Duration{time.Hour, -time.Hour} {
		x := newCrossing(t, 1)
		c, s := x.client()
		x.on(func() {
			fds, state, ok := Idle{s}.Detach()
			st, told := state.(ConnectionState)
			if !ok || !told {
				t.Error("it can't be lent")
				return
			}
			fd, err := unix.Dup(fds[0])
			if err != nil {
				t.Error(err)
				return
			}
			Idle{s}.Release()
			st.Until -= int64(ahead) // as the other process's clock has it
			x.front.restoreIdle(st, fd)
		})
		began := time.Now()
		x.gets(c, "ERR")
		if took := time.Since(began); took < firstLineTimeout/2 {
			t.Errorf("%v ahead: ended after %v", ahead, took)
		}
	}
}
