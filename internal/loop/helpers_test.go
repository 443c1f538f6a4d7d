package loop

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// testTimeout bounds each wait of a test for the peer or the loop.
const testTimeout = 20 * time.Second

// recordingHandler is a handler that reports its events on channels and through a function.
type recordingHandler struct {
	conn      *Conn
	connected chan bool
	end       chan error
	data      func([]byte)
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{connected: make(chan bool, 1), end: make(chan error, 1), data: func([]byte) {}}
}

func (r *recordingHandler) OnConnect()         { r.connected <- true }
func (r *recordingHandler) OnData(data []byte) { r.data(data) }
func (r *recordingHandler) OnEnd(err error)    { r.end <- err }
func (r *recordingHandler) OnDrained()         {}

// evictableHandler is a recordingHandler whose connection may be evicted. On eviction it sends the reply BUSY.
type evictableHandler struct {
	*recordingHandler
	conn *Conn
}

func (r *evictableHandler) Evict() {
	r.conn.Write([]byte("BUSY"))
	r.conn.End()
}

// startLoop runs a loop until the test ends.
func startLoop(t *testing.T) *Loop {
	t.Helper()
	return startLoopOn(t, Linux{})
}

// startLoopOn is like startLoop, with an implementation of the system calls.
func startLoopOn(t *testing.T, kernel Kernel) *Loop {
	t.Helper()
	started, err := NewWithKernel(kernel)
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- started.Run() }()
	t.Cleanup(func() {
		started.Post(started.Stop)
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
	return started
}

// onLoop runs fn on the loop and waits until it has returned.
func onLoop(l *Loop, fn func()) {
	done := make(chan bool)
	l.Post(func() {
		fn()
		close(done)
	})
	<-done
}

// whileLoopBlocked runs fn on the loop. The loop can't poll meanwhile, so that the next poll reports all events that fn
// causes together.
func whileLoopBlocked(t *testing.T, l *Loop, fn func()) {
	t.Helper()
	onLoop(l, func() {
		if l.timersYielded { // left over from an earlier poll
			t.Error("before the events of the test: got late timers that have not run, want none")
			return
		}
		fn()
	})
}

// receive waits for a value from a channel.
func receive[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		t.Fatal("receiving from a channel: got no value before the test timeout")
	}
	panic("not reached")
}

// listenOn makes the loop listen and returns the address.
func listenOn(t *testing.T, l *Loop, accept func(*Conn) Handler) (address string) {
	t.Helper()
	onLoop(l, func() {
		listener, err := l.Listen("127.0.0.1:0", accept)
		if err != nil {
			t.Error(err)
			return
		}
		address = listener.Addr.String()
	})
	return address
}

// listenEcho makes the loop listen and send back the data that it receives.
func listenEcho(t *testing.T, l *Loop) string {
	t.Helper()
	return listenOn(t, l, func(c *Conn) Handler {
		handler := newRecordingHandler()
		handler.data = func(data []byte) { c.Write(data) }
		return handler
	})
}

// dialTCP connects to an address. The connection is closed when the test ends.
func dialTCP(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := dialDeadline(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it already
	return conn
}

// dialDeadline connects to an address. Operations on the connection fail after testTimeout.
func dialDeadline(address string) (*net.TCPConn, error) {
	server, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTCP("tcp", nil, server)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(testTimeout))
}

// checkServed sends a byte to an echo server and waits until it comes back.
func checkServed(address string) error {
	conn, err := dialDeadline(address)
	if err != nil {
		return err
	}
	if _, err = conn.Write([]byte("x")); err == nil {
		err = readEcho(conn)
	}
	return errors.Join(err, conn.Close())
}

// readEcho reads the echo of the one byte that was sent.
func readEcho(conn net.Conn) error {
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// acceptedPair returns a connection that the loop has accepted, and the test's side of it.
func acceptedPair(t *testing.T, l *Loop, handle func(c *Conn) Handler) (c *Conn, peer *net.TCPConn) {
	t.Helper()
	accepted := make(chan *Conn, 1)
	address := listenOn(t, l, func(c *Conn) Handler {
		accepted <- c
		return handle(c)
	})
	peer = dialTCP(t, address)
	return receive(t, accepted), peer
}

// sendAndAwaitAck sends bytes and waits until the peer's kernel has acknowledged them: they are in the peer's socket
// then.
func sendAndAwaitAck(t *testing.T, from *net.TCPConn, text string) {
	t.Helper()
	if _, err := from.Write([]byte(text)); err != nil {
		t.Error(err)
	}
	raw, err := from.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	arrived := false
	for end := time.Now().Add(testTimeout); !arrived && time.Now().Before(end); time.Sleep(50 * time.Microsecond) {
		err := raw.Control(func(fd uintptr) {
			unsent, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			arrived = err == nil && unsent == 0
		})
		if err != nil {
			t.Error(err)
			return
		}
	}
	if !arrived {
		t.Error("acknowledgement of the sent bytes: got none in time, so the test did not provoke the race")
	}
}
