package downstream

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	"spurwinch/internal/loop"
)

// shortWriter is a kernel that takes half of the first request line that is written to a server, and the rest only
// after unblock.
type shortWriter struct {
	loop.Linux
	mu      sync.Mutex
	fd      int // that took half
	blocked bool
}

func (k *shortWriter) Write(fd int, data []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.fd == 0 && bytes.HasPrefix(data, []byte("OPEN")):
		k.fd = fd
		k.blocked = true
		return k.Linux.Write(fd, data[:len(data)/2])
	case fd == k.fd && k.blocked:
		return 0, unix.EAGAIN
	}
	return k.Linux.Write(fd, data)
}

func (k *shortWriter) unblock() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.blocked = false
}

// TestAbandonedAttemptHalfWritten has the kernel take half of a request line, and the attempt given up: the rest must
// never follow, since the request has gone to another server by then, and must not run twice.
func TestAbandonedAttemptHalfWritten(t *testing.T) {
	kernel := &shortWriter{}
	node := newTestNodeOnKernel(t, kernel, 2, `"safe"`, `"unsafe"`)
	conn, _ := node.dialClient()
	send(conn, openLine+"\r\n")
	first := node.acceptOnServer()
	second := node.acceptOnServer() // the first one's time is over
	kernel.unblock()
	node.requireLine(second, "OPEN 01 01")
	send(second, "UP 1\r\n")
	node.requireLine(conn, "UP 1")
	received, _ := io.ReadAll(first) // ends by FIN or by a reset; what came before it counts
	if len(received) == 0 {
		t.Error("the race did not take place: nothing was written at first")
	}
	if bytes.HasSuffix(received, []byte("\n")) {
		t.Errorf("the server of the abandoned attempt got the whole line: %q", received)
	}
}
