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

// TestLateTimerRunsAfterReadyData lets a timer become overdue before bytes arrive, so that one poll reports both. The
// loop must read the bytes first and run the timer right after them.
func TestLateTimerRunsAfterReadyData(t *testing.T) {
	eventLoop := startLoop(t)
	var order []string
	done := make(chan bool, 1)
	handler := newRecordingHandler()
	handler.data = func(data []byte) { order = append(order, string(data)) }
	_, peer := acceptedPair(t, eventLoop, func(*Conn) Handler { return handler })
	whileLoopBlocked(t, eventLoop, func() {
		eventLoop.At(eventLoop.Now().Add(time.Millisecond), func() {
			order = append(order, "timer")
			done <- true
		})
		eventLoop.armTimer()
		time.Sleep(time.Millisecond + 5*timerTolerance)
		sendAndAwaitAck(t, peer, "answer")
	})
	receive(t, done)
	onLoop(eventLoop, func() {
		if want := []string{"answer", "timer"}; !slices.Equal(order, want) {
			t.Errorf("got the order %v, want %v", order, want)
		}
	})
}

// TestReplyReadBeforeWriteFailure makes the peer reply and reset the connection, so that a write of this side fails.
// The loop must read the reply before it reports the failure.
func TestReplyReadBeforeWriteFailure(t *testing.T) {
	eventLoop := startLoop(t)
	got := make(chan string, 4)
	handler := newRecordingHandler()
	handler.data = func(data []byte) { got <- string(data) }
	conn, peer := acceptedPair(t, eventLoop, func(*Conn) Handler { return handler })
	whileLoopBlocked(t, eventLoop, func() {
		sendAndAwaitAck(t, peer, "BUSY\r\n")
		if err := errors.Join(peer.SetLinger(0), peer.Close()); err != nil {
			t.Error(err)
		}
		for end := time.Now().Add(testTimeout); !conn.writeFailed && time.Now().Before(end); {
			conn.Write([]byte("x")) // until the kernel has processed the reset
			time.Sleep(time.Millisecond)
		}
		if !conn.writeFailed {
			t.Error("Write after the reset: got no failure in time, so the test did not provoke the race")
		}
		conn.fail(errors.New("error as reported by failLater"))
	})
	if data := receive(t, got); data != "BUSY\r\n" {
		t.Errorf("OnData: got %q, want the reply", data)
	}
	if err := receive(t, handler.end); err == nil {
		t.Error("OnEnd got no error, want the write failure")
	}
}

// TestLingerContinuesWhenBytesArrive makes bytes arrive just when a lingering connection would be closed. The loop must
// read them and keep lingering: closing would send a reset, and the peer could lose the reply that it has not read yet.
func TestLingerContinuesWhenBytesArrive(t *testing.T) {
	eventLoop := startLoop(t)
	conn, peer := acceptedPair(t, eventLoop, func(*Conn) Handler { return newRecordingHandler() })
	reply := strings.Repeat("a", 1<<10)
	onLoop(eventLoop, func() {
		conn.Write([]byte(reply))
		conn.End()
	})
	whileLoopBlocked(t, eventLoop, func() {
		sendAndAwaitAck(t, peer, "a line that nobody expects\r\n")
		conn.lingerExpired() // called by its timer in production
		if conn.closed {
			t.Error("lingerExpired with unread bytes: got the connection closed, which sends a reset, want it open")
		}
	})
	data, err := io.ReadAll(peer)
	if string(data) != reply || errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("peer: got %d bytes and error %v, want the %d bytes of the reply", len(data), err, len(reply))
	}
}

// TestConnectionWithUnreadRequestIsNotEvicted makes a request arrive on an idle connection just before it would be
// evicted. The loop must read the request and keep the connection.
func TestConnectionWithUnreadRequestIsNotEvicted(t *testing.T) {
	eventLoop := startLoop(t)
	received := make(chan string, 1)
	first := true
	conn, peer := acceptedPair(t, eventLoop, func(c *Conn) Handler {
		handler := &evictableHandler{recordingHandler: newRecordingHandler(), conn: c}
		if first {
			first = false
			eventLoop.idleLimit = 1
			handler.data = func(data []byte) {
				c.LeaveIdleQueue()
				received <- string(data)
			}
		}
		return handler
	})
	address := peer.RemoteAddr().String()
	whileLoopBlocked(t, eventLoop, func() {
		second, err := net.Dial("tcp", address)
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = second.Close() }) // the loop may have closed it
		sendAndAwaitAck(t, peer, "OPEN")
	})
	if data := receive(t, received); data != "OPEN" {
		t.Errorf("OnData: got %q, want the request", data)
	}
	onLoop(eventLoop, func() {
		if conn.closed || conn.ending {
			t.Error("eviction: got the connection with a request evicted, want it open")
		}
	})
}

// TestCloseIdleKeepsConnectionWithUnreadRequest checks that CloseIdle sends a reply to idle connections and ends them,
// but keeps a connection whose request is still unread in its socket.
func TestCloseIdleKeepsConnectionWithUnreadRequest(t *testing.T) {
	eventLoop := startLoop(t)
	received := make(chan string, 1)
	_, idle := acceptedPair(t, eventLoop, func(c *Conn) Handler { return &evictableHandler{newRecordingHandler(), c} })
	active, peer := acceptedPair(t, eventLoop, func(c *Conn) Handler {
		handler := &evictableHandler{newRecordingHandler(), c}
		handler.data = func(data []byte) {
			c.LeaveIdleQueue()
			received <- string(data)
		}
		return handler
	})
	whileLoopBlocked(t, eventLoop, func() {
		sendAndAwaitAck(t, peer, "OPEN")
		eventLoop.CloseIdle()
	})
	if data := receive(t, received); data != "OPEN" {
		t.Errorf("OnData: got %q, want the request", data)
	}
	if data, err := io.ReadAll(idle); string(data) != "BUSY" || err != nil {
		t.Errorf("reading as the idle client: got %q and error %v, want the reply BUSY", data, err)
	}
	onLoop(eventLoop, func() {
		if active.closed || active.ending {
			t.Error("CloseIdle: got a connection ended although its request had arrived, want it open")
		}
	})
}
