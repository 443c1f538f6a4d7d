package downstream

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	"spurwinch/internal/loop"
)

// shortWriter is a loop.Kernel that accepts only half of the first request line that is written to a server. It blocks
// further writes to that server until unblock is called.
type shortWriter struct {
	loop.Linux
	mu      sync.Mutex
	fd      int // descriptor of the connection with the half-written line; 0: none yet
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

// TestAbandonedAttemptHalfWritten checks that the rest of a half-written request line is never sent once the attempt
// was given up. By then the request has been sent to another server, and it must not run twice.
func TestAbandonedAttemptHalfWritten(t *testing.T) {
	kernel := &shortWriter{}
	node := newTestNodeOnKernel(t, kernel, 2, `"safe"`, `"unsafe"`)
	conn, _ := node.dialClient()
	send(conn, openLine+"\r\n")
	first := node.acceptOnServer()
	second := node.acceptOnServer() // the first attempt has timed out by then
	kernel.unblock()
	node.requireLine(second, "OPEN 01 01")
	send(second, "UP 1\r\n")
	node.requireLine(conn, "UP 1")
	received, _ := io.ReadAll(first) // FIN and reset are both valid; only the bytes before them are checked
	if len(received) == 0 {
		t.Error("the first server got no bytes, want half of the request line: the race did not take place")
	}
	if bytes.HasSuffix(received, []byte("\n")) {
		t.Errorf("the server of the abandoned attempt got %q, want no complete line", received)
	}
}
