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
)

// TestLateTimer has a timer become due, late, before bytes arrive, with both found in one poll: the bytes are read
// first, and the timer runs right after them.
func TestLateTimer(t *testing.T) {
	eventLoop := startLoop(t)
	var order []string
	done := make(chan bool, 1)
	handler := record()
	handler.data = func(data []byte) { order = append(order, string(data)) }
	_, peer := acceptedPair(t, eventLoop, func(*Conn) Handler { return handler })
	whileLoopHeld(t, eventLoop, func() {
		eventLoop.At(eventLoop.Now().Add(time.Millisecond), func() {
			order = append(order, "timer")
			done <- true
		})
		eventLoop.armTimer()
		time.Sleep(time.Millisecond + 5*timerTolerance)
		sendArrived(t, peer, "answer")
	})
	receive(t, done)
	onLoop(eventLoop, func() {
		if want := []string{"answer", "timer"}; !slices.Equal(order, want) {
			t.Errorf("the order is %v, want %v", order, want)
		}
	})
}

// TestReadBeforeFailure has the other side answer and cut the connection off while a write of ours fails: the answer is
// read, then the failure reported.
func TestReadBeforeFailure(t *testing.T) {
	eventLoop := startLoop(t)
	got := make(chan string, 4)
	handler := record()
	handler.data = func(data []byte) { got <- string(data) }
	conn, peer := acceptedPair(t, eventLoop, func(*Conn) Handler { return handler })
	whileLoopHeld(t, eventLoop, func() {
		sendArrived(t, peer, "BUSY\r\n")
		if err := errors.Join(peer.SetLinger(0), peer.Close()); err != nil {
			t.Error(err)
		}
		for end := time.Now().Add(testTimeout); !conn.writeFailed && time.Now().Before(end); {
			conn.Write([]byte("x")) // until the kernel knows
			time.Sleep(time.Millisecond)
		}
		if !conn.writeFailed {
			t.Error("the race did not take place: writes go on")
		}
		conn.fail(errors.New("as failLater reports it"))
	})
	if data := receive(t, got); data != "BUSY\r\n" {
		t.Errorf("read %q, want the answer", data)
	}
	if err := receive(t, handler.end); err == nil {
		t.Error("no failure is reported")
	}
}

// TestLingerOverUnreadBytes has bytes arrive just as a connection that lingers is to be closed: they are read and it
// lingers on, since a reset may eat the answer that the other side has not read yet.
func TestLingerOverUnreadBytes(t *testing.T) {
	eventLoop := startLoop(t)
	conn, peer := acceptedPair(t, eventLoop, func(*Conn) Handler { return record() })
	answer := strings.Repeat("a", 1<<10)
	onLoop(eventLoop, func() {
		conn.Write([]byte(answer))
		conn.End()
	})
	whileLoopHeld(t, eventLoop, func() {
		sendArrived(t, peer, "a line that nobody expects\r\n")
		conn.lingerExpired() // as its timer does
		if conn.closed {
			t.Error("closed over bytes that lay there: a reset")
		}
	})
	data, err := io.ReadAll(peer)
	if string(data) != answer || errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %d bytes, %v, want the %d of the answer", len(data), err, len(answer))
	}
}

// TestHeardBeforeEviction has a connection that may be evicted say what it wants before it goes: it is read and stays.
func TestHeardBeforeEviction(t *testing.T) {
	eventLoop := startLoop(t)
	heard := make(chan string, 1)
	first := true
	conn, peer := acceptedPair(t, eventLoop, func(c *Conn) Handler {
		handler := &evictableHandler{recordingHandler: record(), conn: c}
		if first {
			first = false
			eventLoop.idleLimit = 1
			handler.data = func(data []byte) {
				c.LeaveIdleQueue()
				heard <- string(data)
			}
		}
		return handler
	})
	address := peer.RemoteAddr().String()
	whileLoopHeld(t, eventLoop, func() {
		second, err := net.Dial("tcp", address)
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = second.Close() }) // it may have been cut off
		sendArrived(t, peer, "OPEN")
	})
	if data := receive(t, heard); data != "OPEN" {
		t.Errorf("read %q, want what it said", data)
	}
	onLoop(eventLoop, func() {
		if conn.closed || conn.ending {
			t.Error("it is evicted although it had spoken")
		}
	})
}

// TestCloseIdle has idle connections answered and ended, but for one whose data is in its socket.
func TestCloseIdle(t *testing.T) {
	eventLoop := startLoop(t)
	heard := make(chan string, 1)
	_, silent := acceptedPair(t, eventLoop, func(c *Conn) Handler { return &evictableHandler{record(), c} })
	speaking, peer := acceptedPair(t, eventLoop, func(c *Conn) Handler {
		handler := &evictableHandler{record(), c}
		handler.data = func(data []byte) {
			c.LeaveIdleQueue()
			heard <- string(data)
		}
		return handler
	})
	whileLoopHeld(t, eventLoop, func() {
		sendArrived(t, peer, "OPEN")
		eventLoop.CloseIdle()
	})
	if data := receive(t, heard); data != "OPEN" {
		t.Errorf("read %q, want what it said", data)
	}
	if data, err := io.ReadAll(silent); string(data) != "BUSY" || err != nil {
		t.Errorf("the idle one gets %q, %v, want its answer", data, err)
	}
	onLoop(eventLoop, func() {
		if speaking.closed || speaking.ending {
			t.Error("it is ended although it had spoken")
		}
	})
}
