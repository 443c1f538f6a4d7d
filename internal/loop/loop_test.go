package loop

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"
)

// TestListenerSurvivesDescriptorExhaustion guards against a listener that stops, or clients that hang, when the process
// runs out of descriptors. (gnet's own engine ends with an error in this case.)
func TestListenerSurvivesDescriptorExhaustion(t *testing.T) {
	eventLoop := startLoop(t)
	address := listenEcho(t, eventLoop)
	if err := checkServed(address); err != nil {
		t.Fatal(err)
	}
	conn := dialTCP(t, address) // opened before the descriptors run out
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := readEcho(conn); err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeFD(fd) })
	timeout := syscall.Timeval{Sec: int64(testTimeout.Seconds())}
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &timeout); err != nil {
		t.Fatal(err)
	}
	size, connectErr, readErr := readWithoutDescriptors(t, fd, address)
	if connectErr != nil || size > 0 || errors.Is(readErr, syscall.EAGAIN) {
		t.Errorf("without descriptors: connect got %v, read got %d bytes, error %v, want the connection closed",
			connectErr, size, readErr)
	}
	if err := checkServed(address); err != nil {
		t.Error("a client after the exhaustion got no echo, want one:", err)
	}
}

// readWithoutDescriptors connects a socket to an address and reads from it, while the process may open no descriptor
// above the socket's own.
func readWithoutDescriptors(t *testing.T, fd int, address string) (size int, connectErr, readErr error) {
	t.Helper()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	lowered := before
	lowered.Cur = uint64(fd)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	port := int(netip.MustParseAddrPort(address).Port())
	connectErr = syscall.Connect(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	size, readErr = syscall.Read(fd, make([]byte, 1))
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	return size, connectErr, readErr
}

// listenWithoutAccepting returns the address of a listener that accepts no connection and whose queue holds one.
func listenWithoutAccepting(t *testing.T) (address string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeFD(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	local, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	inet, ok := local.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("Getsockname: got %v, want an IPv4 address", local)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port)).String()
}

// TestDialFailures checks that a dial without a reply ends at its deadline, and that a dial that is rejected or has an
// invalid address ends at once.
func TestDialFailures(t *testing.T) {
	eventLoop := startLoop(t)
	full := listenWithoutAccepting(t)
	var unanswered *recordingHandler
	for range 4 { // the first ones fill the listener's queue
		unanswered = newRecordingHandler()
		onLoop(eventLoop, func() { eventLoop.Dial(full, eventLoop.Now().Add(200*time.Millisecond), unanswered) })
	}
	if err := receive(t, unanswered.end); !errors.Is(err, ErrTimeout) {
		t.Errorf("dial without a reply: got %v, want %v", err, ErrTimeout)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	rejected := newRecordingHandler()
	onLoop(eventLoop, func() { eventLoop.Dial(closed.Addr().String(), eventLoop.Now().Add(time.Minute), rejected) })
	if err := receive(t, rejected.end); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("rejected dial: got %v, want %v", err, syscall.ECONNREFUSED)
	}
	invalid := newRecordingHandler()
	onLoop(eventLoop, func() { eventLoop.Dial("nowhere", eventLoop.Now().Add(time.Minute), invalid) })
	if err := receive(t, invalid.end); err == nil {
		t.Error("dial of an invalid address: got no error, want one")
	}
}

// TestPauseBlocksSender checks that a paused connection reads nothing, so that the kernel blocks the sender.
func TestPauseBlocksSender(t *testing.T) {
	eventLoop := startLoop(t)
	got := 0
	handler := newRecordingHandler()
	conn := dialTCP(t, listenOn(t, eventLoop, func(c *Conn) Handler {
		handler.conn = c
		handler.data = func(data []byte) {
			got += len(data)
			c.Pause()
		}
		return handler
	}))
	const total = 32 << 20 // bytes
	sent := make(chan int, 1)
	go func() {
		size, _ := conn.Write(make([]byte, total)) // the size shows whether it failed
		sent <- size
	}()
	time.Sleep(200 * time.Millisecond)
	onLoop(eventLoop, func() {
		if got > readSize {
			t.Errorf("got %d bytes while paused, want at most %d", got, readSize)
		}
		handler.data = func(data []byte) { got += len(data) }
		handler.conn.Resume()
	})
	if size := receive(t, sent); size != total {
		t.Errorf("Write: got %d bytes sent, want %d", size, total)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, handler.end); !errors.Is(err, io.EOF) {
		t.Errorf("OnEnd: got %v, want %v", err, io.EOF)
	}
	onLoop(eventLoop, func() {
		if got != total {
			t.Errorf("got %d bytes by the end, want %d", got, total)
		}
	})
}

// TestTimerOrder checks that timers run in the order of their times, that a timer can be cancelled, also twice, and
// that a timer set in a callback runs only after the callback has returned.
func TestTimerOrder(t *testing.T) {
	eventLoop := startLoop(t)
	var order []int
	done := make(chan bool, 1)
	onLoop(eventLoop, func() {
		now := eventLoop.Now()
		add := func(delay time.Duration, number int) func() {
			return eventLoop.At(now.Add(delay), func() { order = append(order, number) })
		}
		add(20*time.Millisecond, 2)
		stop := add(10*time.Millisecond, 9)
		add(0, 1)
		stop()
		stop()
		eventLoop.At(now.Add(30*time.Millisecond), func() {
			eventLoop.At(now, func() {
				order = append(order, 4)
				done <- true
			})
			order = append(order, 3)
		})
	})
	receive(t, done)
	if want := []int{1, 2, 3, 4}; !slices.Equal(order, want) {
		t.Errorf("running the timers: got the order %v, want %v", order, want)
	}
}
