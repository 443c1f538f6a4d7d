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

// TestDescriptorsExhausted guards against a listener that dies, or clients that hang, when descriptors run out. (gnet's
// own engine ends with an error there.)
func TestDescriptorsExhausted(t *testing.T) {
	eventLoop := startLoop(t)
	address := listenEcho(t, eventLoop)
	if err := checkServed(address); err != nil {
		t.Fatal(err)
	}
	conn := dialTCP(t, address) // its descriptor is there before they run out
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
		t.Errorf("connect %v, read %d %v: want the connection closed", connectErr, size, readErr)
	}
	if err := checkServed(address); err != nil {
		t.Error("not served afterwards:", err)
	}
}

// readWithoutDescriptors connects a socket to an address and reads, while no descriptor is left behind the socket's
// own.
func readWithoutDescriptors(t *testing.T, fd int, address string) (size int, connectErr, readErr error) {
	t.Helper()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	tight := before
	tight.Cur = uint64(fd)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &tight); err != nil {
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

// listenSilently returns an address whose queue takes one connection that nobody accepts.
func listenSilently(t *testing.T) (address string) {
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
		t.Fatalf("the address is %v", local)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port)).String()
}

// TestDialTimeout checks that a connect that nobody answers ends by its time, and a rejected one at once.
func TestDialTimeout(t *testing.T) {
	eventLoop := startLoop(t)
	full := listenSilently(t)
	var late *recordingHandler
	for range 4 { // the first ones fill the listener's queue
		late = record()
		onLoop(eventLoop, func() { eventLoop.Dial(full, eventLoop.Now().Add(200*time.Millisecond), late) })
	}
	if err := receive(t, late.end); !errors.Is(err, ErrTimeout) {
		t.Errorf("no answer: got %v, want %v", err, ErrTimeout)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	rejected := record()
	onLoop(eventLoop, func() { eventLoop.Dial(closed.Addr().String(), eventLoop.Now().Add(time.Minute), rejected) })
	if err := receive(t, rejected.end); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("rejected: got %v, want %v", err, syscall.ECONNREFUSED)
	}
	invalid := record()
	onLoop(eventLoop, func() { eventLoop.Dial("nowhere", eventLoop.Now().Add(time.Minute), invalid) })
	if err := receive(t, invalid.end); err == nil {
		t.Error("an invalid address is dialled, want an error")
	}
}

// TestPauseHoldsUpSender checks that a paused connection reads nothing: the kernel blocks the sender.
func TestPauseHoldsUpSender(t *testing.T) {
	eventLoop := startLoop(t)
	got := 0
	handler := record()
	conn := dialTCP(t, listenOn(t, eventLoop, func(c *Conn) Handler {
		handler.conn = c
		handler.data = func(data []byte) {
			got += len(data)
			c.Pause()
		}
		return handler
	}))
	const all = 32 << 20
	sent := make(chan int, 1)
	go func() {
		size, _ := conn.Write(make([]byte, all)) // the size says whether it failed
		sent <- size
	}()
	time.Sleep(200 * time.Millisecond)
	onLoop(eventLoop, func() {
		if got > readSize {
			t.Errorf("%d bytes taken in while paused, want %d at the most", got, readSize)
		}
		handler.data = func(data []byte) { got += len(data) }
		handler.conn.Resume()
	})
	if size := receive(t, sent); size != all {
		t.Errorf("%d bytes sent, want %d", size, all)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, handler.end); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ends with %v, want %v", err, io.EOF)
	}
	onLoop(eventLoop, func() {
		if got != all {
			t.Errorf("%d bytes came, want %d", got, all)
		}
	})
}

// TestTimerOrder checks the order of timers, that one can be cancelled, and that one set in a callback waits for it.
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
		t.Errorf("the order is %v, want %v", order, want)
	}
}
