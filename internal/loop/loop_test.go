package loop

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"
)

// recordingHandler is a handler that tells what happens.
type recordingHandler struct {
	conn *Conn
	up   chan bool
	end  chan error
	data func([]byte)
}

func record() *recordingHandler {
	return &recordingHandler{up: make(chan bool, 1), end: make(chan error, 1), data: func([]byte) {}}
}
func (r *recordingHandler) OnConnect()      { r.up <- true }
func (r *recordingHandler) OnData(p []byte) { r.data(p) }
func (r *recordingHandler) OnEnd(err error) { r.end <- err }
func (r *recordingHandler) OnDrained()      {}

// startLoop runs a loop until the test ends.
func startLoop(t *testing.T) *Loop {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	runUntilEnd(t, l)
	return l
}

// runUntilEnd runs a loop that was made until the test ends.
func runUntilEnd(t *testing.T, l *Loop) {
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		if err := l.Run(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		done.Wait()
	})
}

// onLoop runs fn on the loop and waits for it.
func onLoop(l *Loop, fn func()) {
	done := make(chan bool)
	l.Post(func() { fn(); close(done) })
	<-done
}

func receive[T any](t *testing.T, c chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
	}
	panic("not reached")
}

// listenEcho listens on the loop and sends back what comes.
func listenEcho(t *testing.T, l *Loop) string {
	var addr string
	onLoop(l, func() {
		at, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
			r := record()
			r.data = func(p []byte) { c.Write(p) }
			return r
		})
		if err != nil {
			t.Error(err)
		}
		addr = at.Addr.String()
	})
	return addr
}

func checkServed(addr string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	return readEcho(c)
}

// readEcho waits for the byte that was sent.
func readEcho(c net.Conn) error {
	c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// TestDescriptorsExhausted guards against a listener that dies, or clients that hang, when descriptors run out.
// (gnet's own engine ends with an error there.)
func TestDescriptorsExhausted(t *testing.T) {
	l := startLoop(t)
	addr := listenEcho(t, l)
	if err := checkServed(addr); err != nil {
		t.Fatal(err)
	}
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", addr) // its descriptor is there before they run out
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	raw, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(raw)
	tight := old
	tight.Cur = uint64(raw) // no descriptor from here on
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &tight); err != nil {
		t.Fatal(err)
	}
	a := net.TCPAddrFromAddrPort(mustAddr(addr))
	err = syscall.Connect(raw, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte{127, 0, 0, 1}})
	syscall.SetsockoptTimeval(raw, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 20})
	n, readErr := syscall.Read(raw, make([]byte, 1))
	syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old)
	if err != nil || n > 0 || errors.Is(readErr, syscall.EAGAIN) {
		t.Errorf("connect %v, read %d %v: want the connection closed", err, n, readErr)
	}
	if err := checkServed(addr); err != nil {
		t.Error("not served afterwards:", err)
	}
}

// TestDialTimeout checks that a connect that nobody answers ends by its time, and a refused one at once.
func TestDialTimeout(t *testing.T) {
	l := startLoop(t)
	silent, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(silent)
	if err := syscall.Bind(silent, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	syscall.Listen(silent, 0)
	sa, _ := syscall.Getsockname(silent)
	full := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}
	var late *recordingHandler
	for range 4 { // the first ones fill the listener's queue
		late = record()
		onLoop(l, func() { l.Dial(full.String(), l.Now().Add(200*time.Millisecond), late) })
	}
	if err := receive(t, late.end); !errors.Is(err, ErrTimeout) {
		t.Error("no answer:", err)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	refused := record()
	onLoop(l, func() { l.Dial(closed.Addr().String(), l.Now().Add(time.Minute), refused) })
	if err := receive(t, refused.end); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Error("refused:", err)
	}
	bad := record()
	onLoop(l, func() { l.Dial("nowhere", l.Now().Add(time.Minute), bad) })
	if err := receive(t, bad.end); err == nil {
		t.Error("a bad address is dialled")
	}
}

// TestPauseHoldsUpSender checks that a paused connection takes nothing in: the sender is held up by the kernel.
func TestPauseHoldsUpSender(t *testing.T) {
	l := startLoop(t)
	got := 0
	r := record()
	var addr string
	onLoop(l, func() {
		at, err := l.Listen("127.0.0.1:0", func(c *Conn) Handler {
			r.conn = c
			r.data = func(p []byte) {
				got += len(p)
				c.Pause()
			}
			return r
		})
		if err != nil {
			t.Error(err)
		}
		addr = at.Addr.String()
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const all = 32 << 20
	sent := make(chan int, 1)
	go func() {
		n, _ := c.Write(make([]byte, all))
		sent <- n
	}()
	time.Sleep(200 * time.Millisecond)
	onLoop(l, func() {
		if got > readSize {
			t.Errorf("%d bytes taken in while paused", got)
		}
		r.data = func(p []byte) { got += len(p) }
		r.conn.Resume()
	})
	if n := receive(t, sent); n != all {
		t.Errorf("%d bytes sent", n)
	}
	c.Close()
	if err := receive(t, r.end); err != io.EOF {
		t.Error(err)
	}
	onLoop(l, func() {
		if got != all {
			t.Errorf("%d bytes of %d came", got, all)
		}
	})
}

// TestTimerOrder checks their order, that one can be taken back, and that one set in a callback waits for it.
func TestTimerOrder(t *testing.T) {
	l := startLoop(t)
	var order []int
	done := make(chan bool, 1)
	onLoop(l, func() {
		now := l.Now()
		add := func(in time.Duration, n int) func() {
			return l.At(now.Add(in), func() { order = append(order, n) })
		}
		add(20*time.Millisecond, 2)
		stop := add(10*time.Millisecond, 9)
		add(0, 1)
		stop()
		stop()
		l.At(now.Add(30*time.Millisecond), func() {
			l.At(now, func() {
				order = append(order, 4)
				done <- true
			})
			order = append(order, 3)
		})
	})
	receive(t, done)
	if len(order) != 4 || order[0] != 1 || order[1] != 2 || order[2] != 3 || order[3] != 4 {
		t.Error(order)
	}
}

func mustAddr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }
