package loop

import (
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// whileLoopHeld runs fn on the loop, which hears of nothing meanwhile: what fn does lies ready, all of it, in the
// next poll.
func whileLoopHeld(t *testing.T, l *Loop, fn func()) {
	t.Helper()
	onLoop(l, func() {
		for l.timersYielded { // a poll of before
			t.Error("timers wait already")
			return
		}
		fn()
	})
}

// sendArrived has bytes of c lie in the other side's socket, which the kernel tells by their acknowledgement.
func sendArrived(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Error(err)
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	arrived := false
	for end := time.Now().Add(20 * time.Second); !arrived && time.Now().Before(end); time.Sleep(50 * time.Microsecond) {
		raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			arrived = err == nil && n == 0
		})
	}
	if !arrived {
		t.Error("the crossing did not take place: bytes are on their way")
	}
}

// acceptedPair is a connection that the loop has accepted, and the test's side of it.
func acceptedPair(t *testing.T, l *Loop, h func(c *Conn) Handler) (c *Conn, peer net.Conn) {
	t.Helper()
	taken := make(chan *Conn, 1)
	var addr string
	onLoop(l, func() {
		at, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
			taken <- c
			return h(c)
		})
		if err != nil {
			t.Error(err)
			return
		}
		addr = at.Addr.String()
	})
	peer, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	peer.SetDeadline(time.Now().Add(20 * time.Second))
	return receive(t, taken), peer
}

// TestLateTimer has a timer become due, late, before bytes arrive, with both found in one poll: the bytes are heard
// first, and the timer right after them.
func TestLateTimer(t *testing.T) {
	l := startLoop(t)
	var order []string
	done := make(chan bool, 1)
	r := record()
	r.data = func(p []byte) { order = append(order, string(p)) }
	_, peer := acceptedPair(t, l, func(*Conn) Handler { return r })
	whileLoopHeld(t, l, func() {
		l.At(l.Now().Add(time.Millisecond), func() {
			order = append(order, "timer")
			done <- true
		})
		l.armTimer()
		time.Sleep(time.Millisecond + 5*timerTolerance)
		sendArrived(t, peer, "answer")
	})
	receive(t, done)
	onLoop(l, func() {
		if !slices.Equal(order, []string{"answer", "timer"}) {
			t.Error(order)
		}
	})
}

// TestReadBeforeFailure has the other side answer and cut the connection off while a write of ours fails: the answer
// is heard, then the failure.
func TestReadBeforeFailure(t *testing.T) {
	l := startLoop(t)
	got := make(chan string, 4)
	r := record()
	r.data = func(p []byte) { got <- string(p) }
	c, peer := acceptedPair(t, l, func(*Conn) Handler { return r })
	whileLoopHeld(t, l, func() {
		sendArrived(t, peer, "BUSY\r\n")
		peer.(*net.TCPConn).SetLinger(0)
		peer.Close()
		for end := time.Now().Add(20 * time.Second); c.writeFailed == false && time.Now().Before(end); time.Sleep(time.Millisecond) {
			c.Write([]byte("x")) // until the kernel knows
		}
		if !c.writeFailed {
			t.Error("the crossing did not take place: writes go on")
		}
		c.fail(errors.New("as later reports it"))
	})
	if s := receive(t, got); s != "BUSY\r\n" {
		t.Error(s)
	}
	if err := receive(t, r.end); err == nil {
		t.Error("no failure is told")
	}
}

// TestLingerOverUnreadBytes has bytes arrive just as a connection that lingers is to be closed: they are read and it
// lingers on, since a reset may eat the answer that the other side has not read yet.
func TestLingerOverUnreadBytes(t *testing.T) {
	l := startLoop(t)
	c, peer := acceptedPair(t, l, func(*Conn) Handler { return record() })
	answer := strings.Repeat("a", 1<<10)
	onLoop(l, func() {
		c.Write([]byte(answer))
		c.End()
	})
	whileLoopHeld(t, l, func() {
		sendArrived(t, peer, "a line that nobody expects\r\n")
		if c.lingerExpired(); c.closed { // as its timer does
			t.Error("closed over bytes that lay there: a reset")
		}
	})
	b, err := io.ReadAll(peer)
	if string(b) != answer || errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d bytes, %v", len(b), err)
	}
}

// TestHeardBeforeEviction has a connection that may go for others say what it wants before it goes: it is heard and
// stays.
func TestHeardBeforeEviction(t *testing.T) {
	l := startLoop(t)
	heard := make(chan string, 1)
	first := true
	c, peer := acceptedPair(t, l, func(k *Conn) Handler {
		r := &restingHandler{recordingHandler: record(), conn: k}
		if first {
			first, l.idleLimit = false, 1
			r.data = func(p []byte) {
				k.LeaveIdleQueue()
				heard <- string(p)
			}
		}
		return r
	})
	addr := peer.RemoteAddr().String()
	whileLoopHeld(t, l, func() {
		second, err := net.Dial("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { second.Close() })
		sendArrived(t, peer, "OPEN")
	})
	if s := receive(t, heard); s != "OPEN" {
		t.Error(s)
	}
	onLoop(l, func() {
		if c.closed || c.ending {
			t.Error("it went although it had spoken")
		}
	})
}

// restingHandler may go for others.
type restingHandler struct {
	*recordingHandler
	conn *Conn
}

func (r *restingHandler) Evict() {
	r.conn.Write([]byte("BUSY"))
	r.conn.End()
}

// TestCloseIdle has those who rest answered and ended, but for one whose words lie in its socket.
func TestCloseIdle(t *testing.T) {
	l := startLoop(t)
	heard := make(chan string, 1)
	_, silent := acceptedPair(t, l, func(c *Conn) Handler { return &restingHandler{record(), c} })
	speaks, peer := acceptedPair(t, l, func(c *Conn) Handler {
		r := &restingHandler{record(), c}
		r.data = func(p []byte) {
			c.LeaveIdleQueue()
			heard <- string(p)
		}
		return r
	})
	whileLoopHeld(t, l, func() {
		sendArrived(t, peer, "OPEN")
		l.CloseIdle()
	})
	if s := receive(t, heard); s != "OPEN" {
		t.Error(s)
	}
	if b, err := io.ReadAll(silent); string(b) != "BUSY" || err != nil {
		t.Errorf("%q, %v", b, err)
	}
	onLoop(l, func() {
		if speaks.closed || speaks.ending {
			t.Error("it went although it had spoken")
		}
	})
}
