package hotrestart

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"spurwinch/internal/lab/transcript"
	"spurwinch/internal/loop"
)

// testTimeout limits each wait for the other process.
const testTimeout = 20 * time.Second

// startLoop runs an event loop until the test ends. onLoop calls a function on the loop and waits for its return.
func startLoop(t *testing.T) (eventLoop *loop.Loop, onLoop func(func())) {
	t.Helper()
	eventLoop, err := loop.New()
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- eventLoop.Run() }()
	t.Cleanup(func() {
		eventLoop.Post(eventLoop.Stop)
		if err := <-stopped; err != nil {
			t.Errorf("Loop.Run: got error %v, want none", err)
		}
	})
	return eventLoop, func(fn func()) {
		returned := make(chan struct{})
		eventLoop.Post(func() {
			fn()
			close(returned)
		})
		<-returned
	}
}

// waitFor polls a condition on the event loop until it is true.
func waitFor(t *testing.T, onLoop func(func()), what string, condition func() bool) {
	t.Helper()
	transcript.WaitFor(t, what, func() (satisfied bool) {
		onLoop(func() { satisfied = condition() })
		return satisfied
	})
}

// ignoreChange is an Options.Changed that does nothing.
func ignoreChange() {}

// grantDescriptors returns an Options.Grant that grants a descriptor quota and nothing else.
func grantDescriptors(descriptors int) func() Grant {
	return func() Grant { return Grant{Datagrams: noDescriptor, DescriptorQuota: descriptors} }
}

// socketPath returns a path for a parent's socket. Its length doesn't depend on the test's name, which may be too long
// for a socket path (see maxPathBytes).
func socketPath(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "hr") //nolint:usetesting // t.TempDir has the test's name in the path
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	return Path(dir, "127.0.0.1:3000")
}

// requestGrant requests a grant from the process at a path, and ends the test after an error.
func requestGrant(t *testing.T, path string) *Grant {
	t.Helper()
	grant, err := RequestGrant(path, time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	return grant
}

// listenUnix listens at a path until the test ends.
func listenUnix(t *testing.T, path string) *net.UnixListener {
	t.Helper()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, listener) })
	return listener
}

// dialUnix connects to a path and closes the connection when the test ends.
func dialUnix(t *testing.T, path string) *net.UnixConn {
	t.Helper()
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn
}

// mustClose closes c and reports an error as a failure of the test.
func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// mustWrite writes a text and ends the test after an error.
func mustWrite(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// countDescriptors returns the number of open descriptors of this process.
func countDescriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// socketPair returns a connection to transfer: fd is the descriptor of the near end, and far is the other end.
func socketPair(t *testing.T) (fd int, far *os.File) {
	t.Helper()
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	far = os.NewFile(uintptr(ends[1]), "far")
	t.Cleanup(func() { mustClose(t, far) })
	return ends[0], far
}

// nearEndOpen reports whether any process has the near end of a socket pair open.
func nearEndOpen(t *testing.T, far *os.File) bool {
	t.Helper()
	if err := far.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, err := far.Read(make([]byte, 1))
	return !errors.Is(err, io.EOF)
}

// encodeItems encodes a batch, which may be one that Transfer would never send.
func encodeItems(tb testing.TB, items ...encodedItem) []byte {
	tb.Helper()
	encoded, err := cbor.Marshal(items)
	if err != nil {
		tb.Fatal(err)
	}
	return encoded
}
